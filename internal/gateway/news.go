package gateway

import (
	"context"
	"time"
)

// News is what tells the pool of changes of the list; a Discovery is one.
type News interface {
	// Overdue says whether something has been written that should be in force by now.
	Overdue() bool
}

// Await has attempts wait until what news has written is in force: a change counts as notified from
// when it was written.
func (p *Pool) Await(news News) { p.news = news }

// heedNews waits until what discovery has written is in force, if that is overdue, or the attempt is
// given up: its reader is at work as soon as the process runs.
func (p *Pool) heedNews(ctx context.Context) {
	for p.news != nil && p.news.Overdue() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}
