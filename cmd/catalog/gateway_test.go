package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramblelock/internal/catalogfleet"
	"bramblelock/internal/faultnet"
)

// startGateway starts a gateway process that watches the discovery instances at addrs.
func startGateway(t *testing.T, dir, name, listen string, addrs []string) *faultnet.Proc {
	t.Helper()
	type object map[string]any
	text, _ := json.Marshal(object{
		"name": name, "listen": listen, "discovery": strings.Join(addrs, ","), "seed": "1f",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  object{"version": 0, "full": true, "servers": []object{}},
		"settings": object{
			"balancers": 1, "step": 5000, "caps": object{"cancel": true, "max_attempts": 4},
			"classes": []object{{"name": "book", "effect": "at_most_once", "hard_limit": 2000000, "promise": 2000000}},
		},
	})
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p, err := faultnet.Start(dir, name, binaries["gateway"], nil, "GW_NAME="+name, "GW_LISTEN="+listen,
		"GW_DISCOVERY="+strings.Join(addrs, ","), "GW_CONFIG="+path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return p
}

var lastRequestID int

// sendRequest sends one request through a gateway and reports whether a host served it.
func sendRequest(gatewayAddr string) bool {
	lastRequestID++
	req, _ := http.NewRequest("POST", "http://"+gatewayAddr+"/api/1", strings.NewReader("body"))
	req.Header.Set("X-Priority-Class", "book")
	req.Header.Set("X-Request-ID", fmt.Sprintf("r-%d", lastRequestID))
	req.Header.Set("X-Timeout", "2")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode == 200 && string(b) == "done"
}

func acceptedConns(links []*faultnet.Link) (n int64) {
	for _, l := range links {
		n += l.Accepted()
	}
	return n
}

// All catalog instances are down for 60 s. The gateways must keep serving with their last list and log
// its age. When the instances are back, the gateways must get the new list without a burst of calls.
func TestGatewaysServeThroughCatalogOutage(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for a minute")
	}
	const gateways, outage = 5, 60 * time.Second
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "done")
	}))
	defer host.Close()
	c := startCluster(t, 3)
	if catalogfleet.PutMember(c.HTTPAddr[c.WaitForLeader()], "s-1", `{"addr":"`+strings.TrimPrefix(host.URL, "http://")+`"}`) != 200 {
		t.Fatal("registration of the host failed")
	}
	var links []*faultnet.Link
	var addrs []string
	for _, id := range c.IDs {
		l, err := faultnet.NewLink(c.HTTPAddr[id])
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		links, addrs = append(links, l), append(addrs, l.Addr)
	}
	dir := t.TempDir()
	var gatewayAddrs []string
	var processes []*faultnet.Proc
	for i := 0; i < gateways; i++ {
		gatewayAddrs = append(gatewayAddrs, catalogfleet.FreeAddr(t))
		processes = append(processes, startGateway(t, dir, fmt.Sprintf("g%d", i), gatewayAddrs[i], addrs))
	}
	for _, addr := range gatewayAddrs {
		ok := false
		for i := 0; i < 200 && !ok; i++ {
			if ok = sendRequest(addr); !ok {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if !ok {
			t.Fatalf("gateway %s does not serve", addr)
		}
	}
	for _, id := range c.IDs {
		c.Processes[id].Kill()
	}
	stoppedAt, before := time.Now(), acceptedConns(links)
	failed := 0
	for time.Since(stoppedAt) < outage {
		for _, addr := range gatewayAddrs {
			if !sendRequest(addr) {
				failed++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	callRateDuring := float64(acceptedConns(links)-before) / time.Since(stoppedAt).Seconds()
	if failed > 0 {
		t.Errorf("%d requests failed while discovery was down", failed)
	}
	for _, p := range processes {
		b, _ := os.ReadFile(p.Log)
		if !strings.Contains(string(b), "serving on the last list") {
			t.Errorf("%s does not log the age of its list", p.Name)
		}
	}
	for _, id := range c.IDs {
		c.Start(id)
	}
	restartedAt, before := time.Now(), acceptedConns(links)
	newHost := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "done")
	}))
	defer newHost.Close()
	for i := 0; i < 100 && catalogfleet.PutMember(c.HTTPAddr[c.WaitForLeader()], "s-2", `{"addr":"`+strings.TrimPrefix(newHost.URL, "http://")+`"}`) != 200; i++ {
		time.Sleep(50 * time.Millisecond)
	}
	synced := func() int {
		n := 0
		for _, p := range processes {
			if b, _ := os.ReadFile(p.Log); strings.Contains(string(b), "host=s-2") {
				n++
			}
		}
		return n
	}
	for i := 0; i < 300 && synced() < gateways; i++ {
		time.Sleep(50 * time.Millisecond)
	}
	resync := time.Since(restartedAt)
	callRateAfter := float64(acceptedConns(links)-before) / resync.Seconds()
	t.Logf("calls per second to the catalog: %.1f during the outage, %.1f after it; %d of %d gateways had the new host %v after the restart",
		callRateDuring, callRateAfter, synced(), gateways, resync.Round(time.Millisecond))
	if synced() < gateways {
		t.Fatalf("%d of %d gateways got the new list", synced(), gateways)
	}
	// Capped backoff with jitter limits a gateway to about 2 calls per second. A gateway that
	// retries without backoff makes hundreds.
	if perGateway := max(callRateDuring, callRateAfter) / gateways; perGateway > 20 {
		t.Errorf("%.0f calls per second from each gateway to the catalog", perGateway)
	}
}
