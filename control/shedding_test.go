package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// planRequests returns a plan of the given requests, without checking whether they can start in time.
func planRequests(controller *Controller, requests ...*request) *loadPlan {
	return &loadPlan{controller: controller, planned: requests, slots: 1}
}

// The least valuable request is the one with the lowest weight for its work, or per call if calls are scarce. Of equal
// requests it is the last one.
func TestLeastValuable(t *testing.T) {
	controller := newTestController(t, func(s *Settings) {
		s.OverQuotaWeightShare = 0.05
		s.Classes = append(s.Classes, Class{LatencyObjective: time.Second, Deadline: time.Second, Weight: 1})
	})
	withCalls, valuable, withoutCalls := &request{}, &request{}, &request{}
	valuable.Class, withoutCalls.Class = 1, 2
	overQuota := &request{overQuota: true}
	overQuota.Class = 1
	tests := []struct {
		name     string
		requests []*request
		forCalls bool
		want     int
	}{
		{"lowest weight", []*request{valuable, withCalls, valuable}, false, 1},
		{"last of equals", []*request{withCalls, withCalls, valuable}, false, 1},
		{"beyond its quota", []*request{withCalls, overQuota, valuable}, false, 1},
		{"shorter work of equal weight is more valuable", []*request{withCalls, withoutCalls}, false, 0},
		{"calls are scarce", []*request{withoutCalls, withCalls, valuable}, true, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, planRequests(controller, tc.requests...).leastValuable(tc.forCalls))
		})
	}
}

// Weight is earned per request or, with the setting WeightPerWork, per unit of work.
func TestWeightPerSlotSecond(t *testing.T) {
	controller := newTestController(t, func(s *Settings) { s.OverQuotaWeightShare = 0.5 })
	req := &request{}
	req.Class = 1
	require.InDelta(t, 4/0.25, controller.weightPerSlotSecond(req), 1e-9, "assumed slot time of 0.25 s")
	req.overQuota = true
	require.InDelta(t, 2/0.25, controller.weightPerSlotSecond(req), 1e-9)
	controller.settings.WeightPerWork = true
	require.InDelta(t, 2, controller.weightPerSlotSecond(req), 1e-9)
}

// Requests that cannot start in time are shed; the others stay queued.
func TestShedLoadKeepsRequestsThatStartInTime(t *testing.T) {
	controller := newTestController(t, nil)
	var events []Event
	for id := RequestID(1); id <= 40; id++ {
		events = append(events, RequestArrived{ID: id, QueuedKB: 1})
	}
	actions := controller.Step(0, events)
	started, rejected := countActions[Start](actions), countActions[Reject](actions)
	require.Equal(t, 2, started)
	// With an assumed slot time of 0.25 s, two slots can start about 13 requests within the 1.6 s that the service margin
	// of best effort leaves.
	require.InDelta(t, 27, rejected, 2)
	require.Equal(t, 40-started-rejected, controller.requests.counts[stateQueued])
}
