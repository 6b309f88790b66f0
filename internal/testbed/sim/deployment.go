package sim

import (
	"strings"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/fakes"
	"pewterline/internal/testbed/faults"
)

// deployment is what the servers of a world are set up for, and what they are asked.
type deployment struct {
	settings string // for servers of two cores
	traffic  fakes.Deployment
	stop     microtime.Time // from the notice to leave until the process is killed
}

// deploymentOf is the deployment of a script's world.
func deploymentOf(s faults.Script) deployment {
	if !s.Vault {
		return deployment{settings: firstSettings, traffic: fakes.FirstDeployment, stop: 3200 * microtime.Millisecond}
	}
	effect := `"effect": "single_shot"`
	if s.IdempotentOrders {
		effect = `"effect": "guarded", "window_ms": 13518`
	}
	return deployment{settings: strings.Replace(secondSettings, `"effect": ORDER`, effect, 1), traffic: fakes.SecondDeployment,
		stop: 2400 * microtime.Millisecond}
}

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

const secondSettings = `{"classes": [
 {"name": "page-view", "aim_ms": 1400, "hard_limit_ms": 3600, "worth": 1, "effect": "free"},
 {"name": "page-save", "aim_ms": 1900, "hard_limit_ms": 4900, "worth": 2, "effect": "free"},
 {"name": "print-order", "aim_ms": 1900, "hard_limit_ms": 4900, "worth": 3, "late_worth": 0.2, "effect": ORDER}],
 "client_habits": {"marks_retry": false}, "limits": {"retry_after": true, "max_retry_after_ms": 1000}, "worth_by": "work",
 "extra": {"cores": 2, "memory_kb": 47610, "key_kb": 154.5, "run_factor": 8, "stop_mode": "discard", "say": "allowance", "heeded_ms": 3000,
 "downstream": "tier", "class_calls": [true, false, true], "worth_without": [0, 0, 0], "deep_checks": true,
 "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "keepalive_max_ms": 15000},
 "rules": {"cold_from": 0.21, "ramp_time_ms": 18000, "stop_sending_within_ms": 1800, "fall_multiple": 8,
 "tip_after_ms": 2000, "grace_to_answer_ms": 80}}`
