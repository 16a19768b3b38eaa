// Command trial runs one case of the review: it starts real gateways and the stand-ins for their clients,
// hosts and discovery, and judges what these have seen. It exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// trial is one run of a case.
type trial struct {
	rec     *record
	root    string // of the project
	dir     string // temporary folder
	trouble bool   // false: without the disruption

	gateways []*gateway
	cleanups []func()
}

// timeLimit is the time after which a case is given up.
const timeLimit = 116 * time.Second

// cases are the cases by name. Each returns what broke the rule, if anything did.
var cases = map[string]func(t *trial) (broken []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) (code int) {
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	t := &trial{rec: rec, root: os.Getenv("ROOT"), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	end := sync.OnceFunc(func() {
		for _, g := range t.gateways {
			g.stop()
		}
		for _, f := range t.cleanups {
			f()
		}
	})
	defer end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		rec.say("the case could not run: it took too long or was ended")
		end()
		rec.close()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	rec.say("case %s, with the disruption: %v", name, t.trouble)
	broken, err := cases[name](t)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return 2
	}
	for i, b := range broken {
		if i == 10 {
			rec.say("and %d more", len(broken)-i)
			break
		}
		rec.say("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return 1
	}
	rec.say("the rule held")
	return 0
}

// gateway starts a gateway.
func (t *trial) gateway(name, discoveryAddr string, lim limits, known list, set object) (*gateway, error) {
	g := newGateway(t.rec, t.dir, name, discoveryAddr, lim, known, set)
	if err := g.start(t.root); err != nil {
		return nil, fmt.Errorf("%w\n%s", err, g.logTail(2000))
	}
	t.gateways = append(t.gateways, g)
	return g, nil
}
