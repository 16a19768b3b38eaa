package rig

import (
	"fmt"
	"os"
	"path/filepath"
)

// Case is what a case needs to run.
type Case struct {
	Root     string // the project's root
	Dir      string // a temporary folder
	Rec      *Record
	Trouble  bool // false with TROUBLE=0: the same without the disruption
	Gateways []*Gateway
	Catalogs []*Catalog
}

// Exit codes of a case.
const (
	RuleHeld   = 0
	RuleBroken = 1
	CannotRun  = 2
)

// Run runs a case in the folder that is its argument and ends the process with its result. Every gateway
// that the case has started is ended.
func Run(run func(c *Case) (int, error)) {
	os.Exit(runCase(run))
}

func runCase(run func(c *Case) (int, error)) int {
	if len(os.Args) != 2 {
		fmt.Println("the folder of the case is missing")
		return CannotRun
	}
	caseDir, err := filepath.Abs(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return CannotRun
	}
	rec, err := NewRecord(caseDir)
	if err != nil {
		fmt.Println(err)
		return CannotRun
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return CannotRun
	}
	defer os.RemoveAll(dir)
	c := &Case{Root: filepath.Dir(filepath.Dir(caseDir)), Dir: dir, Rec: rec, Trouble: os.Getenv("TROUBLE") != "0"}
	rec.Add("trouble: %v", c.Trouble)
	defer func() {
		for _, g := range c.Gateways {
			g.Kill()
		}
		for _, k := range c.Catalogs {
			k.Kill()
		}
	}()
	code, err := run(c)
	if err != nil {
		rec.Say("the case could not run: %v", err)
		return CannotRun
	}
	return code
}

// StartGateways starts n gateways with the settings, each with its rank.
func (c *Case) StartGateways(n int, d *Discovery, settings func() map[string]any) error {
	for i := range n {
		s := settings()
		if err := c.StartGatewayAt(i, d.Addr, d.Whole(), s); err != nil {
			return err
		}
	}
	return nil
}

// StartGatewayAt starts a gateway of a rank whose discovery is at an address.
func (c *Case) StartGatewayAt(rank int, discovery string, known List, settings map[string]any) error {
	settings["rank"] = rank
	g, err := StartGateway(c.Root, c.Dir, fmt.Sprintf("n%d", rank+1), discovery, known, settings)
	if err != nil {
		return err
	}
	c.Rec.Add("platform: %s is ready at %s", g.Name, g.Addr)
	c.Gateways = append(c.Gateways, g)
	return nil
}

// StartHosts starts n hosts and discovery, which lists them in the zones of the settings in turn.
func (c *Case) StartHosts(n int, serve ServeFunc) ([]*Host, *Discovery, error) {
	zones := []string{"ulaanbaatar", "darkhan", "erdenet"}
	var hosts []*Host
	var entries []Entry
	for i := range n {
		h, err := StartHost(c.Rec, fmt.Sprintf("s-%08x", 0x5be2a07c+i*0x01010101), serve)
		if err != nil {
			return nil, nil, err
		}
		hosts = append(hosts, h)
		entries = append(entries, Entry{ID: h.ID, Addr: h.Addr, Zone: zones[i%len(zones)], Kind: "std-1", Cell: i / 4, State: "ready", Weight: 1})
	}
	d, err := StartDiscovery(c.Rec, entries)
	return hosts, d, err
}
