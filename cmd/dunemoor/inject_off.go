//go:build !faultinject

package main

import (
	"net"

	"lynxspool/internal/gateway"
)

// injectFaults does nothing in a program that is not built to fail on purpose.
func injectFaults(*gateway.Pool) func(net.Listener) net.Listener {
	return func(ln net.Listener) net.Listener { return ln }
}
