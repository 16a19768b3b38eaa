//go:build !faultinject

package main

import (
	"net"

	"bramblelock/internal/gateway"
)

// injectFaults does nothing in a build without the tag faultinject.
func injectFaults(*gateway.Pool) func(net.Listener) net.Listener {
	return func(ln net.Listener) net.Listener { return ln }
}
