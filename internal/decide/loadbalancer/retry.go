package loadbalancer

import (
	"cmp"
	"fmt"

	"pewterline/internal/microtime"
)

// maxMaxAttempts bounds the setting for the number of attempts.
const maxMaxAttempts = 16

// RetryConfig holds the parameters of a RetryPolicy. Zero values take the defaults.
type RetryConfig struct {
	// TokensPerSuccess is the fraction of a token that a success earns; a retry or a hedged request costs one token.
	TokensPerSuccess float64
	// MaxTokens bounds the tokens of the instance.
	MaxTokens float64
	// MaxCallerTokens bounds the tokens of each caller.
	MaxCallerTokens float64
	// MaxCallers bounds the number of callers with a budget; the least recently seen is evicted.
	MaxCallers int
	// MaxAttempts bounds the attempts of a request, including the first.
	MaxAttempts int
	// MaxKeys bounds the idempotency keys with a known endpoint; beyond it, requests with new keys are rejected.
	MaxKeys int
}

func (c *RetryConfig) applyDefaults() {
	c.TokensPerSuccess = cmp.Or(c.TokensPerSuccess, 0.1)
	c.MaxTokens = cmp.Or(c.MaxTokens, 50)
	c.MaxCallerTokens = cmp.Or(c.MaxCallerTokens, 10)
	c.MaxCallers = cmp.Or(c.MaxCallers, 4096)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 3)
	c.MaxKeys = cmp.Or(c.MaxKeys, 65536)
}

// Validate returns a *ConfigError for the first parameter that is out of bounds, with the defaults applied. NaN is out
// of bounds.
func (c RetryConfig) Validate() error {
	c.applyDefaults()
	tokensPerSuccessOK := c.TokensPerSuccess > 0 && c.TokensPerSuccess <= 1
	maxTokensOK := c.MaxTokens >= 1 && c.MaxCallerTokens >= 1
	switch {
	case !tokensPerSuccessOK:
		return configErrorf("earn", "%v is not within 0 to 1", c.TokensPerSuccess)
	case !maxTokensOK:
		return configErrorf("most, caller_most", "%v and %v are under 1", c.MaxTokens, c.MaxCallerTokens)
	case c.MaxCallers < 1 || c.MaxKeys < 1:
		return configErrorf("callers, keys", "%d and %d are under 1", c.MaxCallers, c.MaxKeys)
	case c.MaxAttempts < 1 || c.MaxAttempts > maxMaxAttempts:
		return configErrorf("tries", "%d is not within 1 to %d", c.MaxAttempts, maxMaxAttempts)
	}
	return nil
}

// RetryPolicy decides whether a request is retried, and to which endpoint a request with an idempotency key must go. It
// is not safe for concurrent use.
type RetryPolicy struct {
	config        RetryConfig
	budget        retryBudget
	sticky        stickyKeys
	firstAttempts int
	retries       int
}

// NewRetryPolicy returns a policy with a full budget for the instance. The error is that of RetryConfig.Validate.
func NewRetryPolicy(config RetryConfig) (*RetryPolicy, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	config.applyDefaults()
	p := &RetryPolicy{config: config, sticky: newStickyKeys(config.MaxKeys)}
	p.budget = newRetryBudget(&p.config)
	return p, nil
}

// RecordFirstAttempt counts the first attempt of a caller's request.
func (p *RetryPolicy) RecordFirstAttempt(now microtime.Time, caller uint32) {
	p.firstAttempts++
	p.budget.caller(now, caller)
}

// RecordSuccess adds TokensPerSuccess to the budgets of the instance and the caller.
func (p *RetryPolicy) RecordSuccess(now microtime.Time, caller uint32) { p.budget.earn(now, caller) }

// SpendToken spends a token of the instance and of the caller for a retry or a hedged request. It returns false, and
// spends nothing, if either has none.
func (p *RetryPolicy) SpendToken(now microtime.Time, caller uint32) bool {
	if !p.budget.spend(now, caller) {
		return false
	}
	p.retries++
	return true
}

// Amplification is the number of attempts per first attempt so far.
func (p *RetryPolicy) Amplification() float64 {
	if p.firstAttempts == 0 {
		return 1
	}
	return 1 + float64(p.retries)/float64(p.firstAttempts)
}

// Decision is how to proceed after a failed attempt.
type Decision uint8

// The decisions.
const (
	RetryElsewhere      Decision = iota // retry at another endpoint
	RetrySameEndpoint                   // retry at the endpoint that may have executed it, and at no other
	ReportRejected                      // it was not executed: report the rejection
	ReportFailed                        // it failed; the caller may repeat an idempotent request
	ReportIndeterminate                 // whether it was executed is not known
)

// String names the decision.
func (d Decision) String() string {
	switch d {
	case RetryElsewhere:
		return "retry elsewhere"
	case RetrySameEndpoint:
		return "retry at the same endpoint"
	case ReportRejected:
		return "report rejected"
	case ReportFailed:
		return "report failed"
	case ReportIndeterminate:
		return "report indeterminate"
	}
	return fmt.Sprintf("Decision(%d)", uint8(d))
}

// FailedAttempt describes a request whose last attempt in flight did not succeed.
type FailedAttempt struct {
	Caller         uint32
	Keyed          bool // it has an idempotency key, and must not be executed twice
	Idempotent     bool // it may be executed any number of times
	Key            IdempotencyKey
	Attempts       int // so far, including the first
	Outcome        Outcome
	NoRetry        bool           // the endpoint requested that no other be tried
	EarliestFinish microtime.Time // of another attempt; microtime.Never if no endpoint has capacity
	Deadline       microtime.Time
}

// Decide decides how to proceed after a failed attempt. A retry spends a token of the budget.
func (p *RetryPolicy) Decide(now microtime.Time, attempt FailedAttempt) Decision {
	retry := RetryElsewhere
	report := ReportFailed
	rejected := attempt.Outcome == Rejected
	mayHaveExecuted := !rejected && attempt.Keyed && p.MayHaveExecuted(now, attempt.Key)
	switch {
	case rejected, attempt.Outcome == ConnectFailed && !mayHaveExecuted:
		report = ReportRejected // The request was executed nowhere.
	case mayHaveExecuted:
		// It may be retried only at that endpoint. One that still answers knows the outcome; a lost one cannot be asked.
		if p.sticky.byKey[attempt.Key].indeterminate || attempt.Outcome.endpointLost() {
			return ReportIndeterminate
		}
		retry = RetrySameEndpoint
		report = ReportIndeterminate
	case !attempt.Idempotent && !attempt.Outcome.ProvesNotExecuted():
		return ReportFailed // It may have been executed, and a retry could execute it a second time.
	}
	// No retry that cannot finish in time, or that the endpoint requested not to make.
	hopeless := attempt.NoRetry || attempt.Attempts >= p.config.MaxAttempts || attempt.EarliestFinish >= attempt.Deadline
	if hopeless || !p.SpendToken(now, attempt.Caller) {
		return report
	}
	return retry
}

// endpointLost reports whether the endpoint cannot be asked for the outcome.
func (o Outcome) endpointLost() bool {
	return o == ConnectionLost || o == TimedOut || o == ConnectFailed
}

// StickyEndpoint returns the endpoint that may have executed a request within the retention window of its key, or "".
// ok is false if the key is new and MaxKeys keys are known: the request must be rejected, as it could be executed
// twice.
func (p *RetryPolicy) StickyEndpoint(now microtime.Time, key IdempotencyKey) (endpoint string, ok bool) {
	if sticky := p.sticky.lookup(now, key); sticky != nil {
		return sticky.endpoint, true
	}
	return "", !p.sticky.full()
}

// RecordSent records that an attempt with a key was written to an endpoint: from then on it may have been executed
// there, until its window ends.
func (p *RetryPolicy) RecordSent(now microtime.Time, key IdempotencyKey, endpoint string, window microtime.Time) {
	p.sticky.recordSent(now, key, endpoint, window)
}

// RecordOutcome records how an attempt with a key ended that was written to an endpoint.
func (p *RetryPolicy) RecordOutcome(key IdempotencyKey, outcome Outcome) {
	p.sticky.recordOutcome(key, outcome)
}

// MayHaveExecuted reports whether some endpoint may have executed the request within the window of its key.
func (p *RetryPolicy) MayHaveExecuted(now microtime.Time, key IdempotencyKey) bool {
	return p.sticky.lookup(now, key) != nil
}

// Indeterminate reports whether the outcome of a request is not known, and until when it cannot be executed elsewhere.
func (p *RetryPolicy) Indeterminate(now microtime.Time, key IdempotencyKey) (until microtime.Time, unknown bool) {
	if sticky := p.sticky.byKey[key]; sticky != nil && sticky.indeterminate {
		return sticky.expiresAt, now < sticky.expiresAt
	}
	return 0, false
}

// Tracked returns the numbers of known idempotency keys and of callers with a budget.
func (p *RetryPolicy) Tracked() (keys, callers int) {
	return len(p.sticky.byKey), len(p.budget.callers)
}
