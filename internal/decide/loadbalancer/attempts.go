package loadbalancer

import (
	"fmt"

	"pewterline/internal/microtime"
)

// RetryConfig are the figures for repeated attempts. Zero values take the defaults.
type RetryConfig struct {
	TokensPerSuccess float64 // tokens that a success earns; a further try costs one
	MaxTokens        float64 // tokens that the instance can have
	MaxCallerTokens  float64 // and each caller
	MaxCallers       int     // that are remembered; the one not heard of the longest goes
	MaxAttempts      int     // of one request, the first included
	MaxKeys          int     // intakes whose server is remembered; beyond, new ones are not taken
}

func (c *RetryConfig) defaults() {
	if c.TokensPerSuccess == 0 {
		c.TokensPerSuccess = 0.1
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = 50
	}
	if c.MaxCallerTokens == 0 {
		c.MaxCallerTokens = 10
	}
	if c.MaxCallers == 0 {
		c.MaxCallers = 4096
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = 3
	}
	if c.MaxKeys == 0 {
		c.MaxKeys = 65536
	}
}

// Validate tells the first figure that makes no sense.
func (c RetryConfig) Validate() error {
	c.defaults()
	switch {
	case !(c.TokensPerSuccess > 0 && c.TokensPerSuccess <= 1):
		return fmt.Errorf("fleet: earn: %v is not within 0 to 1", c.TokensPerSuccess)
	case !(c.MaxTokens >= 1 && c.MaxCallerTokens >= 1):
		return fmt.Errorf("fleet: most, caller_most: %v and %v are under 1", c.MaxTokens, c.MaxCallerTokens)
	case c.MaxCallers < 1 || c.MaxKeys < 1:
		return fmt.Errorf("fleet: callers, keys: %d and %d are under 1", c.MaxCallers, c.MaxKeys)
	case c.MaxAttempts < 1 || c.MaxAttempts > 16:
		return fmt.Errorf("fleet: tries: %d is not within 1 to 16", c.MaxAttempts)
	}
	return nil
}

// RetryPolicy decides whether a request is tried again, and where an intake must go. A success earns a part of a
// token, a further try costs a whole one, for the instance and for the caller: under full overload, where nothing
// succeeds, no more is tried again than was earned before (the retry budget of Finagle and of Google's SRE book).
type RetryPolicy struct {
	cfg     RetryConfig
	tokens  float64
	callers map[uint32]*caller
	oldest  []*caller // by when they were last heard of, as far as that is known
	keys    map[IdempotencyKey]*stuck
	order   []*stuck // by when they expire, as windows of one class come in order
	first   int
	again   int
}

type caller struct {
	id     uint32
	tokens float64
	heard  microtime.Time
	queued microtime.Time // heard, when it was put in the order
}

// IdempotencyKey names an intake over all its tries.
type IdempotencyKey struct {
	Tenant int
	Value  string
}

// stuck is an intake that may have run at a server.
type stuck struct {
	key     IdempotencyKey
	server  string
	expires microtime.Time
	written bool // a try has left for it: it may have run
	open    int
	mayRun  bool // a try has ended without proof that it did not run
	lost    bool // its outcome there is not known
	dead    bool
}

// NewRetryPolicy returns the decisions with full budgets.
func NewRetryPolicy(cfg RetryConfig) (*RetryPolicy, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg.defaults()
	return &RetryPolicy{cfg: cfg, tokens: cfg.MaxTokens, callers: map[uint32]*caller{}, keys: map[IdempotencyKey]*stuck{}}, nil
}

// caller finds a caller's budget. Guards the memory against callers that come under ever new numbers: beyond the bound
// the one not heard of the longest goes, and comes back with an empty budget, not a full one.
func (a *RetryPolicy) caller(now microtime.Time, id uint32) *caller {
	c := a.callers[id]
	if c == nil {
		c = &caller{id: id, tokens: 1, queued: now}
		for len(a.callers) >= a.cfg.MaxCallers {
			old := a.oldest[0]
			a.oldest = a.oldest[1:]
			if old.heard > old.queued { // heard of since: to the end
				old.queued = old.heard
				a.oldest = append(a.oldest, old)
				continue
			}
			delete(a.callers, old.id)
		}
		a.callers[id] = c
		a.oldest = append(a.oldest, c)
	}
	c.heard = now
	return c
}

// RecordFirstAttempt counts a first try of a caller's.
func (a *RetryPolicy) RecordFirstAttempt(now microtime.Time, id uint32) {
	a.first++
	a.caller(now, id)
}

// RecordSuccess has a success earn its part of a token.
func (a *RetryPolicy) RecordSuccess(now microtime.Time, id uint32) {
	a.tokens = min(a.tokens+a.cfg.TokensPerSuccess, a.cfg.MaxTokens)
	c := a.caller(now, id)
	c.tokens = min(c.tokens+a.cfg.TokensPerSuccess, a.cfg.MaxCallerTokens)
}

// SpendToken takes a token for a further try or a second copy; false: there is none, and nothing is taken.
func (a *RetryPolicy) SpendToken(now microtime.Time, id uint32) bool {
	c := a.caller(now, id)
	if a.tokens < 1 || c.tokens < 1 {
		return false
	}
	a.tokens--
	c.tokens--
	a.again++
	return true
}

// Amplification is the tries for each first one so far.
func (a *RetryPolicy) Amplification() float64 {
	if a.first == 0 {
		return 1
	}
	return 1 + float64(a.again)/float64(a.first)
}

// Decision is what becomes of a request after a try that was not served.
type Decision uint8

// The verdicts.
const (
	RetryElsewhere      Decision = iota // by another server
	RetrySameEndpoint                   // by the server that may have run it, and by no other
	ReportRejected                      // it never ran: the refusal goes back
	ReportFailed                        // it did not succeed; a safe request may be sent again
	ReportIndeterminate                 // whether it ran is not known
)

// FailedAttempt is a request whose try has ended otherwise than served.
type FailedAttempt struct {
	Caller         uint32
	Keyed          bool // it must not run twice
	Idempotent     bool // it may run any number of times
	Key            IdempotencyKey
	Attempts       int // so far
	Outcome        Outcome
	NoRetry        bool           // the server wishes that no other be tried
	EarliestFinish microtime.Time // when a further try would be done; Never if nobody takes it
	Deadline       microtime.Time
}

// Decide decides what becomes of a request.
func (a *RetryPolicy) Decide(now microtime.Time, q FailedAttempt) Decision {
	verdict, end := RetryElsewhere, ReportFailed
	switch {
	case q.Outcome == Rejected, q.Outcome == ConnectFailed && !(q.Keyed && a.MayHaveExecuted(now, q.Key)):
		end = ReportRejected // it ran nowhere, and that is what its caller is told
	case q.Keyed && a.MayHaveExecuted(now, q.Key):
		// It goes to that server or nowhere. One that still answers can tell; a lost one cannot.
		verdict, end = RetrySameEndpoint, ReportIndeterminate
		if a.keys[q.Key].lost || q.Outcome == ConnectionLost || q.Outcome == TimedOut || q.Outcome == ConnectFailed {
			return ReportIndeterminate
		}
	case !q.Idempotent && !q.Outcome.ProvesNotExecuted():
		return ReportFailed // it may have run, and another run would do it twice
	}
	// No further try that cannot be done in time, or that the server asks not to be made.
	if q.NoRetry || q.Attempts >= a.cfg.MaxAttempts || q.EarliestFinish >= q.Deadline || !a.SpendToken(now, q.Caller) {
		return end
	}
	return verdict
}

// StickyEndpoint tells where an intake has to go: the server that may have run it within its window; "" where none has. false:
// so many intakes are remembered that a new one cannot be taken, as it could then run twice.
func (a *RetryPolicy) StickyEndpoint(now microtime.Time, k IdempotencyKey) (server string, ok bool) {
	if s := a.stuck(now, k); s != nil {
		return s.server, true
	}
	return "", len(a.keys) < a.cfg.MaxKeys
}

// RecordSent notes that a try of an intake leaves for a server: from then on it may have run there, until its window ends.
func (a *RetryPolicy) RecordSent(now microtime.Time, k IdempotencyKey, server string, window microtime.Time) {
	s := a.stuck(now, k)
	if s == nil {
		s = &stuck{key: k, server: server}
		a.keys[k] = s
		a.order = append(a.order, s)
	}
	s.written, s.open, s.expires = true, s.open+1, max(s.expires, now+window)
}

// RecordOutcome notes how a try of an intake ended. What proves that nothing ran frees it, unless another try may have: one
// that is out, or one that ended without proof, whichever request of the caller's it belonged to. Found by the hunt: a
// server that had run an intake and come back refused a repeat, and the next one ran elsewhere.
func (a *RetryPolicy) RecordOutcome(now microtime.Time, k IdempotencyKey, o Outcome) {
	s := a.keys[k]
	if s == nil {
		return
	}
	s.open = max(s.open-1, 0)
	switch {
	case o.ProvesNotExecuted():
		if s.mayRun || s.open > 0 {
			return
		}
		s.dead = true
		delete(a.keys, k)
	case o == ConnectionLost || o == TimedOut:
		s.lost, s.mayRun = true, true
	default:
		s.mayRun = true
		s.lost = s.lost && o != Succeeded
	}
}

// MayHaveExecuted says that an intake may have run somewhere within its window.
func (a *RetryPolicy) MayHaveExecuted(now microtime.Time, k IdempotencyKey) bool {
	s := a.stuck(now, k)
	return s != nil && s.written
}

// Indeterminate says that an intake's outcome is not known, and until when it cannot be run elsewhere.
func (a *RetryPolicy) Indeterminate(now microtime.Time, k IdempotencyKey) (until microtime.Time, unknown bool) {
	if s := a.keys[k]; s != nil && s.lost {
		return s.expires, now < s.expires
	}
	return 0, false
}

// stuck finds an intake whose window has not ended.
func (a *RetryPolicy) stuck(now microtime.Time, k IdempotencyKey) *stuck {
	a.expire(now)
	s := a.keys[k]
	if s != nil && s.expires <= now { // behind one that lasts longer
		s.dead = true
		delete(a.keys, k)
		return nil
	}
	return s
}

// expire forgets the intakes whose window has ended.
func (a *RetryPolicy) expire(now microtime.Time) {
	n := 0
	for n < len(a.order) && (a.order[n].dead || a.order[n].expires <= now) {
		s := a.order[n]
		n++
		if !s.dead {
			delete(a.keys, s.key)
		}
	}
	if n > 0 {
		clear(a.order[:n])
		a.order = a.order[n:]
	}
}

// Tracked counts the intakes and the callers in hand.
func (a *RetryPolicy) Tracked() (keys, callers int) { return len(a.keys), len(a.callers) }
