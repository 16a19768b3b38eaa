package bramblelock_test

import (
	"fmt"
	"time"

	"bramblelock"
)

// The event loop of a gateway reports each event with its time and then carries out the actions.
// The network and the clock are scripted here. A real gateway sends the request on Send and reports
// the answer with Outcome when it arrives.
func Example() {
	settings := bramblelock.Settings{
		Instances:     1,
		CancelAllowed: true,
		Classes:       []bramblelock.Class{{LatencyTarget: 300 * time.Millisecond, Deadline: time.Second}},
	}
	b, err := bramblelock.New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}

	timers := map[uint64]bramblelock.Time{} // a real gateway keeps a timer queue
	var actions []bramblelock.Action        // belongs to the gateway, which reuses it for every event
	carryOut := func() {
		actions = b.TakeActions(actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case bramblelock.Send:
				fmt.Printf("send request %d to host %d\n", a.Request, a.Host)
			case bramblelock.Cancel:
				fmt.Printf("cancel attempt %d of request %d\n", a.Attempt, a.Request)
			case bramblelock.Refuse:
				fmt.Printf("answer request %d: busy\n", a.Request)
			case bramblelock.Fail:
				fmt.Printf("answer request %d: error\n", a.Request)
			case bramblelock.Wake:
				timers[a.Token] = a.At
			case bramblelock.Log:
				fmt.Println("log:", a.Text)
			}
		}
	}

	now := time.Minute
	b.Start(now)
	// After a restart the gateway reports the list saved on disk first, which may be stale.
	b.UpdateHosts(now, bramblelock.ListSaved, []bramblelock.Host{{ID: 7}})
	b.Request(now, bramblelock.Request{ID: 1, Remaining: time.Second})
	carryOut()

	// The host refuses connections. The request has not run, so it is sent to another host.
	now += 5 * time.Millisecond
	b.UpdateHosts(now, bramblelock.ListChanges, []bramblelock.Host{{ID: 8}})
	b.Outcome(now, bramblelock.Outcome{Request: 1, Attempt: 0,
		Result: bramblelock.ConnectFailed, Elapsed: 5 * time.Millisecond})
	carryOut()

	// The host has answered, and the answer went to the client.
	now += 40 * time.Millisecond
	b.Outcome(now, bramblelock.Outcome{Request: 1, Attempt: 1,
		Result: bramblelock.OK, Elapsed: 40 * time.Millisecond, Answered: true})
	carryOut()

	// Timers that are no longer needed fire all the same: the balancer ignores them.
	for token, at := range timers {
		b.Timer(max(now, at), token)
		carryOut()
	}

	// Output:
	// send request 1 to host 7
	// log: host 7 ejected: connections fail
	// send request 1 to host 8
}
