package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramblelock/internal/faultnet"
	"bramblelock/internal/membership"
)

// startFleet starts n gateways with membership enabled, each of which joins through the first three. It
// returns the processes and their operator addresses.
func startFleet(t *testing.T, n int) (processes []*faultnet.Proc, operatorAddrs []string) {
	dir := t.TempDir()
	// Client and operator addresses are allocated in one call: two calls for the same IP address
	// could return the same port, and a gateway would then exit at its start.
	bindAddrs, serviceAddrs := freeAddrs(t, membershipHost, n), freeAddrs(t, serviceHost, 2*n)
	clientAddrs, freeOperatorAddrs := serviceAddrs[:n], serviceAddrs[n:]
	for i := 0; i < n; i++ {
		var cfg map[string]any
		json.Unmarshal([]byte(configJSON()), &cfg)
		name := fmt.Sprintf("g%02d", i)
		cfg["name"] = name
		cfg["membership"] = map[string]any{"bind": bindAddrs[i], "peers": bindAddrs[:min(3, n)], "local": true}
		text, _ := json.Marshal(cfg)
		path := filepath.Join(dir, name+".json")
		os.WriteFile(path, text, 0o600)
		listen, operatorAddr := clientAddrs[i], freeOperatorAddrs[i]
		p, err := faultnet.Start(dir, name, os.Args[0], nil, "GATEWAY_AS_PROGRAM=1", "GW_CONFIG="+path,
			"GW_NAME="+name, "GW_LISTEN="+listen, "GW_OPERATOR="+operatorAddr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
		processes, operatorAddrs = append(processes, p), append(operatorAddrs, operatorAddr)
	}
	return processes, operatorAddrs
}

// freeAddrs returns n distinct addresses with free ports of a host of faultnet.ProcessIP. It holds every port until all are
// allocated, so that none is returned twice.
func freeAddrs(t *testing.T, host byte, n int) []string {
	var out []string
	for i := 0; i < n; i++ {
		ln, err := net.Listen("tcp", faultnet.ProcessIP(host)+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out
}

// fetchView returns the peers in the membership view of a gateway by name, or nil if the call fails.
func fetchView(operatorAddr string) map[string]membership.Peer {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + operatorAddr + "/members")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var response struct {
		Place reportedStatus
		Peers []membership.Peer
	}
	json.NewDecoder(resp.Body).Decode(&response)
	view := map[string]membership.Peer{}
	for _, p := range response.Peers {
		view[p.Name] = p
	}
	return view
}

var lastFailingView string // view that failed the condition of waitViews in its last poll

// waitViews polls the view of every gateway until ok holds for all of them, and returns the time taken.
// It gives up after two minutes, which keeps a test from hanging and is no limit for the convergence of
// the views.
func waitViews(operatorAddrs []string, ok func(map[string]membership.Peer) bool) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < 2*time.Minute {
		all := true
		for _, op := range operatorAddrs {
			if v := fetchView(op); !ok(v) {
				all, lastFailingView = false, fmt.Sprint(op, " ", v)
				break
			}
		}
		if all {
			return time.Since(start), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start), false
}

// Of 12 gateways, 3 are killed with SIGKILL. The others must mark them dead and one another alive. Then
// one gateway is stopped with SIGTERM and must be marked left, not dead, by its peers. On an overloaded
// machine a live gateway may be marked dead for a while. The test logs this, but the views must recover
// by themselves.
func TestMembershipDetectsKilledAndLeaving(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 12 processes")
	}
	const n, killed = 12, 3
	processes, operatorAddrs := startFleet(t, n)
	joinTime, ok := waitViews(operatorAddrs, func(v map[string]membership.Peer) bool {
		alive := 0
		for _, p := range v {
			if p.State == membership.Alive {
				alive++
			}
		}
		return alive == n
	})
	if !ok {
		for _, p := range processes {
			if ended, err := p.Exited(); ended {
				b, _ := os.ReadFile(p.Log)
				t.Logf("%s exited: %v\n%s", p.Name, err, b)
			}
		}
		t.Fatalf("not all %d gateways see each other alive after %v: %s\n%s", n, joinTime, lastFailingView, describeMissingPeers(processes, operatorAddrs))
	}
	for _, p := range processes[n-killed:] {
		p.Kill()
	}
	remaining := operatorAddrs[:n-killed]
	detectTime, ok := waitViews(remaining[:n-killed-1], func(v map[string]membership.Peer) bool {
		for i, p := range processes {
			if want := map[bool]string{true: membership.Dead, false: membership.Alive}[i >= n-killed]; v[p.Name].State != want {
				return false
			}
		}
		return true
	})
	if !ok {
		t.Fatalf("not every peer marks all killed gateways dead and all others alive after %v", detectTime)
	}
	leaver := processes[n-killed-1]
	leaver.Term(5 * time.Second)
	leaveTime, ok := waitViews(remaining[:n-killed-1], func(v map[string]membership.Peer) bool {
		return v[leaver.Name].State == membership.Left
	})
	if !ok {
		leaverLog, _ := os.ReadFile(leaver.Log)
		peerLog, _ := os.ReadFile(processes[0].Log)
		t.Fatalf("not every peer marks the gateway stopped with SIGTERM as left after %v: %+v\n%s\n%s", leaveTime, fetchView(operatorAddrs[0])[leaver.Name], leaverLog[max(0, len(leaverLog)-1500):], peerLog[max(0, len(peerLog)-1500):])
	}
	t.Logf("%d joined in %v; %d killed were marked dead by all in %v; one stopped with SIGTERM was marked left in %v", n, joinTime, killed, detectTime, leaveTime)
	for _, p := range processes[:n-killed-1] {
		b, _ := os.ReadFile(p.Log)
		for _, q := range processes[:n-killed-1] {
			if strings.Contains(string(b), "peer="+q.Name+" from=suspect to=dead") ||
				strings.Contains(string(b), "peer="+q.Name+" from=alive to=dead") {
				t.Logf("%s marked %s dead for a while, although it was running", p.Name, q.Name)
			}
		}
	}
}

// describeMissingPeers lists the peers that are missing or not alive in each view, with the lines in the
// log of each gateway of the pair that name the other.
func describeMissingPeers(processes []*faultnet.Proc, operatorAddrs []string) string {
	var out strings.Builder
	for i, addr := range operatorAddrs {
		v := fetchView(addr)
		for _, q := range processes {
			if v[q.Name].State == membership.Alive {
				continue
			}
			fmt.Fprintf(&out, "%s marks %s as %q\n", processes[i].Name, q.Name, v[q.Name].State)
			for _, pair := range [][2]*faultnet.Proc{{processes[i], q}, {q, processes[i]}} {
				b, _ := os.ReadFile(pair[0].Log)
				for _, line := range strings.Split(string(b), "\n") {
					if strings.Contains(line, pair[1].Name) || strings.Contains(line, "memberlist") {
						fmt.Fprintf(&out, "  %s: %s\n", pair[0].Name, line)
					}
				}
			}
		}
	}
	return out.String()
}

// addrsInViews returns the address of a gateway in the view of each gateway: a view of another test's fleet has
// another process by that name.
func addrsInViews(operatorAddrs []string, name string) (addrs []string) {
	for _, operatorAddr := range operatorAddrs {
		addrs = append(addrs, fetchView(operatorAddr)[name].Addr)
	}
	return addrs
}

// A gateway is stopped with SIGSTOP until a peer suspects it. Once resumed, it must refute the suspicion
// by itself and be marked alive by all peers. Malformed and truncated packets at its membership port must
// then be dropped and counted, and the gateway must keep running and stay alive at all peers.
func TestMembershipRecoversFromStopAndGarbage(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 8 processes")
	}
	const n = 8
	processes, operatorAddrs := startFleet(t, n)
	allAlive := func(v map[string]membership.Peer) bool {
		for _, p := range processes {
			if v[p.Name].State != membership.Alive {
				return false
			}
		}
		return true
	}
	if took, ok := waitViews(operatorAddrs, allAlive); !ok {
		t.Fatalf("not all gateways are alive at all peers after %v: %s", took, describeMissingPeers(processes, operatorAddrs))
	}
	stopped := processes[n-1]
	stopped.Stop()
	suspected := func() bool {
		for _, op := range operatorAddrs[:n-1] {
			if v := fetchView(op); v[stopped.Name].State != membership.Alive {
				return true
			}
		}
		return false
	}
	stoppedAt := time.Now()
	for !suspected() && time.Since(stoppedAt) < 2*time.Minute {
		time.Sleep(50 * time.Millisecond)
	}
	suspectTime := time.Since(stoppedAt)
	stopped.Cont()
	recoveryTime, ok := waitViews(operatorAddrs, allAlive)
	if !ok || suspectTime >= 2*time.Minute {
		t.Fatalf("suspected %v after the stop, but not alive again at all peers: %s\nits address in the views: %q", suspectTime,
			describeMissingPeers(processes, operatorAddrs), addrsInViews(operatorAddrs, stopped.Name))
	}
	t.Logf("suspected %v after the stop, alive again at all peers %v after the resume", suspectTime, recoveryTime)

	// Sends random bytes and truncated headers as packets, and junk as a stream, to the resumed gateway.
	bind := fetchView(operatorAddrs[0])[stopped.Name].Addr
	udp, err := net.Dial("udp", bind)
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	packet := make([]byte, 1400)
	garbageCounted := func() bool {
		b, _ := os.ReadFile(stopped.Log)
		return strings.Contains(string(b), "unreadable=")
	}
	for round := 0; round < 100 && !garbageCounted(); round++ {
		for i := 0; i < 300; i++ {
			for j := range packet {
				packet[j] = byte(i*31 + j*7)
			}
			udp.Write(packet[:1+i%len(packet)]) // a single byte is a message type alone, other lengths truncate the header
		}
		if c, err := net.DialTimeout("tcp", bind, time.Second); err == nil {
			c.Write(packet[:200+round])
			c.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !garbageCounted() {
		t.Errorf("%s did not count the malformed packets", stopped.Name)
	}
	if ended, err := stopped.Exited(); ended {
		t.Fatalf("%s exited after malformed packets: %v", stopped.Name, err)
	}
	if _, ok := waitViews(operatorAddrs, allAlive); !ok {
		t.Fatalf("a view lost a peer after the malformed packets: %s", describeMissingPeers(processes, operatorAddrs))
	}
}
