package control

import (
	"math"
	"time"
)

// quotaBurst is how much of its quota a tenant may use at once.
const quotaBurst = time.Second

// tenantQuotas are token buckets, one for each tenant, that hold this server's part of the tenant's quota. Requests
// beyond a quota weigh less where load must be shed, and are served otherwise.
type tenantQuotas struct {
	tenants  []Tenant
	peers    int       // servers that share each quota
	enforced bool      // requests beyond a quota weigh less than others
	tokens   []float64 // by tenant: first attempts within its quota that may still come at once
}

// configure takes up settings. Tenants keep their numbers and their tokens.
func (q *tenantQuotas) configure(settings *Settings) {
	q.tenants = settings.Tenants
	q.peers = settings.Peers
	q.enforced = settings.OverQuotaWeightShare < 1
	for len(q.tokens) < len(settings.Tenants) {
		q.tokens = append(q.tokens, 0)
	}
}

// refill adds the tokens of elapsed seconds.
func (q *tenantQuotas) refill(elapsed float64) {
	for i, tenant := range q.tenants {
		rate := tenant.Quota / math.Max(1, float64(q.peers))
		q.tokens[i] = math.Min(q.tokens[i]+elapsed*rate, 1+rate*quotaBurst.Seconds())
	}
}

// charge takes a token for a request and reports whether the request is beyond its tenant's quota. A retry takes
// none, as its first attempt was charged.
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

// refund gives back the token of a request that nobody had asked for.
func (q *tenantQuotas) refund(tenant int) {
	if q.known(tenant) {
		q.tokens[tenant]++
	}
}

func (q *tenantQuotas) known(tenant int) bool { return tenant >= 0 && tenant < len(q.tokens) }
