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

// A tenant has this server's part of its quota, and no more than a second of it at once.
func TestQuotaIsSplitOverThePeers(t *testing.T) {
	quotas := newTestQuotas(10)
	require.True(t, quotas.charge(0, false), "nothing has been refilled yet")
	quotas.refill(0.4)
	require.False(t, quotas.charge(0, false))
	require.False(t, quotas.charge(0, false))
	require.True(t, quotas.charge(0, false), "0.4 s of five a second are two")
	quotas.refill(100)
	admitted := 0
	for !quotas.charge(0, false) {
		admitted++
	}
	require.Equal(t, 6, admitted, "one and a second of five")
}

// A retry is within the quota when there is a token for it, and takes none: its first attempt was charged.
func TestRetriesAreNotCharged(t *testing.T) {
	quotas := newTestQuotas(10)
	require.True(t, quotas.charge(0, true))
	quotas.refill(0.2)
	require.False(t, quotas.charge(0, true))
	require.Equal(t, []float64{1}, quotas.tokens)
}

// Nothing is beyond a quota that is not known, not set or not enforced.
func TestWithoutQuotaNothingIsOver(t *testing.T) {
	quotas := newTestQuotas(0, 10)
	require.False(t, quotas.charge(0, false), "no quota")
	require.False(t, quotas.charge(-1, false), "no tenant")
	require.False(t, quotas.charge(2, false), "unknown tenant")
	quotas.configure(&Settings{Tenants: quotas.tenants, OverQuotaWeightShare: 1})
	require.False(t, quotas.charge(1, false), "weighs as much as others")
}

// Tenants keep their tokens when settings change; a refund gives back one token and passes over unknown tenants.
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

// Guards tenants within their quotas against one that floods: of equal requests, some of which must be rejected, those
// beyond a tenant's quota go first, and where there is capacity they run like any other.
func TestOverQuotaIsShedFirst(t *testing.T) {
	controller := newTestController(t, func(s *Settings) {
		s.Tenants, s.Peers, s.OverQuotaWeightShare = []Tenant{{"flood", 10}, {"calm", 10}}, 2, 0.05 // Five a second here.
	})
	controller.Step(0, nil)
	controller.Step(time.Second, nil)
	var events []Event
	for id := RequestID(1); id <= 40; id++ {
		tenant := int(id) % 10 / 9 // One in ten is of the calm tenant.
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
		t.Errorf("%d of 40 rejected, one within its quota among them: %v", len(rejected), withinQuota)
	}
	unknown := newTestController(t, nil).Step(0, []Event{RequestArrived{ID: 1, Tenant: 7, QueuedKB: 1}})
	if countActions[Start](unknown) != 1 {
		t.Error("a request of no known tenant is not run")
	}
}
