package loadbalancer

import "pewterline/internal/microtime"

// IdempotencyKey identifies a request across all its attempts.
type IdempotencyKey struct {
	Tenant int
	Value  string
}

// stickyKeys records which endpoint may have executed a request with an idempotency key, until the retention window of
// the key ends. Until then the request is sent to no other endpoint, where it could be executed a second time.
type stickyKeys struct {
	maxKeys int
	byKey   map[IdempotencyKey]*stickyKey
	// byExpiry holds the keys in the order in which they were added. This approximates their order of expiry, as all keys
	// of a request class have the same retention window.
	byExpiry []*stickyKey
}

// stickyKey is a request that may have been executed at an endpoint.
type stickyKey struct {
	key             IdempotencyKey
	endpoint        string
	expiresAt       microtime.Time
	inFlight        int
	mayHaveExecuted bool // an attempt has ended without proof that it was not executed
	indeterminate   bool // the outcome of an attempt is unknown
	removed         bool // the key is no longer in byKey
}

func newStickyKeys(maxKeys int) stickyKeys {
	return stickyKeys{maxKeys: maxKeys, byKey: map[IdempotencyKey]*stickyKey{}}
}

// full reports whether maxKeys keys are tracked.
func (s *stickyKeys) full() bool { return len(s.byKey) >= s.maxKeys }

// lookup returns the entry of a key whose retention window has not ended, or nil.
func (s *stickyKeys) lookup(now microtime.Time, key IdempotencyKey) *stickyKey {
	s.expire(now)
	sticky := s.byKey[key]
	if sticky != nil && sticky.expiresAt <= now { // expire stopped at an earlier entry that expires later.
		s.remove(sticky)
		return nil
	}
	return sticky
}

// recordSent records that an attempt was written to an endpoint.
func (s *stickyKeys) recordSent(now microtime.Time, key IdempotencyKey, endpoint string, window microtime.Time) {
	sticky := s.lookup(now, key)
	if sticky == nil {
		sticky = &stickyKey{key: key, endpoint: endpoint}
		s.byKey[key] = sticky
		s.byExpiry = append(s.byExpiry, sticky)
	}
	sticky.inFlight++
	sticky.expiresAt = max(sticky.expiresAt, now+window)
}

// recordOutcome records how an attempt ended. An outcome that proves that the attempt was not executed removes the key,
// unless another attempt may have been executed: one in flight, or one that ended without such a proof. Otherwise an
// endpoint could execute a request, restart and then reject a retry, and the next retry would be executed at another
// endpoint.
func (s *stickyKeys) recordOutcome(key IdempotencyKey, outcome Outcome) {
	sticky := s.byKey[key]
	if sticky == nil {
		return
	}
	sticky.inFlight = max(sticky.inFlight-1, 0)
	switch outcome {
	case Rejected, ConnectFailed:
		if !sticky.mayHaveExecuted && sticky.inFlight == 0 {
			s.remove(sticky)
		}
	case ConnectionLost, TimedOut:
		sticky.mayHaveExecuted = true
		sticky.indeterminate = true
	case Succeeded:
		sticky.mayHaveExecuted = true
		sticky.indeterminate = false
	default:
		sticky.mayHaveExecuted = true
	}
}

func (s *stickyKeys) remove(sticky *stickyKey) {
	sticky.removed = true
	delete(s.byKey, sticky.key)
}

// expire removes the keys whose retention window has ended, in the order of byExpiry, up to the first one whose window
// has not ended.
func (s *stickyKeys) expire(now microtime.Time) {
	expired := 0
	for expired < len(s.byExpiry) && (s.byExpiry[expired].removed || s.byExpiry[expired].expiresAt <= now) {
		if sticky := s.byExpiry[expired]; !sticky.removed {
			delete(s.byKey, sticky.key)
		}
		expired++
	}
	if expired > 0 {
		clear(s.byExpiry[:expired])
		s.byExpiry = s.byExpiry[expired:]
	}
}
