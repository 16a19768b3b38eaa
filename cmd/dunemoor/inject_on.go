//go:build faultinject

package main

import (
	"fmt"
	"log/slog"
	"net"
	"os"

	"lynxspool/internal/faultnet"
	"lynxspool/internal/gateway"
)

// injectFaults lets a share of the system calls on clients' listeners and servers' connections
// fail, as GW_INJECT says: "SEED SHARE". It is for the soak of the fleet lab alone.
func injectFaults(pool *gateway.Pool) func(net.Listener) net.Listener {
	var seed uint64
	var share float64
	if _, err := fmt.Sscan(os.Getenv("GW_INJECT"), &seed, &share); err != nil {
		return func(ln net.Listener) net.Listener { return ln }
	}
	slog.Warn("system calls fail on purpose", "share", share)
	inject := faultnet.NewInjector(seed, share)
	pool.WrapDial(func(dial gateway.DialFunc) gateway.DialFunc {
		return gateway.DialFunc(inject.Dial(faultnet.Dialer(dial)))
	})
	return inject.Listener
}
