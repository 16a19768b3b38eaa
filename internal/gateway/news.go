package gateway

import "time"

// newsWait is how long an attempt waits at most for what discovery has written to be heeded.
const newsWait = 100 * time.Millisecond

// News is what tells the pool of changes of the list; a Discovery is one.
type News interface {
	// Overdue says whether something has been written that should have been heeded by now.
	Overdue() bool
}

// Await has attempts wait for what news has written to be heeded: a change counts as notified from
// when it was written. settle returns once all that was heeded is in force.
func (p *Pool) Await(news News, settle func()) { p.news, p.settle = news, settle }

// heedNews waits until what discovery has written is in force, if that is overdue.
func (p *Pool) heedNews() {
	if p.news == nil || !p.news.Overdue() {
		return
	}
	for end := time.Now().Add(newsWait); p.news.Overdue() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	p.settle()
}
