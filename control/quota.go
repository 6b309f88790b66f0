package control

import (
	"math"
	"time"
)

// quotaBurst is the time over which a tenant may accumulate unused quota for a burst.
const quotaBurst = time.Second

// tenantQuotas holds a token bucket for each tenant, which is refilled with this server's part of the tenant's quota.
// Requests beyond a quota have less weight when load must be shed; otherwise they are served like others.
type tenantQuotas struct {
	tenants  []Tenant
	peers    int       // servers that share each quota
	enforced bool      // requests beyond a quota have less weight than others
	tokens   []float64 // by tenant: how many more first attempts are within its quota now
}

// configure applies the settings. Tenants keep their indices and their tokens.
func (q *tenantQuotas) configure(settings *Settings) {
	q.tenants = settings.Tenants
	q.peers = settings.Peers
	q.enforced = settings.OverQuotaWeightShare < 1
	for len(q.tokens) < len(settings.Tenants) {
		q.tokens = append(q.tokens, 0)
	}
}

// refill adds the tokens for elapsed seconds.
func (q *tenantQuotas) refill(elapsed float64) {
	for i, tenant := range q.tenants {
		rate := tenant.Quota / math.Max(1, float64(q.peers))
		q.tokens[i] = math.Min(q.tokens[i]+elapsed*rate, 1+rate*quotaBurst.Seconds())
	}
}

// charge takes a token for a request and reports whether the request is beyond its tenant's quota. A retry takes no
// token, as its first attempt was charged.
func (q *tenantQuotas) charge(tenant int, retry bool) (overQuota bool) {
	if !q.known(tenant) || !q.enforced || q.tenants[tenant].Quota <= 0 {
		return false
	}
	if q.tokens[tenant] < 1 {
		return true
	}
	if !retry {
		q.tokens[tenant]--
	}
	return false
}

// refund returns the token of a request that the backend does not support.
func (q *tenantQuotas) refund(tenant int) {
	if q.known(tenant) {
		q.tokens[tenant]++
	}
}

func (q *tenantQuotas) known(tenant int) bool { return tenant >= 0 && tenant < len(q.tokens) }
