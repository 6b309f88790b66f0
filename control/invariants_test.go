package control_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pewterline/control"
)

// drawSettings draws settings with any combination of modes and classes.
func drawSettings(t *rapid.T) control.Settings {
	drawBool := func(name string) bool { return rapid.Bool().Draw(t, name) }
	settings := control.Settings{
		Seed:                  rapid.Uint64().Draw(t, "seed"),
		Cores:                 rapid.IntRange(1, 16).Draw(t, "cores"),
		Peers:                 rapid.IntRange(1, 500).Draw(t, "peers"),
		Callers:               900,
		MaxKeepAlive:          30 * time.Second,
		ColdStart:             drawBool("cold start"),
		MemoryKB:              rapid.Float64Range(500, 2e4).Draw(t, "memory"),
		KeyKB:                 20,
		RunningMemoryFactor:   rapid.Float64Range(2, 16).Draw(t, "running memory factor"),
		MaxConcurrencyPerCore: rapid.Float64Range(2, 8).Draw(t, "max concurrency"),
		MaxConcurrencyWindow:  2 * time.Second,
		WarmUpMinSpeed:        0.2,
		WarmUpTime:            10 * time.Second,
		Dependency:            control.Dependency(rapid.IntRange(0, 2).Draw(t, "dependency")),
		CallConcurrencyShare:  rapid.Float64Range(0.3, 8).Draw(t, "share"),
		CallConcurrencyWindow: 5 * time.Second,
		AbandonedCallTime:     200 * time.Millisecond,
		AnswerGrace:           80 * time.Millisecond,
		DrainGrace:            2 * time.Second,
		DeadlinePropagated:    drawBool("deadline propagated"),
		WeightPerWork:         drawBool("weight per work"),
		OverQuotaWeightShare:  0.1,
		Preemption:            control.PreemptionMode(rapid.IntRange(0, 2).Draw(t, "preemption")),
		LoadSignal:            control.LoadSignalKind(rapid.IntRange(0, 3).Draw(t, "load signal")),
		MaxRetryAfter:         time.Second,
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "classes") {
		settings.Classes = append(settings.Classes, control.Class{
			LatencyObjective: time.Duration(1+i) * time.Second,
			Deadline:         6 * time.Second,
			RetentionWindow:  20 * time.Second,
			Weight:           float64(1 + i%3),
			Idempotency:      control.Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency")),
			MakesCalls:       settings.Dependency != control.DependencyNone && drawBool("makes calls"),
		})
	}
	if drawBool("tenants") {
		settings.Tenants = []control.Tenant{{Quota: 0.5}, {Quota: 50}}
	}
	return settings
}

// Checks the invariants of referenceHost with random settings, arrivals and outcomes: every request is answered, no
// effect happens twice, nothing runs too late in a drain, and neither the server nor its dependency is overloaded.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := drawSettings(t)
		controller, err := control.New(settings)
		require.NoError(t, err)
		host := newReferenceHost(t, settings)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if host.isLastStep() {
				break
			}
			elapsed := stepInterval
			if rapid.IntRange(0, 19).Draw(t, "stall") == 0 && host.stopAt == 0 {
				elapsed = 700 * time.Millisecond // The process was stalled.
			}
			host.now += elapsed
			gauges := control.Gauges{CPUUtilization: rapid.Float64Range(0, 1).Draw(t, "utilization"), Runnable: 1}
			events := append([]control.Event{control.Tick{Gauges: gauges}}, host.drawEvents()...)
			for _, action := range controller.Step(host.now, events) {
				host.carryOut(action)
			}
			host.check(elapsed)
		}
	})
}

// The same settings and events give the same actions.
func TestDeterminism(t *testing.T) {
	runSteps := func() (all []control.Action) {
		controller, err := control.New(control.Settings{Seed: 3, Cores: 2, Classes: []control.Class{
			{LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1, RetentionWindow: time.Minute,
				Idempotency: control.IdempotentByKey},
			{LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 2},
		}})
		require.NoError(t, err)
		for i := range 300 {
			events := []control.Event{
				control.RequestArrived{ID: control.RequestID(i + 1), Class: i % 2, QueuedKB: 1, SubjectKey: uint64(i)},
				control.Tick{},
			}
			if i > 20 {
				events = append(events, control.RequestFinished{ID: control.RequestID(i - 19)})
			}
			all = append(all, controller.Step(time.Duration(i)*20*time.Millisecond, events)...)
		}
		return all
	}
	first, second := runSteps(), runSteps()
	require.GreaterOrEqual(t, len(first), 300)
	require.Equal(t, first, second)
}
