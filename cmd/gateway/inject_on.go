//go:build faultinject

package main

import (
	"fmt"
	"log/slog"
	"net"
	"os"

	"bramblelock/internal/faultnet"
	"bramblelock/internal/gateway"
)

// injectFaults makes a share of the system calls on the client listener and on connections to hosts
// fail. GW_INJECT holds the seed and the share, separated by a space; without it no call fails. Only
// the soak test of fleetlab uses it.
func injectFaults(pool *gateway.Pool) func(net.Listener) net.Listener {
	var seed uint64
	var share float64
	if _, err := fmt.Sscan(os.Getenv("GW_INJECT"), &seed, &share); err != nil {
		return func(ln net.Listener) net.Listener { return ln }
	}
	slog.Warn("injecting system call failures", "share", share)
	inject := faultnet.NewInjector(seed, share)
	pool.WrapDial(func(dial gateway.DialFunc) gateway.DialFunc {
		return gateway.DialFunc(inject.Dial(faultnet.Dialer(dial)))
	})
	return inject.Listener
}
