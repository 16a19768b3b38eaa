package faultnet

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Build compiles the module's commands (as "lynxspool/cmd/catalog") into dir and
// returns the path of each binary by its last element.
func Build(dir string, pkgs ...string) (map[string]string, error) {
	args := append([]string{"build", "-o", dir + string(os.PathSeparator)}, pkgs...)
	out, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("go build: %v\n%s", err, out)
	}
	bins := map[string]string{}
	for _, p := range pkgs {
		bins[filepath.Base(p)] = filepath.Join(dir, filepath.Base(p))
	}
	return bins, nil
}

// freeIP is where FreeAddr draws ports: nobody dials from there and links listen elsewhere, so
// that what was drawn stays free until its process listens.
const freeIP = "127.0.0.88"

var drawn sync.Map // addresses that FreeAddr has returned

// FreeAddr returns a loopback address with a port that is free; it returns none twice.
func FreeAddr() (string, error) {
	for {
		ln, err := net.Listen("tcp", freeIP+":0")
		if err != nil {
			return "", err
		}
		addr := ln.Addr().String()
		ln.Close()
		if _, twice := drawn.LoadOrStore(addr, true); !twice {
			return addr, nil
		}
	}
}

// Proc is a running process of one of our binaries, its output in a file.
type Proc struct {
	Name string
	Log  string // the file with its standard output and error
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Start runs bin with args; env is added to this process's environment. Its output
// goes to dir/name.log.
func Start(dir, name, bin string, args []string, env ...string) (*Proc, error) {
	return start(dir, name, bin, args, nil, nil, env)
}

// StartWithPdeathsig is Start for a process that the kernel kills when the calling thread ends. The
// caller has locked its goroutine to a thread that lives as long as the process should: so
// nothing outlives a caller that panics or is killed itself.
func StartWithPdeathsig(dir, name, bin string, args []string, env ...string) (*Proc, error) {
	return StartWithPdeathsigAndFiles(nil, dir, name, bin, args, env...)
}

// StartWithPdeathsigAndFiles is StartWithPdeathsig for a process that inherits files, as descriptors 3 and on.
func StartWithPdeathsigAndFiles(files []*os.File, dir, name, bin string, args []string, env ...string) (*Proc, error) {
	return start(dir, name, bin, args, files, &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}, env)
}

func start(dir, name, bin string, args []string, files []*os.File, attr *syscall.SysProcAttr, env []string) (*Proc, error) {
	p := &Proc{Name: name, Log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	f, err := os.OpenFile(p.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command(bin, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.SysProcAttr, p.cmd.ExtraFiles = f, f, attr, files
	if err := p.cmd.Start(); err != nil {
		f.Close()
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		f.Close()
		close(p.done)
	}()
	return p, nil
}

// Pid is the process's id.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Signal sends sig unless the process has ended.
func (p *Proc) Signal(sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		p.cmd.Process.Signal(sig)
	}
}

// Kill sends SIGKILL and waits for the end.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGCONT) // a stopped process takes SIGKILL too, but is then reaped late
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop freezes the process (SIGSTOP): its sockets stay open and silent.
func (p *Proc) Stop() { p.Signal(syscall.SIGSTOP) }

// Cont lets a stopped process go on.
func (p *Proc) Cont() { p.Signal(syscall.SIGCONT) }

// Term sends SIGTERM and waits up to d for the end, then kills; it returns how the
// process ended.
func (p *Proc) Term(d time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(d):
		p.Kill()
	}
	return p.err
}

// Exited says whether the process has ended, and how.
func (p *Proc) Exited() (bool, error) {
	select {
	case <-p.done:
		return true, p.err
	default:
		return false, nil
	}
}

// Mesh is a link for every ordered pair of named nodes: From(a, b) is what a dials to
// reach b.
type Mesh struct {
	links map[[2]string]*Link
}

// NewMesh builds links among nodes; targets gives each node's listening address.
func NewMesh(targets map[string]string) (*Mesh, error) {
	m := &Mesh{links: map[[2]string]*Link{}}
	for a := range targets {
		for b, addr := range targets {
			if a == b {
				continue
			}
			l, err := NewLink(addr)
			if err != nil {
				m.Close()
				return nil, err
			}
			m.links[[2]string{a, b}] = l
		}
	}
	return m, nil
}

// Link returns the link that a uses to reach b.
func (m *Mesh) Link(a, b string) *Link { return m.links[[2]string{a, b}] }

// Partition black-holes every link between a node of side and one outside it, both
// ways; the links within each side pass.
func (m *Mesh) Partition(side ...string) {
	in := map[string]bool{}
	for _, s := range side {
		in[s] = true
	}
	for k, l := range m.links {
		if in[k[0]] != in[k[1]] {
			l.Set(Blackhole)
		} else {
			l.Set(Pass)
		}
	}
}

// Heal lets every link pass.
func (m *Mesh) Heal() {
	for _, l := range m.links {
		l.Set(Pass)
	}
}

// Close ends every link.
func (m *Mesh) Close() {
	for _, l := range m.links {
		l.Close()
	}
}
