package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// planRequests puts requests into a plan, which they do not have to wait for.
func planRequests(controller *Controller, requests ...*request) *loadPlan {
	return &loadPlan{controller: controller, planned: requests, slots: 1}
}

// The least valuable request is the one of the least weight for its work, or for its calls where these are short, and
// the last one of equals.
func TestLeastValuable(t *testing.T) {
	controller := newTestController(t, func(s *Settings) {
		s.OverQuotaWeightShare = 0.05
		s.Classes = append(s.Classes, Class{LatencyObjective: time.Second, Deadline: time.Second, Weight: 1})
	})
	calls, valuable, noCalls := &request{}, &request{}, &request{}
	valuable.Class, noCalls.Class = 1, 2
	overQuota := &request{overQuota: true}
	overQuota.Class = 1
	tests := []struct {
		name     string
		requests []*request
		forCalls bool
		want     int
	}{
		{"least weight", []*request{valuable, calls, valuable}, false, 1},
		{"last of equals", []*request{calls, calls, valuable}, false, 1},
		{"beyond its quota", []*request{calls, overQuota, valuable}, false, 1},
		{"shorter work is worth more for it", []*request{calls, noCalls}, false, 0},
		{"calls are short", []*request{noCalls, calls, valuable}, true, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, planRequests(controller, tc.requests...).leastValuable(tc.forCalls))
		})
	}
}

// Weight counts for each request or, if the settings say so, for each unit of its work.
func TestWeightForWork(t *testing.T) {
	controller := newTestController(t, func(s *Settings) { s.OverQuotaWeightShare = 0.5 })
	req := &request{}
	req.Class = 1
	require.InDelta(t, 4/0.25, controller.weightForWork(req), 1e-9, "a quarter of a second is assumed")
	req.overQuota = true
	require.InDelta(t, 2/0.25, controller.weightForWork(req), 1e-9)
	controller.settings.WeightPerWork = true
	require.InDelta(t, 2, controller.weightForWork(req), 1e-9)
}

// Requests beyond what can start in time are shed, the rest stays.
func TestShedLoadKeepsWhatCanStartInTime(t *testing.T) {
	controller := newTestController(t, nil)
	var events []Event
	for id := RequestID(1); id <= 40; id++ {
		events = append(events, RequestArrived{ID: id, QueuedKB: 1})
	}
	actions := controller.Step(0, events)
	started, rejected := countActions[Start](actions), countActions[Reject](actions)
	require.Equal(t, 2, started)
	// Two slots of a quarter of a second each start some 13 in the 1.6 s that the margin of best effort leaves.
	require.InDelta(t, 27, rejected, 2)
	require.Equal(t, 40-started-rejected, controller.requests.counts[stateQueued])
}
