package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Extreme settings cause no panic and starve no class.
func TestExtremeSettings(t *testing.T) {
	extremes := map[string]func(*Settings){
		"one core":   func(s *Settings) { s.Cores = 1 },
		"many peers": func(s *Settings) { s.Peers, s.Callers = 5000, 20000 },
		"no quota": func(s *Settings) {
			s.Peers, s.Tenants = 5000, []Tenant{{Quota: 0}, {Quota: 0.001}}
		},
		"tiny share": func(s *Settings) { s.Dependency, s.CallConcurrencyShare = DependencyShared, 1e-6 },
		"no window": func(s *Settings) {
			s.Dependency, s.CallConcurrencyShare, s.CallConcurrencyWindow = DependencyShared, 0.5, 0
		},
		"no memory limit":              func(s *Settings) { s.MemoryKB = 0 },
		"allowance without callers":    func(s *Settings) { s.LoadSignal, s.Callers = LoadSignalAllowance, 0 },
		"keep-alive below the minimum": func(s *Settings) { s.MaxKeepAlive = time.Millisecond },
	}
	for name, change := range extremes {
		t.Run(name, func(t *testing.T) {
			controller := newTestController(t, change)
			starts := map[int]int{}
			unknownGauges := Tick{Gauges: Gauges{CPUUtilization: -1, Runnable: -1}}
			for i := range 2000 {
				arrived := RequestArrived{ID: RequestID(i + 1), Class: i % 2, QueuedKB: 1, Tenant: i % 3}
				for _, action := range stepAfter(controller, tickInterval, unknownGauges, arrived) {
					if start, ok := action.(Start); ok {
						starts[controller.requests.byID[start.ID].Class]++
						stepAfter(controller, 0, RequestFinished{ID: start.ID, Outcome: OutcomeOK})
					}
				}
			}
			if starts[0] < 100 || starts[1] < 20 {
				t.Errorf("%v starts by class, of 1000 requests each", starts)
			}
		})
	}
}

// New and Reconfigure reject invalid settings, and a rejected Reconfigure changes nothing.
func TestInvalidSettings(t *testing.T) {
	valid := func() Settings {
		return Settings{Cores: 2, Tenants: []Tenant{{Name: "hill"}}, Classes: []Class{
			{Name: "a", LatencyObjective: time.Second, Deadline: time.Second},
			{Name: "b", LatencyObjective: time.Second, Deadline: time.Second},
		}}
	}
	tests := []struct {
		name   string
		change func(*Settings)
	}{
		{"no class", func(s *Settings) { s.Classes = nil }},
		{"no active class", func(s *Settings) { s.Classes[0].Retired, s.Classes[1].Retired = true, true }},
		{"no cores", func(s *Settings) { s.Cores = 0 }},
		{"negative time", func(s *Settings) { s.AnswerGrace = -1 }},
		{"negative size", func(s *Settings) { s.MemoryKB = -1 }},
		{"class without objective", func(s *Settings) { s.Classes[1].LatencyObjective = 0 }},
		{"class without deadline", func(s *Settings) { s.Classes[1].Deadline = 0 }},
		{"class with a negative weight", func(s *Settings) { s.Classes[1].Weight = -1 }},
		{"class with a negative window", func(s *Settings) { s.Classes[1].RetentionWindow = -1 }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			settings := valid()
			tc.change(&settings)
			_, err := New(settings)
			require.ErrorIs(t, err, ErrInvalidSettings)
			controller, err := New(valid())
			require.NoError(t, err)
			require.ErrorIs(t, controller.Reconfigure(settings), ErrInvalidSettings)
			require.Equal(t, valid(), controller.settings)
		})
	}
	controller, err := New(valid())
	require.NoError(t, err)
	fewerClasses, fewerTenants := valid(), valid()
	fewerClasses.Classes, fewerTenants.Tenants = fewerClasses.Classes[:1], nil
	require.ErrorIs(t, controller.Reconfigure(fewerClasses), ErrInvalidSettings)
	require.ErrorIs(t, controller.Reconfigure(fewerTenants), ErrInvalidSettings)
	require.Equal(t, valid(), controller.settings)
}

// Reconfiguring keeps the deadlines of open requests: a request of a class that is now retired still runs, and new
// requests follow the new settings.
func TestReconfigureKeepsOpenRequests(t *testing.T) {
	controller := newTestController(t, nil)
	controller.limiter.limit = 1
	controller.Step(0, []Event{RequestArrived{ID: 1, QueuedKB: 1}, RequestArrived{ID: 2, QueuedKB: 1}})
	settings := controller.settings
	settings.Seed, settings.ColdStart = 77, true
	settings.Classes = append([]Class(nil), settings.Classes...)
	settings.Classes[0].Retired = true
	settings.Classes = append(settings.Classes, Class{
		Name: "new", LatencyObjective: time.Second, Deadline: 3 * time.Second, Weight: 1,
	})
	require.NoError(t, controller.Reconfigure(settings))
	require.Zero(t, controller.settings.Seed, "the seed of New stays in force")
	require.False(t, controller.settings.ColdStart, "ColdStart of New stays in force")
	require.Equal(t, 8*time.Second, controller.requests.byID[2].dueAt)
	actions := stepAfter(controller, tickInterval, RequestFinished{ID: 1, Outcome: OutcomeOK})
	require.Contains(t, actions, Action(Start{ID: 2}))
	stepAfter(controller, tickInterval, RequestArrived{ID: 3, Class: 2, QueuedKB: 1})
	require.Equal(t, controller.now+3*time.Second, controller.requests.byID[3].dueAt)
}

// A request of an unknown class is still answered.
func TestUnknownClassFails(t *testing.T) {
	controller := newTestController(t, nil)
	for _, class := range []int{-1, 2} {
		actions := stepAfter(controller, tickInterval, RequestArrived{ID: 1, Class: class, QueuedKB: 1})
		require.Contains(t, actions, Action(Fail{ID: 1}))
		require.Empty(t, controller.requests.byID)
	}
}
