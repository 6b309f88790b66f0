package loadbalancer

import "pewterline/internal/microtime"

// newCallerTokens is the initial budget of a caller. With a full one, callers could evade the budget by new caller IDs.
const newCallerTokens = 1

// retryBudget is a token bucket for the instance and one for each caller. A success earns a fraction of a token in
// both, and a retry costs a whole one of both. Under full overload, when nothing succeeds, retries are bounded by the
// tokens earned before (the retry budget of Finagle and of Google's SRE book).
type retryBudget struct {
	config  *RetryConfig
	tokens  float64
	callers map[uint32]*callerBudget
	// oldest is the eviction order: the callers by queuedAt, oldest first.
	oldest []*callerBudget
}

// callerBudget is the budget of one caller.
type callerBudget struct {
	id         uint32
	tokens     float64
	lastSeenAt microtime.Time
	queuedAt   microtime.Time // lastSeenAt when it was put in the eviction order
}

func newRetryBudget(config *RetryConfig) retryBudget {
	return retryBudget{config: config, tokens: config.MaxTokens, callers: map[uint32]*callerBudget{}}
}

// caller returns the budget of a caller and updates its lastSeenAt. A new caller is added.
func (b *retryBudget) caller(now microtime.Time, id uint32) *callerBudget {
	caller := b.callers[id]
	if caller == nil {
		b.evictCallers()
		caller = &callerBudget{id: id, tokens: newCallerTokens, queuedAt: now}
		b.callers[id] = caller
		b.oldest = append(b.oldest, caller)
	}
	caller.lastSeenAt = now
	return caller
}

// evictCallers makes room for one caller by evicting the least recently seen, so that callers with ever new IDs cannot
// use up the memory.
func (b *retryBudget) evictCallers() {
	for len(b.callers) >= b.config.MaxCallers {
		first := b.oldest[0]
		b.oldest = b.oldest[1:]
		if first.lastSeenAt > first.queuedAt { // It was seen since, so it moves to the end.
			first.queuedAt = first.lastSeenAt
			b.oldest = append(b.oldest, first)
			continue
		}
		delete(b.callers, first.id)
	}
}

// earn adds TokensPerSuccess to both budgets.
func (b *retryBudget) earn(now microtime.Time, id uint32) {
	b.tokens = min(b.tokens+b.config.TokensPerSuccess, b.config.MaxTokens)
	caller := b.caller(now, id)
	caller.tokens = min(caller.tokens+b.config.TokensPerSuccess, b.config.MaxCallerTokens)
}

// spend takes a token from both budgets. It returns false, and takes nothing, if either has none.
func (b *retryBudget) spend(now microtime.Time, id uint32) bool {
	caller := b.caller(now, id)
	if b.tokens < 1 || caller.tokens < 1 {
		return false
	}
	b.tokens--
	caller.tokens--
	return true
}
