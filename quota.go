package bramblelock

// Quotas of tenants: a request beyond its tenant's quota has a lower priority.

const quotaBurstSeconds = 1.0 // seconds of its quota that a tenant may save up

// quota is this instance's part of the quota of a tenant.
type quota struct {
	tenant string // name of the tenant; may be empty
	tokenBucket
}

// tokenBucket limits the requests of a tenant. Its rate is in requests a second; 0 means no limit.
type tokenBucket struct {
	tokens, rate float64
	filledAt     Time
}

// applyQuotas sets this instance's part of the quotas of all tenants. A tenant whose quota is the same as
// before keeps its tokens, also at another place in the list.
func (b *Balancer) applyQuotas() {
	former := b.quotas
	b.quotas = nil
	for _, t := range b.settings.Tenants {
		rate := t.Quota / float64(b.settings.Instances)
		bucket := tokenBucket{tokens: rate * quotaBurstSeconds, rate: rate, filledAt: b.now}
		if f := quotaOf(former, t.Name); f != nil && f.rate == rate {
			bucket = f.tokenBucket
		}
		b.quotas = append(b.quotas, quota{t.Name, bucket})
	}
}

// quotaOf returns the quota of the tenant with a name, or nil if no tenant has it.
func quotaOf(quotas []quota, tenant string) *quota {
	for i := range quotas {
		if quotas[i].tenant == tenant && tenant != "" {
			return &quotas[i]
		}
	}
	return nil
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
