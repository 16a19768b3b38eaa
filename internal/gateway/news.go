package gateway

import (
	"context"
	"time"
)

// UpdateSource receives changes of the list of hosts. Discovery implements it.
type UpdateSource interface {
	// UpdateOverdue returns whether a change has been written that should be in force by now.
	UpdateOverdue() bool
}

// SetUpdateSource makes attempts wait until the changes that were written to source are in force: a
// change counts as notified from when it was written.
func (p *Pool) SetUpdateSource(source UpdateSource) { p.updateSource = source }

// awaitOverdueUpdate waits until the overdue changes of the list are in force or the attempt is
// given up. That takes little time, as their reader runs as soon as the process does.
func (p *Pool) awaitOverdueUpdate(ctx context.Context) {
	for p.updateSource != nil && p.updateSource.UpdateOverdue() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}
