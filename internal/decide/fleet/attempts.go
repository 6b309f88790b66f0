package fleet

import (
	"fmt"

	"pewterline/internal/micro"
)

// AttemptsConfig are the figures for repeated attempts. Zero values take the defaults.
type AttemptsConfig struct {
	Earn       float64 // tokens that a success earns; a further try costs one
	Most       float64 // tokens that the instance can have
	CallerMost float64 // and each caller
	Callers    int     // that are remembered; the one not heard of the longest goes
	Tries      int     // of one request, the first included
	Keys       int     // intakes whose server is remembered; beyond, new ones are not taken
}

func (c *AttemptsConfig) defaults() {
	if c.Earn == 0 {
		c.Earn = 0.1
	}
	if c.Most == 0 {
		c.Most = 50
	}
	if c.CallerMost == 0 {
		c.CallerMost = 10
	}
	if c.Callers == 0 {
		c.Callers = 4096
	}
	if c.Tries == 0 {
		c.Tries = 3
	}
	if c.Keys == 0 {
		c.Keys = 65536
	}
}

// Check tells the first figure that makes no sense.
func (c AttemptsConfig) Check() error {
	c.defaults()
	switch {
	case !(c.Earn > 0 && c.Earn <= 1):
		return fmt.Errorf("fleet: earn: %v is not within 0 to 1", c.Earn)
	case !(c.Most >= 1 && c.CallerMost >= 1):
		return fmt.Errorf("fleet: most, caller_most: %v and %v are under 1", c.Most, c.CallerMost)
	case c.Callers < 1 || c.Keys < 1:
		return fmt.Errorf("fleet: callers, keys: %d and %d are under 1", c.Callers, c.Keys)
	case c.Tries < 1 || c.Tries > 16:
		return fmt.Errorf("fleet: tries: %d is not within 1 to 16", c.Tries)
	}
	return nil
}

// Attempts decides whether a request is tried again, and where an intake must go. A success earns a part of a
// token, a further try costs a whole one, for the instance and for the caller: under full overload, where nothing
// succeeds, no more is tried again than was earned before (the retry budget of Finagle and of Google's SRE book).
type Attempts struct {
	cfg     AttemptsConfig
	tokens  float64
	callers map[uint32]*caller
	oldest  []*caller // by when they were last heard of, as far as that is known
	keys    map[Key]*stuck
	order   []*stuck // by when they expire, as windows of one class come in order
	first   int
	again   int
}

type caller struct {
	id     uint32
	tokens float64
	heard  micro.Time
	queued micro.Time // heard, when it was put in the order
}

// Key names an intake over all its tries.
type Key struct {
	Tenant int
	Once   string
}

// stuck is an intake that may have run at a server.
type stuck struct {
	key     Key
	server  string
	expires micro.Time
	written bool // a try has left for it: it may have run
	open    int
	mayRun  bool // a try has ended without proof that it did not run
	lost    bool // its outcome there is not known
	dead    bool
}

// NewAttempts returns the decisions with full budgets.
func NewAttempts(cfg AttemptsConfig) (*Attempts, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg.defaults()
	return &Attempts{cfg: cfg, tokens: cfg.Most, callers: map[uint32]*caller{}, keys: map[Key]*stuck{}}, nil
}

// caller finds a caller's budget. Guards the memory against callers that come under ever new numbers: beyond the bound
// the one not heard of the longest goes, and comes back with an empty budget, not a full one.
func (a *Attempts) caller(now micro.Time, id uint32) *caller {
	c := a.callers[id]
	if c == nil {
		c = &caller{id: id, tokens: 1, queued: now}
		for len(a.callers) >= a.cfg.Callers {
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

// First counts a first try of a caller's.
func (a *Attempts) First(now micro.Time, id uint32) {
	a.first++
	a.caller(now, id)
}

// Succeeded has a success earn its part of a token.
func (a *Attempts) Succeeded(now micro.Time, id uint32) {
	a.tokens = min(a.tokens+a.cfg.Earn, a.cfg.Most)
	c := a.caller(now, id)
	c.tokens = min(c.tokens+a.cfg.Earn, a.cfg.CallerMost)
}

// Spend takes a token for a further try or a second copy; false: there is none, and nothing is taken.
func (a *Attempts) Spend(now micro.Time, id uint32) bool {
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
func (a *Attempts) Amplification() float64 {
	if a.first == 0 {
		return 1
	}
	return 1 + float64(a.again)/float64(a.first)
}

// Verdict is what becomes of a request after a try that was not served.
type Verdict uint8

// The verdicts.
const (
	AgainElsewhere Verdict = iota // by another server
	AgainThere                    // by the server that may have run it, and by no other
	SayRefused                    // it never ran: the refusal goes back
	SayFailed                     // it did not succeed; a safe request may be sent again
	SayUnknown                    // whether it ran is not known
)

// Ask is a request whose try has ended otherwise than served.
type Ask struct {
	Caller   uint32
	Keyed    bool // it must not run twice
	Safe     bool // it may run any number of times
	Key      Key
	Tries    int // so far
	Outcome  Outcome
	Last     bool       // the server wishes that no other be tried
	Finishes micro.Time // when a further try would be done; Never if nobody takes it
	Due      micro.Time
}

// After decides what becomes of a request.
func (a *Attempts) After(now micro.Time, q Ask) Verdict {
	verdict, end := AgainElsewhere, SayFailed
	switch {
	case q.Outcome == Refused, q.Outcome == Unreached && !(q.Keyed && a.MayHaveRun(now, q.Key)):
		end = SayRefused // it ran nowhere, and that is what its caller is told
	case q.Keyed && a.MayHaveRun(now, q.Key):
		// It goes to that server or nowhere. One that still answers can tell; a lost one cannot.
		verdict, end = AgainThere, SayUnknown
		if a.keys[q.Key].lost || q.Outcome == Broken || q.Outcome == TimedOut || q.Outcome == Unreached {
			return SayUnknown
		}
	case !q.Safe && !q.Outcome.Proves():
		return SayFailed // it may have run, and another run would do it twice
	}
	// No further try that cannot be done in time, or that the server asks not to be made.
	if q.Last || q.Tries >= a.cfg.Tries || q.Finishes >= q.Due || !a.Spend(now, q.Caller) {
		return end
	}
	return verdict
}

// Stick tells where an intake has to go: the server that may have run it within its window; "" where none has. false:
// so many intakes are remembered that a new one cannot be taken, as it could then run twice.
func (a *Attempts) Stick(now micro.Time, k Key) (server string, ok bool) {
	if s := a.stuck(now, k); s != nil {
		return s.server, true
	}
	return "", len(a.keys) < a.cfg.Keys
}

// Leave notes that a try of an intake leaves for a server: from then on it may have run there, until its window ends.
func (a *Attempts) Leave(now micro.Time, k Key, server string, window micro.Time) {
	s := a.stuck(now, k)
	if s == nil {
		s = &stuck{key: k, server: server}
		a.keys[k] = s
		a.order = append(a.order, s)
	}
	s.written, s.open, s.expires = true, s.open+1, max(s.expires, now+window)
}

// Returned notes how a try of an intake ended. What proves that nothing ran frees it, unless another try may have: one
// that is out, or one that ended without proof, whichever request of the caller's it belonged to. Found by the hunt: a
// server that had run an intake and come back refused a repeat, and the next one ran elsewhere.
func (a *Attempts) Returned(now micro.Time, k Key, o Outcome) {
	s := a.keys[k]
	if s == nil {
		return
	}
	s.open = max(s.open-1, 0)
	switch {
	case o.Proves():
		if s.mayRun || s.open > 0 {
			return
		}
		s.dead = true
		delete(a.keys, k)
	case o == Broken || o == TimedOut:
		s.lost, s.mayRun = true, true
	default:
		s.mayRun = true
		s.lost = s.lost && o != Served
	}
}

// MayHaveRun says that an intake may have run somewhere within its window.
func (a *Attempts) MayHaveRun(now micro.Time, k Key) bool {
	s := a.stuck(now, k)
	return s != nil && s.written
}

// Unknown says that an intake's outcome is not known, and until when it cannot be run elsewhere.
func (a *Attempts) Unknown(now micro.Time, k Key) (until micro.Time, unknown bool) {
	if s := a.keys[k]; s != nil && s.lost {
		return s.expires, now < s.expires
	}
	return 0, false
}

// stuck finds an intake whose window has not ended.
func (a *Attempts) stuck(now micro.Time, k Key) *stuck {
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
func (a *Attempts) expire(now micro.Time) {
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

// Remembered counts the intakes and the callers in hand.
func (a *Attempts) Remembered() (keys, callers int) { return len(a.keys), len(a.callers) }
