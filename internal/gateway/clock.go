package gateway

import (
	"math"
	"time"

	"bramblelock"
)

// clock gives the time that the Balancer uses: nanoseconds since the Unix epoch, taken from the wall
// clock at start and counted by the monotonic clock from then on. Later steps of the wall clock do not
// affect it.
type clock struct {
	start time.Time
}

func (c clock) now() bramblelock.Time { return c.at(time.Now()) }

func (c clock) at(t time.Time) bramblelock.Time {
	return bramblelock.Time(c.start.UnixNano()) + t.Sub(c.start)
}

// maxStartMS is an upper limit on start times, in Unix ms. Later ones would overflow.
const maxStartMS = math.MaxInt64 / 4 / int64(time.Millisecond)

// startTime converts the start time of a host, in Unix ms of the wall clock, to the Balancer's time.
// wall is the present time of the wall clock, which may have been stepped since the start of this
// process, on all machines or on this one. So the start time is converted both with the wall clock
// at the start of this process and with the present one, and the later result counts: a host that
// counts as cold for too long gets less traffic for a while, but one that wrongly counts as warm is
// overloaded.
func (c clock) startTime(unixMS int64, wall time.Time) bramblelock.Time {
	if unixMS <= 0 {
		return 0 // the start time is not known and counts as long ago
	}
	unixMS = min(unixMS, maxStartMS)
	now := c.now()
	byStart := bramblelock.Time(unixMS) * bramblelock.Time(time.Millisecond)
	byNow := now - bramblelock.Time(wall.UnixMilli()-unixMS)*bramblelock.Time(time.Millisecond)
	return min(now, max(byStart, byNow))
}

// timeOf converts a time of the Balancer to a time.Time with a monotonic reading.
func (c clock) timeOf(t bramblelock.Time) time.Time {
	return c.start.Add(t - bramblelock.Time(c.start.UnixNano()))
}
