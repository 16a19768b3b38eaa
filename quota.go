package bramblelock

// Quotas of tenants: a request beyond its tenant's quota has a lower priority.

const quotaBurstSeconds = 1.0 // seconds of its quota that a tenant may save up

// tokenBucket limits the requests of a tenant. Its rate is in requests a second; 0 means no limit.
type tokenBucket struct {
	tokens, rate float64
	filledAt     Time
}

// take uses one request of a tenant's quota; it reports false if the quota is used up.
func (t *tokenBucket) take(now Time) bool {
	if t.rate <= 0 {
		return true
	}
	t.tokens = min(t.tokens+(now-t.filledAt).Seconds()*t.rate, max(1, t.rate*quotaBurstSeconds))
	t.filledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
