package gateway

import (
	"context"
	"time"
)

// UpdateSource receives changes of the list of hosts. It is implemented by discovery.Client.
type UpdateSource interface {
	// UpdateOverdue returns whether a change has been written to this process that should be in force
	// by now, but is not.
	UpdateOverdue() bool
}

// SetUpdateSource makes attempts wait while source has an overdue change: this process counts as
// notified of a change from when the change was written, even if it has not read it. It must be called
// before the first attempt.
func (p *Pool) SetUpdateSource(source UpdateSource) { p.updateSource = source }

// awaitOverdueUpdate waits until no change of the list of hosts is overdue or the attempt is given up.
// The wait is short, as a change is overdue only after the process was stalled, and its reader runs as
// soon as the process does.
func (p *Pool) awaitOverdueUpdate(ctx context.Context) {
	for p.updateSource != nil && p.updateSource.UpdateOverdue() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}
