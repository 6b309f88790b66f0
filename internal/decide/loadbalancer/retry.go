package loadbalancer

import (
	"cmp"
	"fmt"

	"pewterline/internal/microtime"
)

// maxAttemptsLimit is the largest valid RetryConfig.MaxAttempts.
const maxAttemptsLimit = 16

// RetryConfig holds the parameters of a RetryPolicy. Zero values take the defaults.
type RetryConfig struct {
	// TokensPerSuccess is the fraction of a token that a success earns; a retry or a hedged request costs one token.
	TokensPerSuccess float64
	// MaxTokens bounds the tokens in the budget of the instance.
	MaxTokens float64
	// MaxCallerTokens bounds the tokens in the budget of each caller.
	MaxCallerTokens float64
	// MaxCallers bounds the number of callers with a budget. The least recently seen caller is evicted.
	MaxCallers int
	// MaxAttempts bounds the number of attempts of a request, including the first.
	MaxAttempts int
	// MaxKeys bounds the number of tracked idempotency keys. At the bound, requests with new keys are rejected.
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
		return configErrorf("earn", "%v is not over 0 and at most 1", c.TokensPerSuccess)
	case !maxTokensOK:
		return configErrorf("most, caller_most", "%v and %v: expected 1 or more", c.MaxTokens, c.MaxCallerTokens)
	case c.MaxCallers < 1 || c.MaxKeys < 1:
		return configErrorf("callers, keys", "%d and %d: expected 1 or more", c.MaxCallers, c.MaxKeys)
	case c.MaxAttempts < 1 || c.MaxAttempts > maxAttemptsLimit:
		return configErrorf("tries", "%d is not within 1 to %d", c.MaxAttempts, maxAttemptsLimit)
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

// SpendToken takes one token from the budgets of the instance and the caller for a retry or a hedged request. If either
// budget has less than one token, it takes none and returns false.
func (p *RetryPolicy) SpendToken(now microtime.Time, caller uint32) bool {
	if !p.budget.spend(now, caller) {
		return false
	}
	p.retries++
	return true
}

// Amplification returns the ratio of all attempts to first attempts so far; 1 if there were none.
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
	RetrySameEndpoint                   // retry at the endpoint that may have executed the request, and at no other
	ReportRejected                      // report a rejection: the request was not executed
	ReportFailed                        // report a failure; the caller may repeat an idempotent request
	ReportIndeterminate                 // report that it is not known whether the request was executed
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

// FailedAttempt describes an attempt that did not succeed, and its request, which has no other attempt in flight.
type FailedAttempt struct {
	Caller         uint32
	Keyed          bool // the request has an idempotency key and must not be executed twice
	Idempotent     bool // the request may be executed any number of times
	Key            IdempotencyKey
	Attempts       int // number of attempts so far, including the first
	Outcome        Outcome
	NoRetry        bool           // the endpoint requested that no other endpoint be tried
	EarliestFinish microtime.Time // estimate for another attempt; microtime.Never if no endpoint has capacity
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
		// A retry may go only to the endpoint that may have executed the request. If that endpoint still answers, it knows
		// the outcome; if it is lost, the outcome cannot be determined.
		if p.sticky.byKey[attempt.Key].indeterminate || attempt.Outcome.endpointLost() {
			return ReportIndeterminate
		}
		retry = RetrySameEndpoint
		report = ReportIndeterminate
	case !attempt.Idempotent && !attempt.Outcome.ProvesNotExecuted():
		return ReportFailed // The request may have been executed, and a retry could execute it again.
	}
	// No retry is made if the endpoint requested none, no attempts are left, or the retry could not finish in time.
	mustNotRetry := attempt.NoRetry || attempt.Attempts >= p.config.MaxAttempts ||
		attempt.EarliestFinish >= attempt.Deadline
	if mustNotRetry || !p.SpendToken(now, attempt.Caller) {
		return report
	}
	return retry
}

// endpointLost reports whether the endpoint did not answer, so that it cannot be asked for the result of the request.
func (o Outcome) endpointLost() bool {
	return o == ConnectionLost || o == TimedOut || o == ConnectFailed
}

// StickyEndpoint returns the endpoint that may have executed a request within the retention window of its key, or "".
// ok is false if the key is new and MaxKeys keys are tracked already. The request must then be rejected: its endpoint
// could not be recorded, so a retry could execute it twice.
func (p *RetryPolicy) StickyEndpoint(now microtime.Time, key IdempotencyKey) (endpoint string, ok bool) {
	if sticky := p.sticky.lookup(now, key); sticky != nil {
		return sticky.endpoint, true
	}
	return "", !p.sticky.full()
}

// RecordSent records that an attempt of a request with an idempotency key was written to an endpoint. From then until
// its retention window ends, the request counts as possibly executed there.
func (p *RetryPolicy) RecordSent(now microtime.Time, key IdempotencyKey, endpoint string, window microtime.Time) {
	p.sticky.recordSent(now, key, endpoint, window)
}

// RecordOutcome records the outcome of an attempt that RecordSent has recorded.
func (p *RetryPolicy) RecordOutcome(key IdempotencyKey, outcome Outcome) {
	p.sticky.recordOutcome(key, outcome)
}

// MayHaveExecuted reports whether an endpoint may have executed the request within the retention window of its key.
func (p *RetryPolicy) MayHaveExecuted(now microtime.Time, key IdempotencyKey) bool {
	return p.sticky.lookup(now, key) != nil
}

// Indeterminate reports whether the outcome of a request is unknown, and when the retention window of its key ends.
// Until then the request is sent to no other endpoint.
func (p *RetryPolicy) Indeterminate(now microtime.Time, key IdempotencyKey) (until microtime.Time, unknown bool) {
	if sticky := p.sticky.byKey[key]; sticky != nil && sticky.indeterminate {
		return sticky.expiresAt, now < sticky.expiresAt
	}
	return 0, false
}

// Tracked returns the numbers of tracked idempotency keys and of callers with a budget.
func (p *RetryPolicy) Tracked() (keys, callers int) {
	return len(p.sticky.byKey), len(p.budget.callers)
}
