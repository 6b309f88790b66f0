package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestQuotas(quotas ...float64) *tenantQuotas {
	settings := Settings{Peers: 2}
	for _, quota := range quotas {
		settings.Tenants = append(settings.Tenants, Tenant{Quota: quota})
	}
	q := &tenantQuotas{}
	q.configure(&settings)
	return q
}

// The quota of a tenant is split evenly over the servers, and a burst is limited to the quota of one second.
func TestQuotaIsSplitAcrossServers(t *testing.T) {
	quotas := newTestQuotas(10)
	require.True(t, quotas.charge(0, false), "no token before the first refill")
	quotas.refill(0.4)
	require.False(t, quotas.charge(0, false))
	require.False(t, quotas.charge(0, false))
	require.True(t, quotas.charge(0, false), "0.4 s at 5 tokens per second give two tokens")
	quotas.refill(100)
	admitted := 0
	for !quotas.charge(0, false) {
		admitted++
	}
	require.Equal(t, 6, admitted, "one token and a second at 5 tokens per second")
}

// A retry is within the quota if there is a token, but does not take it, as its first attempt was charged.
func TestRetriesAreNotCharged(t *testing.T) {
	quotas := newTestQuotas(10)
	require.True(t, quotas.charge(0, true))
	quotas.refill(0.2)
	require.False(t, quotas.charge(0, true))
	require.Equal(t, []float64{1}, quotas.tokens)
}

// A request is never beyond its quota if the tenant is unknown, has no quota, or quotas are not enforced.
func TestNeverOverQuotaWithoutLimit(t *testing.T) {
	quotas := newTestQuotas(0, 10)
	require.False(t, quotas.charge(0, false), "no quota")
	require.False(t, quotas.charge(-1, false), "no tenant")
	require.False(t, quotas.charge(2, false), "unknown tenant")
	quotas.configure(&Settings{Tenants: quotas.tenants, OverQuotaWeightShare: 1})
	require.False(t, quotas.charge(1, false), "has as much weight as others")
}

// Tenants keep their tokens when the settings change. A refund returns one token and ignores unknown tenants.
func TestQuotasKeepTheirTokens(t *testing.T) {
	quotas := newTestQuotas(10)
	quotas.refill(0.2)
	quotas.configure(&Settings{Tenants: []Tenant{{Quota: 10}, {Quota: 20}}, Peers: 2})
	require.Equal(t, []float64{1, 0}, quotas.tokens)
	quotas.refund(1)
	quotas.refund(2)
	quotas.refund(-1)
	require.Equal(t, []float64{1, 1}, quotas.tokens)
}

// Guards tenants within their quotas against one that floods the server: if some of otherwise equal requests must be
// rejected, those beyond a tenant's quota are rejected first. With capacity to spare they run like others.
func TestOverQuotaIsShedFirst(t *testing.T) {
	controller := newTestController(t, func(s *Settings) {
		// Each tenant may send this server five requests per second.
		s.Tenants, s.Peers, s.OverQuotaWeightShare = []Tenant{{"flood", 10}, {"calm", 10}}, 2, 0.05
	})
	controller.Step(0, nil)
	controller.Step(time.Second, nil)
	var events []Event
	for id := RequestID(1); id <= 40; id++ {
		tenant := int(id) % 10 / 9 // One in ten is of the tenant "calm".
		events = append(events, RequestArrived{ID: id, Tenant: tenant, QueuedKB: 1})
	}
	rejected := map[RequestID]bool{}
	for _, action := range stepAfter(controller, 0, events...) {
		if reject, ok := action.(Reject); ok {
			rejected[reject.ID] = true
		}
	}
	withinQuota := rejected[9] || rejected[19] || rejected[29] || rejected[39]
	if withinQuota || len(rejected) < 10 || len(rejected) > 31 {
		t.Errorf("%d of 40 rejected, any within its quota: %v", len(rejected), withinQuota)
	}
	unknown := newTestController(t, nil).Step(0, []Event{RequestArrived{ID: 1, Tenant: 7, QueuedKB: 1}})
	if countActions[Start](unknown) != 1 {
		t.Error("a request of an unknown tenant does not run")
	}
}
