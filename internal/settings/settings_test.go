package settings

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
)

const settingsText = `{
 "classes": [
  {"name": "a", "aim_ms": 1000, "aim_stretch": 2, "hard_limit_ms": 4000, "worth": 1, "late_worth": 0.5,
   "effect": "free"},
  {"name": "b", "aim_ms": 1500.5, "hard_limit_ms": 4000, "worth": 3, "effect": "guarded", "window_ms": 9000}],
 "tenants": [{"name": "hill", "fraction": 1, "quota_rps": 69}],
 "peers_total": 12, "client_habits": {"marks_retry": true}, "worth_by": "work", "over_share_worth": 0.05,
 "limits": {"retry_after": true, "max_retry_after_ms": 700}, "layer": 1, "some_new_key": [1, 2],
 "extra": {"callers": 3, "cores": 4, "memory_kb": 1000, "key_kb": 2, "run_factor": 8, "stop_mode": "freeze",
  "say": "floor", "downstream": "tier", "class_calls": [false, true], "worth_without": [0.25], "calls_out": 1.5,
  "calls_over_ms": 5000, "stays_for_ms": 200, "fresh_ms": 30, "heeded_ms": 1000, "just_started": true,
  "keepalive_max_ms": 30000, "readiness": false, "passes_deadline": true, "gauges": ["mem_used", "cpu_busy"]},
 "rules": {"grace_to_answer_ms": 100, "cold_from": 0.24, "ramp_time_ms": 5000, "stop_sending_within_ms": 2500,
  "fall_multiple": 8, "tip_after_ms": 3000}}`

// Every key of the text sets its setting.
func TestParse(t *testing.T) {
	settings, gauges, err := Parse([]byte(settingsText), 9)
	require.NoError(t, err)
	require.Equal(t, []string{"mem_used", "cpu_busy"}, gauges)
	require.Equal(t, control.Settings{
		Seed: 9,
		Classes: []control.Class{
			{Name: "a", LatencyObjective: time.Second, ObjectiveStretch: 2, Deadline: 4 * time.Second, Weight: 1,
				LateWeightShare: 0.5, SkippedCallWeightShare: 0.25},
			{Name: "b", LatencyObjective: 1500500 * time.Microsecond, Deadline: 4 * time.Second, Weight: 3,
				Idempotency: control.IdempotentByKey, RetentionWindow: 9 * time.Second, MakesCalls: true},
		},
		Tenants:                   []control.Tenant{{Name: "hill", Quota: 69}},
		Cores:                     4,
		Peers:                     12,
		Callers:                   3,
		ColdStart:                 true,
		MemoryKB:                  1000,
		KeyKB:                     2,
		RunningMemoryFactor:       8,
		MaxConcurrencyPerCore:     8,
		MaxConcurrencyWindow:      3 * time.Second,
		WarmUpMinSpeed:            0.24,
		WarmUpTime:                5 * time.Second,
		Dependency:                control.DependencyTier,
		CallConcurrencyShare:      1.5,
		CallConcurrencyWindow:     5 * time.Second,
		AbandonedCallTime:         200 * time.Millisecond,
		AnswerGrace:               100 * time.Millisecond,
		DrainGrace:                2500 * time.Millisecond,
		EndpointListIgnoresHealth: true,
		DeadlinePropagated:        true,
		RetriesMarked:             true,
		WeightPerWork:             true,
		OverQuotaWeightShare:      0.05,
		Preemption:                control.PreemptSuspend,
		LoadSignal:                control.LoadSignalThreshold,
		LoadSignalTTL:             time.Second,
		MaxRetryAfter:             700 * time.Millisecond,
		MaxKeepAlive:              30 * time.Second,
		ResultFreshness:           30 * time.Millisecond,
	}, settings)
}

// Every enum value is parsed. A missing value has the meaning that the oldest sites of the platform rely on.
func TestEnumValues(t *testing.T) {
	tests := []struct {
		setting string
		want    map[string]any
		read    func(control.Settings) any
	}{
		{"stop_mode", map[string]any{
			"": control.PreemptNever, "none": control.PreemptNever,
			"discard": control.PreemptDiscard, "freeze": control.PreemptSuspend,
		}, func(s control.Settings) any { return s.Preemption }},
		{"say", map[string]any{
			"": control.LoadSignalNone, "none": control.LoadSignalNone, "floor": control.LoadSignalThreshold,
			"allowance": control.LoadSignalAllowance, "weight": control.LoadSignalWeight,
		}, func(s control.Settings) any { return s.LoadSignal }},
		{"downstream", map[string]any{
			"": control.DependencyNone, "none": control.DependencyNone,
			"one_for_all": control.DependencyShared, "tier": control.DependencyTier,
		}, func(s control.Settings) any { return s.Dependency }},
	}
	for _, tc := range tests {
		for value, want := range tc.want {
			t.Run(tc.setting+" "+value, func(t *testing.T) {
				settings, _, err := Parse([]byte(`{"extra": {"`+tc.setting+`": "`+value+`"}}`), 1)
				require.NoError(t, err)
				require.Equal(t, want, tc.read(settings))
			})
		}
	}
	effects := map[string]control.Idempotency{
		"": control.Idempotent, "free": control.Idempotent,
		"guarded": control.IdempotentByKey, "single_shot": control.NonIdempotent,
	}
	for value, want := range effects {
		t.Run("effect "+value, func(t *testing.T) {
			settings, _, err := Parse([]byte(`{"classes": [{"effect": "`+value+`"}]}`), 1)
			require.NoError(t, err)
			require.Equal(t, want, settings.Classes[0].Idempotency)
		})
	}
}

// An unknown value is an error that names the setting.
func TestUnknownValues(t *testing.T) {
	tests := []struct{ setting, old, value string }{
		{"stop_mode", "freeze", "melt"},
		{"say", "floor", "ceiling"},
		{"downstream", "tier", "tear"},
		{"effect", "guarded", "guided"},
	}
	for _, tc := range tests {
		t.Run(tc.setting, func(t *testing.T) {
			text := strings.Replace(settingsText, `"`+tc.old+`"`, `"`+tc.value+`"`, 1)
			_, _, err := Parse([]byte(text), 1)
			var unknown *UnknownValueError
			require.ErrorAs(t, err, &unknown)
			require.Equal(t, UnknownValueError{Setting: tc.setting, Value: tc.value}, *unknown)
			require.ErrorContains(t, err, `settings: unknown `+tc.setting+` "`+tc.value+`"`)
		})
	}
	_, _, err := Parse([]byte(`{`), 1)
	require.ErrorContains(t, err, "settings: ")
}

// Values are assigned to gauges by name. A gauge without a name or a value is unknown.
func TestReadGauges(t *testing.T) {
	require.Equal(t, control.Gauges{CPUUtilization: 0.5, Runnable: -1, Memory: 0.25, Connections: -1},
		ReadGauges([]string{"mem_used", "cpu_busy", "sockets"}, []float64{0.25, 0.5}))
	require.Equal(t, control.Gauges{CPUUtilization: -1, Runnable: 3, Memory: -1, Connections: 7},
		ReadGauges([]string{"sockets", "some_new_gauge", "runnable"}, []float64{7, 1, 3, 9}))
}

// Durations are rounded to whole microseconds and limited.
func TestFromMillis(t *testing.T) {
	tests := []struct {
		name         string
		milliseconds float64
		want         time.Duration
	}{
		{"whole", 1500, 1500 * time.Millisecond},
		{"rounded to a microsecond", 0.0015, 2 * time.Microsecond},
		{"negative", -2.5, -2500 * time.Microsecond},
		{"not a number", math.NaN(), 0},
		{"too long", math.Inf(1), math.MaxInt64 / 4},
		{"too negative", math.Inf(-1), -math.MaxInt64 / 4},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, FromMillis(tc.milliseconds)) })
	}
}
