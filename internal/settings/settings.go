// Package settings parses the settings that an operator gives a server, and the names of the gauges that come with them, into
// what the control module works with. The server and the simulator adapter share it, so that both understand the same text.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"pewterline/control"
)

type startClass struct {
	Name       string  `json:"name"`
	AimMS      float64 `json:"aim_ms"`
	AimStretch float64 `json:"aim_stretch"`
	HardMS     float64 `json:"hard_limit_ms"`
	WindowMS   float64 `json:"window_ms"`
	Worth      float64 `json:"worth"`
	LateWorth  float64 `json:"late_worth"`
	Effect     string  `json:"effect"`
}

type startText struct {
	Classes []startClass `json:"classes"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_rps"`
	} `json:"tenants"`
	Peers   int `json:"peers_total"`
	Clients struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"client_habits"`
	Limits struct {
		MaxRetryAfterMS float64 `json:"max_retry_after_ms"`
		RetryAfter      bool    `json:"retry_after"`
	} `json:"limits"`
	OverShare float64 `json:"over_share_worth"`
	WorthBy   string  `json:"worth_by"`
	Rules     struct {
		SlackMS      float64 `json:"grace_to_answer_ms"`
		ColdFrom     float64 `json:"cold_from"`
		RampMS       float64 `json:"ramp_time_ms"`
		GraceMS      float64 `json:"stop_sending_within_ms"`
		FallMultiple float64 `json:"fall_multiple"`
		FallMS       float64 `json:"tip_after_ms"`
	} `json:"rules"`
	Extra struct {
		Callers     int       `json:"callers"`
		CallsOut    float64   `json:"calls_out"`
		CallsOverMS float64   `json:"calls_over_ms"`
		ClassCalls  []bool    `json:"class_calls"`
		Cores       int       `json:"cores"`
		Downstream  string    `json:"downstream"`
		FreshMS     float64   `json:"fresh_ms"`
		Gauges      []string  `json:"gauges"`
		HeededMS    float64   `json:"heeded_ms"`
		Cold        bool      `json:"just_started"`
		KeepAliveMS float64   `json:"keepalive_max_ms"`
		KeyKB       float64   `json:"key_kb"`
		MemoryKB    float64   `json:"memory_kb"`
		Readiness   *bool     `json:"readiness"`
		Deadline    bool      `json:"passes_deadline"`
		RunFactor   float64   `json:"run_factor"`
		Say         string    `json:"say"`
		LingerMS    float64   `json:"stays_for_ms"`
		StopMode    string    `json:"stop_mode"`
		Without     []float64 `json:"worth_without"`
	} `json:"extra"`
}

func word[T any](what, text string, words map[string]T) (T, error) {
	v, ok := words[text]
	if !ok {
		return v, fmt.Errorf("settings: unknown %s %q", what, text)
	}
	return v, nil
}

// Parse reads an instance's start-up text; unknown keys are skipped. It also returns the names of the
// gauges that come with each tick, in their order.
func Parse(text []byte, seed uint64) (control.Settings, []string, error) {
	var t startText
	if err := json.Unmarshal(text, &t); err != nil {
		return control.Settings{}, nil, fmt.Errorf("settings: %w", err)
	}
	x := t.Extra
	s := control.Settings{
		Seed: seed, Cores: x.Cores, Peers: t.Peers, Callers: x.Callers, ColdStart: x.Cold,
		MemoryKB: x.MemoryKB, KeyKB: x.KeyKB, RunningMemoryFactor: x.RunFactor,
		MaxConcurrencyPerCore: t.Rules.FallMultiple, MaxConcurrencyWindow: FromMillis(t.Rules.FallMS), WarmUpMinSpeed: t.Rules.ColdFrom,
		WarmUpTime: FromMillis(t.Rules.RampMS), CallConcurrencyShare: x.CallsOut, CallConcurrencyWindow: FromMillis(x.CallsOverMS),
		AbandonedCallTime: FromMillis(x.LingerMS), AnswerGrace: FromMillis(t.Rules.SlackMS), DrainGrace: FromMillis(t.Rules.GraceMS),
		DeadlinePropagated: x.Deadline, RetriesMarked: t.Clients.MarksRetry, WeightPerWork: t.WorthBy == "work",
		OverQuotaWeightShare: t.OverShare, LoadSignalTTL: FromMillis(x.HeededMS), MaxKeepAlive: FromMillis(x.KeepAliveMS),
		ResultFreshness: FromMillis(x.FreshMS), EndpointListIgnoresHealth: x.Readiness != nil && !*x.Readiness,
	}
	if t.Limits.RetryAfter {
		s.MaxRetryAfter = FromMillis(t.Limits.MaxRetryAfterMS)
	}
	var errs [3]error
	s.Preemption, errs[0] = word("stop_mode", x.StopMode, map[string]control.PreemptionMode{
		"": control.PreemptNever, "none": control.PreemptNever, "discard": control.PreemptDiscard, "freeze": control.PreemptSuspend})
	s.LoadSignal, errs[1] = word("say", x.Say, map[string]control.LoadSignalKind{
		"": control.LoadSignalNone, "none": control.LoadSignalNone, "floor": control.LoadSignalThreshold,
		"allowance": control.LoadSignalAllowance, "weight": control.LoadSignalWeight})
	s.Dependency, errs[2] = word("downstream", x.Downstream, map[string]control.Dependency{
		"": control.DependencyNone, "none": control.DependencyNone, "one_for_all": control.DependencyShared, "tier": control.DependencyTier})
	for _, err := range errs {
		if err != nil {
			return s, nil, err
		}
	}
	for i, c := range t.Classes {
		k, err := class(c)
		if err != nil {
			return s, nil, err
		}
		k.MakesCalls = i < len(x.ClassCalls) && x.ClassCalls[i]
		if i < len(x.Without) {
			k.SkippedCallWeightShare = x.Without[i]
		}
		s.Classes = append(s.Classes, k)
	}
	for _, n := range t.Tenants {
		s.Tenants = append(s.Tenants, control.Tenant{Name: n.Name, Quota: n.Quota})
	}
	return s, x.Gauges, nil
}

func class(c startClass) (control.Class, error) {
	effect, err := word("effect", c.Effect, map[string]control.Idempotency{
		"": control.Idempotent, "free": control.Idempotent, "guarded": control.IdempotentByKey, "single_shot": control.NonIdempotent})
	return control.Class{
		Name: c.Name, LatencyObjective: FromMillis(c.AimMS), ObjectiveStretch: c.AimStretch, Deadline: FromMillis(c.HardMS),
		RetentionWindow: FromMillis(c.WindowMS), Weight: c.Worth, LateWeightShare: c.LateWorth, Idempotency: effect,
	}, err
}

// ReadGauges sorts a tick's values by the names given at the start.
func ReadGauges(names []string, load []float64) control.Gauges {
	g := control.Gauges{CPUUtilization: -1, Runnable: -1, Memory: -1, Connections: -1}
	to := map[string]*float64{"cpu_busy": &g.CPUUtilization, "runnable": &g.Runnable, "mem_used": &g.Memory, "sockets": &g.Connections}
	for i, name := range names {
		if p := to[name]; p != nil && i < len(load) {
			*p = load[i]
		}
	}
	return g
}

// FromMillis turns milliseconds, as settings and wire have them, into a duration of whole microseconds. What is no number is zero;
// what is out of range becomes the longest duration that sums of a few still hold.
func FromMillis(ms float64) time.Duration {
	ns := ms * 1e6
	switch {
	case math.IsNaN(ns):
		return 0
	case ns > math.MaxInt64/4:
		return math.MaxInt64 / 4
	case ns < -math.MaxInt64/4:
		return -math.MaxInt64 / 4
	}
	return time.Duration(math.Round(ns/1e3)) * time.Microsecond
}
