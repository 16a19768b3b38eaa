package faultnet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Build compiles commands of this module, given by import path such as "bramblelock/cmd/catalog",
// into dir. It returns the path of each binary by the last element of its import path. The working
// directory must be inside the module.
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

// Proc is a process of one of this module's binaries, with its output in a file.
type Proc struct {
	Name string
	Log  string // path of the file with its standard output and error
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // how the process ended; valid once done is closed
}

// Start starts bin with args and with env, in the form KEY=value, added to this process's environment.
// Its output is appended to dir/name.log.
func Start(dir, name, bin string, args []string, env ...string) (*Proc, error) {
	return start(dir, name, bin, args, nil, nil, env)
}

// StartWithPdeathsig is like Start, but the kernel kills the process when the calling thread ends
// (PR_SET_PDEATHSIG), so that no process outlives a caller that panics or is killed. The caller
// must have locked its goroutine to a thread that lives as long as the process should.
func StartWithPdeathsig(dir, name, bin string, args []string, env ...string) (*Proc, error) {
	return StartWithPdeathsigAndFiles(nil, dir, name, bin, args, env...)
}

// StartWithPdeathsigAndFiles is like StartWithPdeathsig, but the process inherits files as
// descriptors 3 and up.
func StartWithPdeathsigAndFiles(files []*os.File, dir, name, bin string, args []string, env ...string) (*Proc, error) {
	return start(dir, name, bin, args, files, &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}, env)
}

// start starts a process with all options of the exported functions; files and attr may be nil.
func start(dir, name, bin string, args []string, files []*os.File, attr *syscall.SysProcAttr, env []string) (*Proc, error) {
	p := &Proc{Name: name, Log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	f, err := os.OpenFile(p.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command(bin, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = f
	p.cmd.Stderr = f
	p.cmd.SysProcAttr = attr
	p.cmd.ExtraFiles = files
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

// Pid returns the process ID.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Signal sends sig to the process, or does nothing if it has ended.
func (p *Proc) Signal(sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		p.cmd.Process.Signal(sig)
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGCONT) // SIGKILL also ends a stopped process, but it is then reaped late
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop suspends the process (SIGSTOP). Its sockets stay open, but it no longer reads or writes.
func (p *Proc) Stop() { p.Signal(syscall.SIGSTOP) }

// Cont resumes a stopped process (SIGCONT).
func (p *Proc) Cont() { p.Signal(syscall.SIGCONT) }

// Term sends SIGTERM, kills the process if it has not ended after timeout, and waits until it has
// ended. It returns how the process ended, as exec.Cmd.Wait does.
func (p *Proc) Term(timeout time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.Kill()
	}
	return p.err
}

// Exited reports without waiting whether the process has ended, and how, as exec.Cmd.Wait does.
func (p *Proc) Exited() (bool, error) {
	select {
	case <-p.done:
		return true, p.err
	default:
		return false, nil
	}
}

// Mesh has a link for every ordered pair of two different named nodes.
type Mesh struct {
	links map[[2]string]*Link // by source and destination node
}

// NewMesh creates the links between all nodes; targets has each node's listening address by name.
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

// Link returns the link that node a dials to reach node b, or nil if there is none.
func (m *Mesh) Link(a, b string) *Link { return m.links[[2]string{a, b}] }

// Partition black-holes every link between a node in side and one outside it, in both directions.
// Links between two nodes in side, or between two nodes outside it, pass traffic.
func (m *Mesh) Partition(side ...string) {
	inside := map[string]bool{}
	for _, s := range side {
		inside[s] = true
	}
	for nodes, l := range m.links {
		if inside[nodes[0]] != inside[nodes[1]] {
			l.Set(Blackhole)
		} else {
			l.Set(Pass)
		}
	}
}

// Heal makes every link pass traffic.
func (m *Mesh) Heal() {
	for _, l := range m.links {
		l.Set(Pass)
	}
}

// Close closes every link.
func (m *Mesh) Close() {
	for _, l := range m.links {
		l.Close()
	}
}
