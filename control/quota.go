package control

import "time"

const (
	// quotaBurst is how much of its quota a tenant may use at once.
	quotaBurst = time.Second
)

// chargeQuota tells whether r is beyond its tenant's share of this server, a part of that counted over the fleet.
// What is over counts less where work must be turned away, and is served otherwise.
func (c *Controller) chargeQuota(r *request) {
	if r.Tenant < 0 || r.Tenant >= len(c.quotaTokens) || c.settings.OverQuotaWeightShare >= 1 ||
		c.settings.Tenants[r.Tenant].Quota <= 0 {
		return
	}
	if r.overQuota = c.quotaTokens[r.Tenant] < 1; !r.overQuota && !r.Retry { // a retry was counted as it first came
		c.quotaTokens[r.Tenant]--
	}
}
