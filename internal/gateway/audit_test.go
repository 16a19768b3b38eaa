package gateway

import (
	"context"
	"testing"
	"time"
)

// The audit judges a send by the drain grace in force, which a change of the settings replaces.
func TestAuditFollowsDrainGrace(t *testing.T) {
	const unusableFor = 2 * time.Second
	for _, tt := range []struct {
		before, after time.Duration
		violations    int64
	}{{time.Millisecond, time.Hour, 0}, {time.Hour, time.Millisecond, 1}, {time.Hour, 0, 1}} { // the default is 1 s
		cfg := testConfig(newHost(t, answerWith(okAnswer)))
		cfg.Settings.DrainGrace = tt.before
		g := startGateway(t, cfg)
		next := cfg.Rules
		next.Settings.DrainGrace = tt.after
		g.loop.UpdateRules(&next)
		g.loop.Sync()
		pool, h := g.loop.pool, g.loop.hosts[hostID("s-0")]
		c, err := pool.get(context.Background(), h)
		if err != nil {
			t.Fatal(err)
		}
		unusableSince := time.Now().Add(-unusableFor)
		h.unusableSince.Store(&unusableSince)
		pool.roundTrip(context.Background(), c, newExchange("b"), newAttempt())
		if got := g.loop.Audit.Counters().SentAfterNotification; got != tt.violations {
			t.Errorf("grace changed from %v to %v, sent after %v: %d violations, want %d", tt.before, tt.after, unusableFor, got, tt.violations)
		}
	}
}
