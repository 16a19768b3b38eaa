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

	"lynxspool/internal/catalogfleet"
	"lynxspool/internal/faultnet"
)

// startGateway starts one dunemoor process that watches discovery at addrs.
func startGateway(t *testing.T, dir, name, listen string, addrs []string) *faultnet.Proc {
	t.Helper()
	type obj map[string]any
	text, _ := json.Marshal(obj{
		"name": name, "listen": listen, "discovery": strings.Join(addrs, ","), "seed": "1f",
		"limits": obj{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  obj{"version": 0, "full": true, "servers": []obj{}},
		"settings": obj{
			"balancers": 1, "step": 5000, "caps": obj{"cancel": true, "max_attempts": 4},
			"classes": []obj{{"name": "book", "effect": "at_most_once", "hard_limit": 2000000, "promise": 2000000}},
		},
	})
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p, err := faultnet.Start(dir, name, bins["dunemoor"], nil, "GW_NAME="+name, "GW_LISTEN="+listen,
		"GW_DISCOVERY="+strings.Join(addrs, ","), "GW_CONFIG="+path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return p
}

var seq int

// ask sends one request through a gateway and says whether a host served it.
func ask(gw string) bool {
	seq++
	req, _ := http.NewRequest("POST", "http://"+gw+"/api/1", strings.NewReader("body"))
	req.Header.Set("X-Priority-Class", "book")
	req.Header.Set("X-Request-ID", fmt.Sprintf("r-%d", seq))
	req.Header.Set("X-Timeout", "2")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode == 200 && string(b) == "done"
}

func calls(links []*faultnet.Link) (n int64) {
	for _, l := range links {
		n += l.Accepted()
	}
	return n
}

// Hard case 3: every catalog instance is down for 60 s. The gateways keep serving on
// their last list, say how old it is, and on the return resync without a storm.
func TestGatewaysServeThroughCatalogOutage(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for a minute")
	}
	const gateways, outage = 5, 60 * time.Second
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "done")
	}))
	defer host.Close()
	c := testCluster(t, 3)
	if catalogfleet.PutMember(c.HTTPAddr[c.WaitForLeader()], "s-1", `{"addr":"`+strings.TrimPrefix(host.URL, "http://")+`"}`) != 200 {
		t.Fatal("register failed")
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
	var gws []string
	var procs []*faultnet.Proc
	for i := 0; i < gateways; i++ {
		gws = append(gws, catalogfleet.FreeAddr(t))
		procs = append(procs, startGateway(t, dir, fmt.Sprintf("g%d", i), gws[i], addrs))
	}
	for _, gw := range gws {
		ok := false
		for i := 0; i < 200 && !ok; i++ {
			if ok = ask(gw); !ok {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if !ok {
			t.Fatalf("gateway %s does not serve", gw)
		}
	}
	for _, id := range c.IDs {
		c.Processes[id].Kill()
	}
	down, before := time.Now(), calls(links)
	failed := 0
	for time.Since(down) < outage {
		for _, gw := range gws {
			if !ask(gw) {
				failed++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	during := float64(calls(links)-before) / time.Since(down).Seconds()
	if failed > 0 {
		t.Errorf("%d requests failed while discovery was down", failed)
	}
	for _, p := range procs {
		b, _ := os.ReadFile(p.Log)
		if !strings.Contains(string(b), "serving on the last list") {
			t.Errorf("%s does not tell the age of its list", p.Name)
		}
	}
	for _, id := range c.IDs {
		c.Start(id)
	}
	back, before := time.Now(), calls(links)
	host2 := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "done")
	}))
	defer host2.Close()
	for i := 0; i < 100 && catalogfleet.PutMember(c.HTTPAddr[c.WaitForLeader()], "s-2", `{"addr":"`+strings.TrimPrefix(host2.URL, "http://")+`"}`) != 200; i++ {
		time.Sleep(50 * time.Millisecond)
	}
	synced := func() int {
		n := 0
		for _, p := range procs {
			if b, _ := os.ReadFile(p.Log); strings.Contains(string(b), "host=s-2") {
				n++
			}
		}
		return n
	}
	for i := 0; i < 300 && synced() < gateways; i++ {
		time.Sleep(50 * time.Millisecond)
	}
	resync := time.Since(back)
	after := float64(calls(links)-before) / resync.Seconds()
	t.Logf("calls a second at the catalog: %.1f during the outage, %.1f on return; %d of %d gateways had the new host %v after the return",
		during, after, synced(), gateways, resync.Round(time.Millisecond))
	if synced() < gateways {
		t.Fatalf("%d of %d gateways resynced", synced(), gateways)
	}
	// Capped backoff with jitter gives a gateway about 2 calls a second at the most;
	// one that loops without waiting makes hundreds.
	if per := max(during, after) / gateways; per > 20 {
		t.Errorf("%.0f calls a second a gateway at the catalog", per)
	}
}
