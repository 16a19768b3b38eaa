#!/usr/bin/env bash
# Builds every stand-in that the cases start, into review/bin. It needs no network: the stand-ins use the
# standard library only. They are a module of their own, so that the project's build, checks and tests
# leave them out.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -o bin/ ./cmd/...
