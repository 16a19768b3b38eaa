package bramblelock

import (
	"errors"
	"fmt"
	"time"
)

// Upper bounds of settings: larger values are mistakes and would overflow.
const (
	maxTime   = 1000 * time.Hour
	maxCount  = 1 << 20
	maxNumber = 1e12

	defaultMaxWatchGap = 10 * time.Second
	defaultDrainGrace  = time.Second
)

// checkSettings rejects invalid settings, naming the field, and fills in defaults.
func checkSettings(set *Settings) error {
	for _, check := range []func(*Settings) error{
		checkCounts, checkDurations, checkNumbers, checkClasses, checkTenants,
	} {
		if err := check(set); err != nil {
			return err
		}
	}
	setDefault(&set.MaxAttempts, 3)
	setDefault(&set.MaxWatchGap, defaultMaxWatchGap)
	setDefault(&set.ColdCapacity, 1)
	setDefault(&set.OverloadFactor, 2)
	setDefault(&set.OverloadWindow, time.Second)
	setDefault(&set.DrainGrace, defaultDrainGrace)
	set.ColdCapacity = min(set.ColdCapacity, 1)
	return nil
}

func checkCounts(set *Settings) error {
	switch {
	case set.Instances < 1 || set.Instances > maxCount:
		return fmt.Errorf("settings: instances: %d is not between 1 and %d", set.Instances, maxCount)
	case set.Rank < 0 || set.Rank >= set.Instances:
		return fmt.Errorf("settings: rank: %d is not among %d instances", set.Rank, set.Instances)
	case len(set.Classes) == 0:
		return errors.New("settings: classes: there are none")
	case set.MaxAttempts < 0 || set.MaxAttempts > maxCount:
		return fmt.Errorf("settings: max attempts: %d is not between 0 and %d", set.MaxAttempts, maxCount)
	}
	return nil
}

func checkDurations(set *Settings) error {
	for _, f := range []struct {
		name string
		d    time.Duration
	}{
		{"step", set.EventInterval}, {"max retry after", set.MaxRetryAfter}, {"ask within", set.MaxWatchGap},
		{"warm after", set.WarmAfter}, {"fall", set.OverloadWindow}, {"drain grace", set.DrainGrace},
	} {
		if f.d < 0 || f.d > maxTime {
			return fmt.Errorf("settings: %s: %v is not between 0 and %v", f.name, f.d, maxTime)
		}
	}
	return nil
}

func checkNumbers(set *Settings) error {
	for _, f := range []struct {
		name string
		x    float64
	}{
		{"cold from", set.ColdCapacity}, {"overload factor", set.OverloadFactor},
		{"over-quota worth", set.OverQuotaFactor},
	} {
		if !validNumber(f.x) {
			return fmt.Errorf("settings: %s: %v is not between 0 and %v", f.name, f.x, maxNumber)
		}
	}
	return nil
}

// checkClasses checks the classes and fills in their defaults, in a copy of the caller's slice.
func checkClasses(set *Settings) error {
	set.Classes = append([]Class(nil), set.Classes...)
	for i := range set.Classes {
		c := &set.Classes[i]
		if err := checkClass(i, c); err != nil {
			return err
		}
		if c.LatencyTarget == 0 || c.LatencyTarget > c.Deadline {
			c.LatencyTarget = c.Deadline
		}
		setDefault(&c.PriorityWeight, 1)
	}
	return nil
}

func checkClass(i int, c *Class) error {
	switch {
	case c.LatencyTarget < 0 || c.LatencyTarget > maxTime:
		return fmt.Errorf("settings: class %d: latency target: %v is not between 0 and %v", i, c.LatencyTarget, maxTime)
	case c.Deadline <= 0 || c.Deadline > maxTime:
		return fmt.Errorf("settings: class %d: deadline: %v is not above 0 and up to %v", i, c.Deadline, maxTime)
	case c.DedupWindow < 0 || c.DedupWindow > maxTime:
		return fmt.Errorf("settings: class %d: window: %v is not between 0 and %v", i, c.DedupWindow, maxTime)
	case c.Effect > AtMostOnce:
		return fmt.Errorf("settings: class %d: unknown effect %d", i, c.Effect)
	case c.DedupScope > DedupCell:
		return fmt.Errorf("settings: class %d: unknown group %d", i, c.DedupScope)
	case !validNumber(c.PriorityWeight):
		return fmt.Errorf("settings: class %d: priority weight: %v is not between 0 and %v", i, c.PriorityWeight, maxNumber)
	}
	return nil
}

func checkTenants(set *Settings) error {
	for i, t := range set.Tenants {
		if !validNumber(t.Quota) {
			return fmt.Errorf("settings: tenant %d: quota: %v is not between 0 and %v", i, t.Quota, maxNumber)
		}
	}
	return nil
}

// validNumber reports whether x is within 0 and maxNumber; it is false for NaN.
func validNumber(x float64) bool { return x >= 0 && x <= maxNumber }

func setDefault[T int | float64 | Time](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}

// UpdateSettings replaces the settings. Open requests and their attempts keep the rules under which they
// arrived; statistics of a class stay with its name. Invalid settings change nothing.
func (b *Balancer) UpdateSettings(now Time, set Settings) error {
	b.now = now
	if err := checkSettings(&set); err != nil {
		return err
	}
	var waiting []*request
	for i := range b.queues {
		for n := b.queues[i].head; n != nil; n = b.queues[i].head {
			waiting = append(waiting, n.item)
			b.dequeue(n.item)
		}
	}
	b.applySettings(set)
	b.orderPreferred()
	for _, r := range waiting {
		// The class may be gone: the request is queued by the priority that it would have.
		r.queueIndex = b.queueFor(queuePriority(&r.class.Class, r.flags, &b.settings))
		b.pushQueued(r, false)
	}
	b.processQueues()
	return nil
}

// applySettings puts checked settings into force.
func (b *Balancer) applySettings(set Settings) {
	b.settings = set
	b.applyClasses()
	b.applyQuotas()
	b.orderQueues()
}

// applyClasses lists the classes of the settings. Those that stay, by name, keep their statistics.
func (b *Balancer) applyClasses() {
	old := b.classes
	b.classes, b.shortestTarget, b.penalty = nil, b.settings.Classes[0].LatencyTarget, 0
	for _, c := range b.settings.Classes {
		b.shortestTarget = min(b.shortestTarget, c.LatencyTarget)
		b.penalty = max(b.penalty, penaltyTargets*c.LatencyTarget.Seconds())
		k := &class{Class: c}
		for _, o := range old {
			if o.Name == c.Name && c.Name != "" {
				k.rtt, k.aloneRTT = o.rtt, o.aloneRTT
			}
		}
		b.classes = append(b.classes, k)
	}
	b.decay = decayTargets * b.shortestTarget.Seconds()
}

// applyQuotas sets this instance's part of the quotas. A quota that is the same as before keeps its tokens.
func (b *Balancer) applyQuotas() {
	old := b.quotas
	b.quotas = nil
	for i, t := range b.settings.Tenants {
		rate := t.Quota / float64(b.settings.Instances)
		quota := tokenBucket{tokens: rate * quotaBurstSeconds, rate: rate, filledAt: b.now}
		if i < len(old) && old[i].rate == rate {
			quota = old[i]
		}
		b.quotas = append(b.quotas, quota)
	}
}

// class is a class of the settings with its statistics. An open request keeps its class when the
// settings change.
type class struct {
	Class
	rtt      movingAverage // RTT in seconds of good answers
	aloneRTT movingAverage // RTT in seconds of good answers to lone attempts at a host
	queues   [4]int        // index in requestQueues.queues, by queue flags
}
