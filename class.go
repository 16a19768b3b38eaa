package bramblelock

// Classes of requests, and the rules under which a request came.

import "slices"

// class is a class of the settings with its statistics and queues. An open request keeps its class when
// the settings change. A class that is no longer in the settings, and has open requests, is retired.
type class struct {
	Class
	rtt          movingAverage // RTT in seconds of good answers
	aloneRTT     movingAverage // RTT in seconds of good answers to lone attempts at a host
	openRequests int
	queues       [4]queue // by queue flags
}

// requestRules is what the settings under which a request came say of it.
type requestRules struct {
	class       *class // nil if there is no such class
	quota       *quota // nil if the tenant has none
	maxAttempts int
}

// rulesOf returns the rules of a request.
func (b *Balancer) rulesOf(q *Request) requestRules {
	if q.Settings != nil {
		return b.formerRulesOf(q, *q.Settings)
	}
	rules := requestRules{maxAttempts: b.settings.MaxAttempts}
	if q.Class >= 0 && q.Class < len(b.classes) {
		rules.class = b.classes[q.Class]
	}
	if q.Tenant >= 0 && q.Tenant < len(b.quotas) {
		rules.quota = &b.quotas[q.Tenant]
	}
	return rules
}

// formerRulesOf returns the rules of a request by settings that are no longer in force. Its use of the quota
// counts for the tenant of that name.
func (b *Balancer) formerRulesOf(q *Request, former Settings) requestRules {
	if checkSettings(&former) != nil || q.Class < 0 || q.Class >= len(former.Classes) {
		return requestRules{}
	}
	rules := requestRules{class: b.formerClass(former.Classes[q.Class]), maxAttempts: former.MaxAttempts}
	if q.Tenant >= 0 && q.Tenant < len(former.Tenants) {
		rules.quota = quotaOf(b.quotas, former.Tenants[q.Tenant].Name)
	}
	return rules
}

// formerClass returns the class with these rules, which is retired if the settings do not have it.
func (b *Balancer) formerClass(rules Class) *class {
	if c := sameClass(slices.Concat(b.classes, b.retiredClasses), rules); c != nil {
		return c
	}
	c := newClass(rules, b.classes)
	b.retiredClasses = append(b.retiredClasses, c)
	b.orderQueues()
	return c
}

// applyClasses lists the classes of the settings. A class that stays as it was, or comes back while it still
// has open requests, goes on as the same one; one with other rules keeps the statistics of its name. The
// classes that end are retired until their last request has ended.
func (b *Balancer) applyClasses() {
	inForce, former := b.classes, slices.Concat(b.retiredClasses, b.classes)
	b.classes, b.retiredClasses = nil, nil
	for _, rules := range b.settings.Classes {
		c := sameClass(former, rules)
		if c == nil || slices.Contains(b.classes, c) {
			c = newClass(rules, inForce)
		}
		b.classes = append(b.classes, c)
	}
	for _, c := range former {
		if c.openRequests > 0 && !slices.Contains(b.classes, c) {
			b.retiredClasses = append(b.retiredClasses, c)
		}
	}
}

// sameClass returns the class that has a name and exactly these rules, or nil.
func sameClass(classes []*class, rules Class) *class {
	for _, c := range classes {
		if c.Class == rules && c.Name != "" {
			return c
		}
	}
	return nil
}

// newClass returns a class with the statistics of the former class of its name, if there is one.
func newClass(rules Class, former []*class) *class {
	c := &class{Class: rules}
	for _, f := range former {
		if f.Name == c.Name && c.Name != "" {
			c.rtt, c.aloneRTT = f.rtt, f.aloneRTT
		}
	}
	return c
}
