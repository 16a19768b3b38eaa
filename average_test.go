package bramblelock

import (
	"math"
	"testing"
	"time"
)

// An event rate is corrected for the short time since its first event. An instance that has just
// started may meet cold hosts. If its short count passed for the rate of a warm host, it would pace
// them too low.
func TestCorrectedRateAfterFewEvents(t *testing.T) {
	const span, perSecond = 4.0, 50
	var r eventRate
	now := Time(time.Hour)
	if _, ok := r.corrected(now, span); ok {
		t.Error("a rate is reported without any events")
	}
	for i := range 40 * perSecond {
		now += time.Second / perSecond
		r.add(now, span)
		if got, ok := r.corrected(now, span); ok != (i > minEvents) && i != minEvents && i != minEvents-1 {
			t.Fatalf("after %d events: rate known %v", i+1, ok)
		} else if ok && math.Abs(got-perSecond) > 0.15*perSecond {
			t.Fatalf("after %d events: %.1f a second, want about %d", i+1, got, perSecond)
		}
	}
}
