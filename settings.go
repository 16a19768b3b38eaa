package bramblelock

import (
	"cmp"
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

// SettingsError reports a setting whose value is not allowed.
type SettingsError struct {
	Field   string // path of the field in Settings, such as Classes[2].Deadline
	Value   any    // a time.Duration if the field is one
	Allowed string // which values are allowed, as in "between 0s and 1000h0m0s"
}

// Error returns one line that names the field.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("settings: %s: %v is not %s", e.Field, e.Value, e.Allowed)
}

// checkRange returns a SettingsError unless least <= value <= most. It returns one for NaN.
func checkRange[T int | float64 | time.Duration](field string, value, least, most T) error {
	if value >= least && value <= most {
		return nil
	}
	return &SettingsError{field, value, fmt.Sprintf("between %v and %v", least, most)}
}

// checkDuration returns a SettingsError unless a duration is between 0 and maxTime.
func checkDuration(field string, d time.Duration) error { return checkRange(field, d, 0, maxTime) }

// checkNumber returns a SettingsError unless a number is between 0 and maxNumber.
func checkNumber(field string, x float64) error { return checkRange(field, x, 0, maxNumber) }

// checkSettings rejects invalid settings with a SettingsError, and fills in defaults.
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
	if len(set.Classes) == 0 {
		return &SettingsError{"Classes", "an empty list", "a list of one class or more"}
	}
	return cmp.Or(
		checkRange("Instances", set.Instances, 1, maxCount),
		checkRange("Rank", set.Rank, 0, set.Instances-1),
		checkRange("MaxAttempts", set.MaxAttempts, 0, maxCount),
	)
}

func checkDurations(set *Settings) error {
	return cmp.Or(
		checkDuration("EventInterval", set.EventInterval),
		checkDuration("MaxRetryAfter", set.MaxRetryAfter),
		checkDuration("MaxWatchGap", set.MaxWatchGap),
		checkDuration("WarmAfter", set.WarmAfter),
		checkDuration("OverloadWindow", set.OverloadWindow),
		checkDuration("DrainGrace", set.DrainGrace),
	)
}

func checkNumbers(set *Settings) error {
	return cmp.Or(
		checkNumber("ColdCapacity", set.ColdCapacity),
		checkNumber("OverloadFactor", set.OverloadFactor),
		checkNumber("OverQuotaFactor", set.OverQuotaFactor),
	)
}

// checkClasses checks the classes and fills in their defaults, in a copy of the caller's slice.
func checkClasses(set *Settings) error {
	set.Classes = append([]Class(nil), set.Classes...)
	for i := range set.Classes {
		c := &set.Classes[i]
		if err := checkClass(fmt.Sprintf("Classes[%d].", i), c); err != nil {
			return err
		}
		if c.LatencyTarget == 0 || c.LatencyTarget > c.Deadline {
			c.LatencyTarget = c.Deadline
		}
		setDefault(&c.PriorityWeight, 1)
	}
	return nil
}

func checkTenants(set *Settings) error {
	for i, t := range set.Tenants {
		if err := checkNumber(fmt.Sprintf("Tenants[%d].Quota", i), t.Quota); err != nil {
			return err
		}
	}
	return nil
}

// checkClass returns a SettingsError for the first field of a class that is not allowed. path is the class in
// Settings, with a dot at its end.
func checkClass(path string, c *Class) error {
	switch {
	case c.Deadline <= 0 || c.Deadline > maxTime:
		return &SettingsError{path + "Deadline", c.Deadline, fmt.Sprintf("above 0s and up to %v", maxTime)}
	case c.Effect > AtMostOnce:
		return &SettingsError{path + "Effect", c.Effect, "an effect"}
	case c.DedupScope > DedupCell:
		return &SettingsError{path + "DedupScope", c.DedupScope, "a deduplication scope"}
	}
	return cmp.Or(
		checkDuration(path+"LatencyTarget", c.LatencyTarget),
		checkDuration(path+"DedupWindow", c.DedupWindow),
		checkNumber(path+"PriorityWeight", c.PriorityWeight),
	)
}

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
	b.applySettings(set)
	b.orderPreferred()
	b.processQueues()
	return nil
}

// applySettings puts checked settings into force.
func (b *Balancer) applySettings(set Settings) {
	b.settings = set
	b.applyClasses()
	b.applyTargets()
	b.applyQuotas()
	b.orderQueues()
}

// applyTargets sets what follows from the latency targets of all classes.
func (b *Balancer) applyTargets() {
	b.shortestTarget, b.penalty = b.settings.Classes[0].LatencyTarget, 0
	for _, c := range b.settings.Classes {
		b.shortestTarget = min(b.shortestTarget, c.LatencyTarget)
		b.penalty = max(b.penalty, penaltyTargets*c.LatencyTarget.Seconds())
	}
	b.decay = decayTargets * b.shortestTarget.Seconds()
}
