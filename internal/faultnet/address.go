package faultnet

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Hosts of ProcessIP that this package uses.
const (
	linkHost     = 1 // links listen there, and nothing else: a link that refuses gives up its port
	freeAddrHost = 2 // FreeAddr returns its ports. Nobody dials from it, so a port stays free until its process listens
)

// ProcessIP returns a loopback address of this process, for a host number of its choice. Other processes, such
// as the same tests in a run beside this one, draw no ports there: a port that is given up, or was only found to
// be free, does not become a server of theirs while clients here dial it.
func ProcessIP(host byte) string {
	const first, count = 192, 63 // range of the second octet; below are the networks of the soak and the lab
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", first+pid/256%count, pid%256, host)
}

var issuedAddrs sync.Map // addresses that FreeAddr has returned

// FreeAddr returns a loopback address with a free port. It never returns the same address twice in
// one process.
func FreeAddr() (string, error) {
	for {
		ln, err := net.Listen("tcp", ProcessIP(freeAddrHost)+":0")
		if err != nil {
			return "", err
		}
		addr := ln.Addr().String()
		ln.Close()
		if _, issued := issuedAddrs.LoadOrStore(addr, true); !issued {
			return addr, nil
		}
	}
}
