package sim

import (
	"encoding/json"
	"fmt"
	"strings"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/settings"
	"pewterline/internal/testbed/fakes"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/invariant"
)

// Times from the notice to drain until the process is killed.
const (
	firstShutdownTimeout  = 3200 * microtime.Millisecond
	secondShutdownTimeout = 2400 * microtime.Millisecond
)

// deployment is the configuration of the servers of a simulation, and their traffic.
type deployment struct {
	settings        control.Settings // for servers with two cores
	gauges          []string
	limits          invariant.Limits
	traffic         fakes.Deployment
	shutdownTimeout microtime.Time // from the notice to drain until the process is killed
}

// invariantSettings holds the values of a settings file that the invariants need and the server's own parser does not
// return.
type invariantSettings struct {
	Rules struct {
		WarmUpMinSpeed       float64 `json:"cold_from"`
		WarmUpTimeMS         float64 `json:"ramp_time_ms"`
		DrainGraceMS         float64 `json:"stop_sending_within_ms"`
		MaxConcurrencyFactor float64 `json:"fall_multiple"`
		ConcurrencyWindowMS  float64 `json:"tip_after_ms"`
		AnswerGraceMS        float64 `json:"grace_to_answer_ms"`
	} `json:"rules"`
	Extra struct {
		MemoryKB            float64 `json:"memory_kb"`
		RunningMemoryFactor float64 `json:"run_factor"`
	} `json:"extra"`
}

// parseDeployment returns the deployment of a script's servers.
func parseDeployment(script faults.Script) (deployment, error) {
	text, traffic, shutdownTimeout := firstSettings, fakes.FirstDeployment, firstShutdownTimeout
	if script.Vault {
		text, traffic, shutdownTimeout = vaultSettings(script), fakes.SecondDeployment, secondShutdownTimeout
	}
	parsed, gauges, err := settings.Parse([]byte(text), 0)
	if err != nil {
		return deployment{}, fmt.Errorf("sim: parse the settings: %w", err)
	}
	var forInvariants invariantSettings
	if err := json.Unmarshal([]byte(text), &forInvariants); err != nil {
		return deployment{}, fmt.Errorf("sim: parse the settings for the invariants: %w", err)
	}
	limits := forInvariants.limits(parsed)
	limits.Store = script.Store
	return deployment{
		settings:        parsed,
		gauges:          gauges,
		limits:          limits,
		traffic:         traffic,
		shutdownTimeout: shutdownTimeout,
	}, nil
}

// limits returns the limits for the invariant checks.
func (s invariantSettings) limits(parsed control.Settings) invariant.Limits {
	milliseconds := func(value float64) microtime.Time { return microtime.Time(value * 1000) }
	return invariant.Limits{
		Settings:              parsed,
		AnswerGrace:           milliseconds(s.Rules.AnswerGraceMS),
		DrainGrace:            milliseconds(s.Rules.DrainGraceMS),
		Cores:                 parsed.Cores,
		MaxConcurrencyPerCore: s.Rules.MaxConcurrencyFactor,
		MaxConcurrencyWindow:  milliseconds(s.Rules.ConcurrencyWindowMS),
		MemoryKB:              s.Extra.MemoryKB,
		RunningMemoryFactor:   s.Extra.RunningMemoryFactor,
		WarmUpMinSpeed:        s.Rules.WarmUpMinSpeed,
		WarmUpTime:            milliseconds(s.Rules.WarmUpTimeMS),
	}
}

// vaultSettings returns the settings of the second deployment. Its requests of class print-order are single_shot, or
// idempotent if the script says so.
func vaultSettings(script faults.Script) string {
	effect := `"effect": "single_shot"`
	if script.IdempotentOrders {
		effect = `"effect": "guarded", "window_ms": 13518`
	}
	return strings.Replace(secondSettings, `"effect": ORDER`, effect, 1)
}

// firstSettings is the settings file of the first deployment, which makes no downstream calls.
const firstSettings = `{"classes": [
 {"name": "block-view", "aim_ms": 1800, "hard_limit_ms": 4500, "worth": 1, "effect": "free"},
 {"name": "lot-update", "aim_ms": 1800, "hard_limit_ms": 4500, "worth": 1, "effect": "free"},
 {"name": "lot-intake", "aim_ms": 1800, "hard_limit_ms": 4500, "worth": 10, "effect": "guarded", "window_ms": 13518}],
 "client_habits": {"marks_retry": true}, "limits": {"retry_after": true, "max_retry_after_ms": 1000},
 "extra": {"cores": 2, "memory_kb": 47610, "key_kb": 154.5, "run_factor": 8, "stop_mode": "discard", "say": "floor",
 "downstream": "none", "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "keepalive_max_ms": 30000},
 "rules": {"cold_from": 0.24, "ramp_time_ms": 17000, "stop_sending_within_ms": 2500, "fall_multiple": 8,
 "tip_after_ms": 3000, "grace_to_answer_ms": 100}, "tenants": [{"name": "hill-estate", "quota_rps": 69},
 {"name": "lake-vines", "quota_rps": 43}, {"name": "valley-rows", "quota_rps": 32}]}`

// secondSettings is the settings file of the second deployment, of which the classes page-view and print-order call the
// vault. ORDER is a placeholder for the effect of the class print-order.
const secondSettings = `{"classes": [
 {"name": "page-view", "aim_ms": 1400, "hard_limit_ms": 3600, "worth": 1, "effect": "free"},
 {"name": "page-save", "aim_ms": 1900, "hard_limit_ms": 4900, "worth": 2, "effect": "free"},
 {"name": "print-order", "aim_ms": 1900, "hard_limit_ms": 4900, "worth": 3, "late_worth": 0.2, "effect": ORDER}],
 "client_habits": {"marks_retry": false}, "limits": {"retry_after": true, "max_retry_after_ms": 1000},
 "worth_by": "work", "extra": {"cores": 2, "memory_kb": 47610, "key_kb": 154.5, "run_factor": 8,
 "stop_mode": "discard", "say": "allowance", "heeded_ms": 3000,
 "downstream": "tier", "class_calls": [true, false, true], "worth_without": [0, 0, 0], "deep_checks": true,
 "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "keepalive_max_ms": 15000},
 "rules": {"cold_from": 0.21, "ramp_time_ms": 18000, "stop_sending_within_ms": 1800, "fall_multiple": 8,
 "tip_after_ms": 2000, "grace_to_answer_ms": 80}}`
