package lynxspool

import (
	"errors"
	"fmt"
	"time"
)

// Settings beyond these are a mistake of whoever wrote them, and would overflow.
const (
	maxTime   = 1000 * time.Hour
	maxCount  = 1 << 20
	maxFigure = 1e12

	defaultAskWithin  = Time(10e9)
	defaultDrainGrace = Time(1e9)
)

// check rejects what cannot be served, naming the field, and fills in defaults.
func check(set *Settings) error {
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
	for _, f := range []struct {
		name string
		x    float64
	}{
		{"cold from", set.ColdCapacity}, {"overload factor", set.OverloadFactor},
		{"over-quota worth", set.OverQuotaFactor},
	} {
		if !isFigure(f.x) {
			return fmt.Errorf("settings: %s: %v is not between 0 and %v", f.name, f.x, maxFigure)
		}
	}
	set.Classes = append([]Class(nil), set.Classes...)
	for i := range set.Classes {
		c := &set.Classes[i]
		switch {
		case c.LatencyTarget < 0 || c.LatencyTarget > maxTime:
			return fmt.Errorf("settings: class %d: aim: %v is not between 0 and %v", i, c.LatencyTarget, maxTime)
		case c.Deadline <= 0 || c.Deadline > maxTime:
			return fmt.Errorf("settings: class %d: deadline: %v is not above 0 and up to %v", i, c.Deadline, maxTime)
		case c.DedupWindow < 0 || c.DedupWindow > maxTime:
			return fmt.Errorf("settings: class %d: window: %v is not between 0 and %v", i, c.DedupWindow, maxTime)
		case c.Effect > AtMostOnce:
			return fmt.Errorf("settings: class %d: unknown effect %d", i, c.Effect)
		case c.DedupScope > DedupCell:
			return fmt.Errorf("settings: class %d: unknown group %d", i, c.DedupScope)
		case !isFigure(c.PriorityWeight):
			return fmt.Errorf("settings: class %d: worth: %v is not between 0 and %v", i, c.PriorityWeight, maxFigure)
		}
		if c.LatencyTarget == 0 || c.LatencyTarget > c.Deadline {
			c.LatencyTarget = c.Deadline
		}
		orDefault(&c.PriorityWeight, 1)
	}
	for i, t := range set.Tenants {
		if !isFigure(t.Quota) {
			return fmt.Errorf("settings: tenant %d: quota: %v is not between 0 and %v", i, t.Quota, maxFigure)
		}
	}
	orDefault(&set.MaxAttempts, 3)
	orDefault(&set.MaxWatchGap, defaultAskWithin)
	orDefault(&set.ColdCapacity, 1)
	orDefault(&set.OverloadFactor, 2)
	orDefault(&set.OverloadWindow, 1e9)
	orDefault(&set.DrainGrace, defaultDrainGrace)
	set.ColdCapacity = min(set.ColdCapacity, 1)
	return nil
}

// isFigure is false for NaN too.
func isFigure(x float64) bool { return x >= 0 && x <= maxFigure }

func orDefault[T int | float64 | Time](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}

// UpdateSettings is a change of the settings. Open requests keep the rules they came under, their
// attempts included; what was learnt of a class stays with its name. Settings that cannot
// be served change nothing.
func (b *Balancer) UpdateSettings(now Time, set Settings) error {
	b.now = now
	if err := check(&set); err != nil {
		return err
	}
	var waiting []*request
	for i := range b.bands {
		for n := b.bands[i].head; n != nil; n = b.bands[i].head {
			waiting = append(waiting, n.item)
			b.dequeue(n.item)
		}
	}
	b.adopt(set)
	b.order()
	for _, r := range waiting {
		// Its class may be gone: it waits where it would, were it there still.
		r.band = b.lineOf(partWorth(&r.class.Class, r.part, &b.set))
		b.push(r, false)
	}
	b.pump()
	return nil
}

// adopt puts settings that are checked into force.
func (b *Balancer) adopt(set Settings) {
	old, quota := b.classes, b.quota
	b.set, b.classes, b.quota = set, nil, nil
	b.aim, b.penalty = set.Classes[0].LatencyTarget, 0
	for _, c := range set.Classes {
		b.aim = min(b.aim, c.LatencyTarget)
		b.penalty = max(b.penalty, penaltyAims*c.LatencyTarget.Seconds())
		k := &class{Class: c}
		for _, o := range old {
			if o.Name == c.Name && c.Name != "" {
				k.lat = o.lat
			}
		}
		b.classes = append(b.classes, k)
	}
	b.decay = decayAims * b.aim.Seconds()
	for i, t := range set.Tenants {
		r := t.Quota / float64(set.Instances)
		q := bucket{tokens: r * quotaBurst, rate: r, at: b.now}
		if i < len(quota) && quota[i].rate == r {
			q = quota[i]
		}
		b.quota = append(b.quota, q)
	}
	b.layBands()
}
