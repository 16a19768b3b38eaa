#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into review/rig2/out. They need no module and no network. The project's
# own programs (bin/gateway, bin/catalog) come from the build of the deploy file, which runs before.
set -euo pipefail
cd "$(dirname "$0")/rig2"
mkdir -p out
GOFLAGS="${GOFLAGS:-} -buildvcs=false -mod=mod" GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o out/trial .
