// Command simhost runs many balancers for the simulator. It reads batches of events from standard
// input and answers each with the balancers' actions on standard output. It writes nothing else
// there.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"bramblelock"
	"bramblelock/internal/wire"
)

func main() {
	debug.SetGCPercent(800) // the heap is small, so collect it rarely
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simhost: %v\n", err)
		os.Exit(1)
	}
}

// run reads batches from in and writes a reply to each to out, until the input ends.
func run(in io.Reader, out io.Writer) error {
	a := adapter{balancers: map[uint32]*bramblelock.Balancer{}, out: wire.NewWriter(out)}
	reader := wire.NewReader(in)
	for n := 1; ; n++ {
		now, err := reader.ReadBatch()
		if err == io.EOF {
			return nil
		}
		for more := err == nil; more; {
			var e wire.Event
			if more, err = reader.Next(&e); more {
				a.handle(now, &e)
			}
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if err := a.out.Flush(); err != nil {
			return fmt.Errorf("batch %d: reply: %w", n, err)
		}
	}
}

// adapter passes events to the balancers and collects their actions. The balancers share no state.
type adapter struct {
	balancers map[uint32]*bramblelock.Balancer // by instance number
	out       *wire.Writer
	actions   []bramblelock.Action // reused by every event
}

// handle passes an event to its balancer and adds the balancer's actions to the reply. When a
// balancer panics, the crash is reported, and events of its instance are ignored until it starts
// anew.
func (a *adapter) handle(now bramblelock.Time, e *wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			delete(a.balancers, e.Instance)
			a.out.WriteCrash(e.Instance, fmt.Sprintf("%v\n%s", p, debug.Stack()))
		}
	}()
	if e.Code == wire.EventHello {
		a.startInstance(now, e)
	}
	balancer := a.balancers[e.Instance]
	if balancer == nil {
		return
	}
	switch e.Code {
	case wire.EventHostList:
		balancer.UpdateHosts(now, e.ListKind, e.Hosts)
	case wire.EventRequest:
		balancer.Request(now, e.Request)
	case wire.EventResponseStarted:
		balancer.ResponseStarted(now, e.Request.ID, e.Attempt)
	case wire.EventAttemptEnded:
		balancer.Outcome(now, e.Outcome)
	case wire.EventClientGone:
		balancer.ClientGone(now, e.Request.ID)
	case wire.EventTimer:
		balancer.Timer(now, e.Token)
	case wire.EventStop:
		delete(a.balancers, e.Instance)
		return
	}
	a.actions = balancer.TakeActions(a.actions[:0])
	for i := range a.actions {
		a.out.WriteAction(e.Instance, &a.actions[i])
	}
}

// startInstance starts the balancer of an instance and replaces the one that it had. Invalid
// settings are reported as a crash of the instance.
func (a *adapter) startInstance(now bramblelock.Time, e *wire.Event) {
	delete(a.balancers, e.Instance)
	settings, err := wire.ParseSettings(e.Settings)
	if err != nil {
		a.out.WriteCrash(e.Instance, err.Error())
		return
	}
	balancer, err := bramblelock.New(settings, e.Seed)
	if err != nil {
		a.out.WriteCrash(e.Instance, wire.NameSettingsKey(err).Error())
		return
	}
	balancer.Start(now)
	a.balancers[e.Instance] = balancer
}
