// Package settings parses the settings text that an operator gives a server into control.Settings and the names of the
// gauges. The configuration of the server (internal/config) and the adapter for the simulator (internal/simadapter)
// share it, so that both accept the same text. Only this package uses the fixed keys and enum values of the text. It
// has no state.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"pewterline/control"
)

// UnknownValueError means that the value of a setting is not one of the allowed ones.
type UnknownValueError struct {
	Setting string // key of the setting in the text
	Value   string
}

// Error names the setting and its value.
func (e *UnknownValueError) Error() string {
	return fmt.Sprintf("settings: unknown %s %q", e.Setting, e.Value)
}

// Parse reads the settings text; unknown keys are ignored. seed becomes Settings.Seed. Parse also returns the names of
// the gauges, in the order of their values in a tick. The error is an *UnknownValueError or wraps one of encoding/json.
func Parse(text []byte, seed uint64) (settings control.Settings, gauges []string, err error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return control.Settings{}, nil, fmt.Errorf("settings: %w", err)
	}
	settings = doc.scalars()
	settings.Seed = seed
	if settings.Preemption, err = parsePreemption(doc.Site.Preemption); err != nil {
		return settings, nil, err
	}
	if settings.LoadSignal, err = parseLoadSignal(doc.Site.LoadSignal); err != nil {
		return settings, nil, err
	}
	if settings.Dependency, err = parseDependency(doc.Site.Dependency); err != nil {
		return settings, nil, err
	}
	if settings.Classes, err = doc.classes(); err != nil {
		return settings, nil, err
	}
	for _, tenant := range doc.Tenants {
		settings.Tenants = append(settings.Tenants, control.Tenant{Name: tenant.Name, Quota: tenant.Quota})
	}
	return settings, doc.Site.Gauges, nil
}

// scalars returns the settings that are numbers or booleans. In the text, WeightPerWork is an enum value.
func (d *document) scalars() control.Settings {
	settings := control.Settings{
		Cores:                     d.Site.Cores,
		Peers:                     d.Peers,
		Callers:                   d.Site.Callers,
		ColdStart:                 d.Site.ColdStart,
		MemoryKB:                  d.Site.MemoryKB,
		KeyKB:                     d.Site.KeyKB,
		RunningMemoryFactor:       d.Site.RunningMemoryFactor,
		MaxConcurrencyPerCore:     d.Rules.MaxConcurrencyPerCore,
		MaxConcurrencyWindow:      FromMillis(d.Rules.MaxConcurrencyWindowMS),
		WarmUpMinSpeed:            d.Rules.WarmUpMinSpeed,
		WarmUpTime:                FromMillis(d.Rules.WarmUpTimeMS),
		CallConcurrencyShare:      d.Site.CallConcurrencyShare,
		CallConcurrencyWindow:     FromMillis(d.Site.CallConcurrencyWindowMS),
		AbandonedCallTime:         FromMillis(d.Site.AbandonedCallTimeMS),
		AnswerGrace:               FromMillis(d.Rules.AnswerGraceMS),
		DrainGrace:                FromMillis(d.Rules.DrainGraceMS),
		EndpointListIgnoresHealth: d.Site.ListFollowsHealth != nil && !*d.Site.ListFollowsHealth,
		DeadlinePropagated:        d.Site.DeadlinePropagated,
		RetriesMarked:             d.Clients.RetriesMarked,
		WeightPerWork:             d.WeightCountsFor == "work",
		OverQuotaWeightShare:      d.OverQuotaWeight,
		LoadSignalTTL:             FromMillis(d.Site.LoadSignalTTLMS),
		MaxKeepAlive:              FromMillis(d.Site.MaxKeepAliveMS),
		ResultFreshness:           FromMillis(d.Site.ResultFreshnessMS),
	}
	if d.Limits.RetryAfterForwarded {
		settings.MaxRetryAfter = FromMillis(d.Limits.MaxRetryAfterMS)
	}
	return settings
}

// classes returns the classes, combined with the per-class lists in the site's part of the text.
func (d *document) classes() ([]control.Class, error) {
	var classes []control.Class
	for i, text := range d.Classes {
		class, err := text.parse()
		if err != nil {
			return nil, err
		}
		class.MakesCalls = i < len(d.Site.ClassMakesCalls) && d.Site.ClassMakesCalls[i]
		if i < len(d.Site.SkippedCallWeightShares) {
			class.SkippedCallWeightShare = d.Site.SkippedCallWeightShares[i]
		}
		classes = append(classes, class)
	}
	return classes, nil
}

func (c *classText) parse() (control.Class, error) {
	idempotency, err := parseIdempotency(c.Idempotency)
	if err != nil {
		return control.Class{}, err
	}
	return control.Class{
		Name:             c.Name,
		LatencyObjective: FromMillis(c.LatencyObjectiveMS),
		ObjectiveStretch: c.ObjectiveStretch,
		Deadline:         FromMillis(c.DeadlineMS),
		RetentionWindow:  FromMillis(c.RetentionWindowMS),
		Weight:           c.Weight,
		LateWeightShare:  c.LateWeightShare,
		Idempotency:      idempotency,
	}, nil
}

func parsePreemption(value string) (control.PreemptionMode, error) {
	switch value {
	case "", "none":
		return control.PreemptNever, nil
	case "discard":
		return control.PreemptDiscard, nil
	case "freeze":
		return control.PreemptSuspend, nil
	}
	return 0, &UnknownValueError{Setting: "stop_mode", Value: value}
}

func parseLoadSignal(value string) (control.LoadSignalKind, error) {
	switch value {
	case "", "none":
		return control.LoadSignalNone, nil
	case "floor":
		return control.LoadSignalThreshold, nil
	case "allowance":
		return control.LoadSignalAllowance, nil
	case "weight":
		return control.LoadSignalWeight, nil
	}
	return 0, &UnknownValueError{Setting: "say", Value: value}
}

func parseDependency(value string) (control.Dependency, error) {
	switch value {
	case "", "none":
		return control.DependencyNone, nil
	case "one_for_all":
		return control.DependencyShared, nil
	case "tier":
		return control.DependencyTier, nil
	}
	return 0, &UnknownValueError{Setting: "downstream", Value: value}
}

func parseIdempotency(value string) (control.Idempotency, error) {
	switch value {
	case "", "free":
		return control.Idempotent, nil
	case "guarded":
		return control.IdempotentByKey, nil
	case "single_shot":
		return control.NonIdempotent, nil
	}
	return 0, &UnknownValueError{Setting: "effect", Value: value}
}

// ReadGauges assigns the values of a tick to gauges by the names that Parse returned, in the same order. A gauge
// without a value is -1, which means "not known".
func ReadGauges(names []string, values []float64) control.Gauges {
	gauges := control.Gauges{CPUUtilization: -1, Runnable: -1, Memory: -1, Connections: -1}
	for i, name := range names[:min(len(names), len(values))] {
		switch name {
		case "cpu_busy":
			gauges.CPUUtilization = values[i]
		case "runnable":
			gauges.Runnable = values[i]
		case "mem_used":
			gauges.Memory = values[i]
		case "sockets":
			gauges.Connections = values[i]
		}
	}
	return gauges
}

// FromMillis converts milliseconds, the unit of the settings and of the simulator's frames, to a duration of whole
// microseconds. NaN becomes zero. Values out of range become a quarter of the longest duration, so that sums of a few
// durations do not overflow.
func FromMillis(milliseconds float64) time.Duration {
	const longest = math.MaxInt64 / 4
	nanoseconds := milliseconds * 1e6
	switch {
	case math.IsNaN(nanoseconds):
		return 0
	case nanoseconds > longest:
		return longest
	case nanoseconds < -longest:
		return -longest
	}
	return time.Duration(math.Round(nanoseconds/1e3)) * time.Microsecond
}
