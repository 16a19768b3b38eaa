package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// Gateway is a gateway process, started with the command of the deploy file.
type Gateway struct {
	Name, Addr string
	dir        string
	config     map[string]any
	cmd        *exec.Cmd
	ended      chan struct{}
	mu         sync.Mutex
	told       bool // the test told it to end
}

// FreeAddr returns a loopback address with a free port.
func FreeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// runCommand returns `run` of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("the deploy file has no run")
	}
	return string(m[1]), nil
}

// StartGateway starts a gateway process and waits until its health check says yes.
func StartGateway(root, dir, name, discovery string, known List, settings map[string]any) (*Gateway, error) {
	run, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	g := &Gateway{Name: name, Addr: addr, dir: dir, ended: make(chan struct{})}
	g.config = map[string]any{
		"name": name, "listen": addr, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    known,
		"settings": settings,
	}
	if err := g.writeConfig(); err != nil {
		return nil, err
	}
	tmp := filepath.Join(dir, name+".tmp")
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(g.LogFile())
	if err != nil {
		return nil, err
	}
	defer log.Close()
	g.cmd = exec.Command("/bin/sh", "-c", run)
	g.cmd.Dir = root
	g.cmd.Env = append(os.Environ(), "GW_NAME="+name, "GW_LISTEN="+addr, "GW_DISCOVERY="+discovery,
		"GW_CONFIG="+g.configFile(), "TMPDIR="+tmp)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		g.cmd.Wait()
		close(g.ended)
	}()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/_health")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return g, nil
		}
	}
	g.Kill()
	return nil, fmt.Errorf("%s is not ready after 30 s", name)
}

func (g *Gateway) configFile() string { return filepath.Join(g.dir, g.Name+".json") }

// LogFile is the file with what the gateway has written to standard output and error.
func (g *Gateway) LogFile() string { return filepath.Join(g.dir, g.Name+".log") }

func (g *Gateway) writeConfig() error {
	text, err := json.Marshal(g.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.configFile()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(g.configFile()+".new", g.configFile())
}

// Reload replaces the configuration file, whole, and sends SIGHUP.
func (g *Gateway) Reload(settings map[string]any, discovery string) error {
	g.config["settings"], g.config["discovery"] = settings, discovery
	if err := g.writeConfig(); err != nil {
		return err
	}
	return g.cmd.Process.Signal(syscall.SIGHUP)
}

// Signal sends a signal. After SIGTERM an end of the process is no crash.
func (g *Gateway) Signal(sig syscall.Signal) error {
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		g.mu.Lock()
		g.told = true
		g.mu.Unlock()
	}
	return g.cmd.Process.Signal(sig)
}

// Ended is closed when the process has ended.
func (g *Gateway) Ended() <-chan struct{} { return g.ended }

// Crashed returns whether the process has ended without having been told to.
func (g *Gateway) Crashed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.ended:
		return !g.told
	default:
		return false
	}
}

// Kill ends the process at once.
func (g *Gateway) Kill() {
	select {
	case <-g.ended:
		return
	default:
	}
	g.Signal(syscall.SIGKILL)
	<-g.ended
}

// PID is the process id.
func (g *Gateway) PID() int { return g.cmd.Process.Pid }
