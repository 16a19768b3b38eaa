package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Catalog is one instance of the project's own discovery service.
type Catalog struct {
	ID, HTTP string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// callCatalog waits for answers of instances, which may be stopped, for a second.
var callCatalog = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// StartCatalogs starts a cluster of n instances and waits until one leads.
func (c *Case) StartCatalogs(n int) error {
	var peers []string
	var raft []string
	for i := range n {
		httpAddr, err1 := FreeAddr()
		raftAddr, err2 := FreeAddr()
		if err := errors.Join(err1, err2); err != nil {
			return err
		}
		k := &Catalog{ID: fmt.Sprintf("c%d", i+1), HTTP: httpAddr}
		c.Catalogs = append(c.Catalogs, k)
		raft = append(raft, raftAddr)
		peers = append(peers, fmt.Sprintf("%s=%s/%s", k.ID, raftAddr, httpAddr))
	}
	for i, k := range c.Catalogs {
		log, err := os.Create(filepath.Join(c.Dir, k.ID+".log"))
		if err != nil {
			return err
		}
		defer log.Close()
		k.cmd = exec.Command(filepath.Join(c.Root, "bin", "catalog"), "-id", k.ID, "-data", filepath.Join(c.Dir, k.ID),
			"-http", k.HTTP, "-raft", raft[i], "-peers", strings.Join(peers, ","))
		k.cmd.Stdout, k.cmd.Stderr = log, log
		k.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := k.cmd.Start(); err != nil {
			return err
		}
		k.ended = make(chan struct{})
		go func() { k.cmd.Wait(); close(k.ended) }()
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, k := range c.Catalogs {
			if k.State() == "Leader" {
				c.Rec.Add("discovery: %s leads", k.ID)
				return nil
			}
		}
	}
	return errors.New("no instance of discovery leads after 20 s")
}

// State returns the state of an instance in its cluster, or "" if it does not say.
func (k *Catalog) State() string {
	resp, err := callCatalog.Get("http://" + k.HTTP + "/catalog/status")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var status struct{ State string }
	json.NewDecoder(resp.Body).Decode(&status)
	return status.State
}

// Put writes an entry through this instance. It returns nil if discovery has confirmed the write.
func (k *Catalog) Put(e Entry) error {
	body := fmt.Sprintf(`{"addr":%q,"zone":%q,"kind":%q,"cell":%d,"state":%q}`, e.Addr, e.Zone, e.Kind, e.Cell, e.State)
	req, err := http.NewRequest(http.MethodPut, "http://"+k.HTTP+"/catalog/members/"+e.ID, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := callCatalog.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, text)
	}
	return nil
}

// List returns the whole list that this instance gives, or an error if it gives none.
func (k *Catalog) List() (l List, err error) {
	resp, err := callCatalog.Get("http://" + k.HTTP + "/catalog/members")
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, errors.New(resp.Status)
	}
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

// Signal sends a signal to the instance.
func (k *Catalog) Signal(sig syscall.Signal) error { return k.cmd.Process.Signal(sig) }

// Kill ends the instance at once.
func (k *Catalog) Kill() {
	if k.cmd == nil || k.cmd.Process == nil || k.ended == nil {
		return
	}
	k.Signal(syscall.SIGKILL)
	<-k.ended
}
