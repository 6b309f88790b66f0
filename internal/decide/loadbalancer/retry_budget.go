package loadbalancer

import "pewterline/internal/microtime"

// initialCallerTokens is the initial budget of a caller. It is less than MaxCallerTokens, because callers could
// otherwise evade their budget by using new caller IDs.
const initialCallerTokens = 1

// retryBudget is a token bucket for the instance and one for each caller. A success adds a fraction of a token to both,
// and a retry takes a whole token from both. Under full overload, when nothing succeeds, retries are bounded by the
// tokens earned before, as with the retry budgets of Finagle and of Google's SRE book.
type retryBudget struct {
	config  *RetryConfig
	tokens  float64
	callers map[uint32]*callerBudget
	// evictionQueue holds the callers by queuedAt, oldest first.
	evictionQueue []*callerBudget
}

// callerBudget is the budget of one caller.
type callerBudget struct {
	id         uint32
	tokens     float64
	lastSeenAt microtime.Time
	queuedAt   microtime.Time // lastSeenAt when the caller was last queued for eviction
}

func newRetryBudget(config *RetryConfig) retryBudget {
	return retryBudget{config: config, tokens: config.MaxTokens, callers: map[uint32]*callerBudget{}}
}

// caller returns the budget of a caller and updates lastSeenAt. It adds the caller if it is new.
func (b *retryBudget) caller(now microtime.Time, id uint32) *callerBudget {
	caller := b.callers[id]
	if caller == nil {
		b.evictCallers()
		caller = &callerBudget{id: id, tokens: initialCallerTokens, queuedAt: now}
		b.callers[id] = caller
		b.evictionQueue = append(b.evictionQueue, caller)
	}
	caller.lastSeenAt = now
	return caller
}

// evictCallers evicts the least recently seen callers until there is room for one more. This bounds the memory if
// callers keep using new IDs.
func (b *retryBudget) evictCallers() {
	for len(b.callers) >= b.config.MaxCallers {
		first := b.evictionQueue[0]
		b.evictionQueue = b.evictionQueue[1:]
		if first.lastSeenAt > first.queuedAt { // The caller was seen since, so it moves to the end.
			first.queuedAt = first.lastSeenAt
			b.evictionQueue = append(b.evictionQueue, first)
			continue
		}
		delete(b.callers, first.id)
	}
}

// earn adds TokensPerSuccess to the budgets of the instance and the caller.
func (b *retryBudget) earn(now microtime.Time, id uint32) {
	b.tokens = min(b.tokens+b.config.TokensPerSuccess, b.config.MaxTokens)
	caller := b.caller(now, id)
	caller.tokens = min(caller.tokens+b.config.TokensPerSuccess, b.config.MaxCallerTokens)
}

// spend takes one token from the budgets of the instance and the caller. If either has less than one, it takes none and
// returns false.
func (b *retryBudget) spend(now microtime.Time, id uint32) bool {
	caller := b.caller(now, id)
	if b.tokens < 1 || caller.tokens < 1 {
		return false
	}
	b.tokens--
	caller.tokens--
	return true
}
