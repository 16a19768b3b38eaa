package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// freeAddr returns a loopback address with a port that was free a moment ago.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// gateway is one real gateway, started by the command "run" of the deploy file.
type gateway struct {
	rec                  *record
	name, addr, operator string
	configPath, tmp, log string
	discoveryAddr        string
	cmd                  *exec.Cmd
	exited               chan struct{}
	state                error // of the end of the process; set before exited is closed
}

type object = map[string]any

// settings is the object of WIRE's example, for a small deployment.
func settings(balancers, rank int, classes []object) object {
	return object{
		"azs": []string{"a", "b", "c"}, "balancers": balancers, "rank": rank, "zone": 0, "kinds": []string{"std-1", "eco-1"},
		"caps": object{"cancel": true, "conn_idle": 60000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "dial_timeout": 100000,
			"max_attempts": 6, "max_open": 20000, "max_retry_after": 2000000, "may_duplicate": true, "peers": false, "probes": false,
			"retry_after": false, "streams_per_conn": 100},
		"classes": classes, "clients": object{"marks_retry": true}, "discovery": "subscribe",
		"obligations": object{"ask_within": 10000000, "cold_from": 0.13, "drain_grace": 1000000, "fall": 2000000, "grace_to_answer": 8000,
			"overload_factor": 3.0, "warm_after": 24000000},
		"over_share_worth": 0.05, "specifics": object{"warm_keys": false}, "stage": 0, "step": 2000,
		"report": object{"columns": []string{}, "via": "off"}, "tenants": []object{{"name": "t-1", "quota_per_s": 400.0, "share": 1.0}},
		"tiers": []string{"addr-web"}, "weights": "off", "workload": "proxy", "worth_by": "work",
	}
}

func class(name, effect string, promiseMS, limitMS int) object {
	return object{"effect": effect, "group": "all", "hard_limit": limitMS * 1000, "importance": 2.0, "late_worth": 0.0, "name": name,
		"promise": promiseMS * 1000, "streaming": false, "window": 5000000}
}

// siteClasses are the classes of the site.
func siteClasses() []object {
	return []object{class("search", "idempotent", 300, 1200), class("save-address", "at_most_once", 800, 4000), class("issue-code", "at_most_once", 400, 2000)}
}

type limits struct {
	memoryMB, sockets int
}

// newGateway writes the configuration of a gateway into dir.
func newGateway(rec *record, dir, name, discoveryAddr string, lim limits, known list, set object) *gateway {
	g := &gateway{rec: rec, name: name, addr: freeAddr(), operator: freeAddr(), configPath: filepath.Join(dir, name+".json"),
		tmp: filepath.Join(dir, name+".tmp"), log: filepath.Join(dir, name+".log"), discoveryAddr: discoveryAddr}
	os.Mkdir(g.tmp, 0o700)
	text, err := json.Marshal(object{"name": name, "listen": g.addr, "discovery": discoveryAddr, "operator": g.operator, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": lim.memoryMB, "sockets": lim.sockets}, "known": known, "settings": set})
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(g.configPath, text, 0o600); err != nil {
		panic(err)
	}
	return g
}

var runKey = regexp.MustCompile(`(?m)^run = "(.*)"`)

// start starts the process and waits until it is ready.
func (g *gateway) start(root string) error {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return err
	}
	run := runKey.FindSubmatch(deploy)
	if run == nil {
		return errors.New("the deploy file has no run")
	}
	g.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	g.cmd.Dir = root
	g.cmd.Env = append(os.Environ(), "GW_NAME="+g.name, "GW_LISTEN="+g.addr, "GW_DISCOVERY="+g.discoveryAddr, "GW_OPERATOR="+g.operator,
		"GW_CONFIG="+g.configPath, "TMPDIR="+g.tmp)
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	out.Close()
	cmd, exited := g.cmd, make(chan struct{})
	g.exited = exited
	g.rec.add("gateway %s starts at %s", g.name, g.addr)
	go func() {
		g.state = cmd.Wait()
		g.rec.add("gateway %s has ended: %v", g.name, g.state)
		close(exited)
	}()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.hasExited() {
			return fmt.Errorf("gateway %s ended at its start; see %s", g.name, g.log)
		}
		if g.healthy() {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready", g.name)
}

func (g *gateway) healthy() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+g.addr+"/_health", nil)
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

func (g *gateway) hasExited() bool {
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}

// stop ends the process with SIGKILL.
func (g *gateway) stop() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	g.cmd.Process.Signal(syscall.SIGCONT)
	g.cmd.Process.Kill()
	<-g.exited
}

// residentMB returns the resident memory of the process and its peak.
func (g *gateway) residentMB() (now, peak float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	value := func(key string) float64 {
		for _, line := range strings.Split(string(text), "\n") {
			if rest, ok := strings.CutPrefix(line, key); ok {
				kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
				return kb / 1024
			}
		}
		return 0
	}
	return value("VmRSS:"), value("VmHWM:")
}

// logTail returns the end of the log of the process.
func (g *gateway) logTail(n int) string {
	text, _ := os.ReadFile(g.log)
	return string(text[max(0, len(text)-n):])
}
