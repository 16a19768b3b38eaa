package bramblelock

// What FuzzRules checks after each event of a history.

// carryOutActions carries out the actions of the last event and checks them against the rules.
func (h *history) carryOutActions() {
	for _, a := range h.b.TakeActions(nil) {
		switch a.Kind {
		case Wake:
			h.timers = append(h.timers, a)
		case Send:
			h.send(a)
		case Cancel:
			if r := h.requests[a.Request]; !h.set.CancelAllowed || a.Attempt >= len(r.attempts) || r.attempts[a.Attempt].ended {
				h.Fatalf("cancel %+v not allowed", a)
			}
		case Close:
			if a.Host < 1 || int(a.Host) > len(h.hosts) {
				h.Fatalf("closes unknown host %d", a.Host)
			}
		case Refuse, Fail:
			h.answer(a)
		}
	}
}

func (h *history) send(a Action) {
	r := h.requests[a.Request]
	host := h.hosts[a.Host-1]
	if r == nil || r.answered {
		h.Fatalf("request %d sent after its answer", a.Request)
	}
	if host.State != Ready {
		h.Fatalf("sent to host %d, state %d", host.ID, host.State)
	}
	if len(r.attempts) >= r.maxAttempts {
		h.Fatalf("request %d has more than %d attempts", a.Request, r.maxAttempts)
	}
	if r.inFlight() > 0 {
		h.Fatalf("request %d has two attempts at once", a.Request)
	}
	for _, earlier := range r.attempts {
		if earlier.ended && !earlier.result.mayHaveRun() {
			continue
		}
		switch c := r.class; {
		case c.Effect == AtMostOnce:
			h.Fatalf("at-most-once request %d sent again", a.Request)
		case c.Effect == Deduplicated && h.now-earlier.sent > c.DedupWindow:
			h.Fatalf("deduplicated request %d sent again after its window", a.Request)
		case c.Effect == Deduplicated && c.DedupScope == DedupZone && earlier.host.Zone != host.Zone,
			c.Effect == Deduplicated && c.DedupScope == DedupCell && earlier.host.Cell != host.Cell:
			h.Fatalf("deduplicated request %d sent outside its scope", a.Request)
		}
		break
	}
	r.attempts = append(r.attempts, attemptRecord{host: host, sent: h.now})
	h.checkCold(int(a.Host-1), host)
}

// checkCold compares the sends of the last OverloadWindow with the budget at the highest rate that
// this instance can have measured, of warm hosts or in the answers of this host.
func (h *history) checkCold(i int, host Host) {
	age := h.now - host.Started
	if host.Started == 0 || age >= h.set.WarmAfter {
		return
	}
	h.coldSends[i] = append(h.coldSends[i], h.now)
	n := 0
	for _, at := range h.coldSends[i] {
		if h.now-at < h.set.OverloadWindow {
			n++
		}
	}
	share := h.set.ColdCapacity + (1-h.set.ColdCapacity)*age.Seconds()/h.set.WarmAfter.Seconds()
	hostRate := share / (initialRTTShare * h.b.shortestTarget.Seconds())
	if rtt := &h.b.byID[host.ID].warmRTT; rtt.seen {
		hostRate = 1 / rtt.mean
	}
	h.hostRate[i] = max(h.hostRate[i], hostRate)
	rate := max(h.maxServedRate*share, h.hostRate[i])
	if maxSends := 2 + rate*h.set.OverloadFactor*h.set.OverloadWindow.Seconds(); float64(n) > maxSends {
		h.Fatalf("%d sends within %v to cold host %d, budget %.1f", n, h.set.OverloadWindow, host.ID, maxSends)
	}
}

func (h *history) answer(a Action) {
	r := h.requests[a.Request]
	if r == nil || r.answered {
		h.Fatalf("request %d answered twice", a.Request)
	}
	r.answered = true
	if a.Kind == Fail {
		return
	}
	for _, attempt := range r.attempts {
		if c := r.class; (!attempt.ended || attempt.result.mayHaveRun()) && c.Effect != Idempotent &&
			(c.Effect != Deduplicated || c.DedupScope != DedupAll) {
			h.Fatalf("request %d refused though it may have run", a.Request)
		}
	}
}
