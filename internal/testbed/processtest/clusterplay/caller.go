package clusterplay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// maxAttempts bounds the number of attempts of a request.
const maxAttempts = 12

// runCaller sends the requests of a caller one after the other until the play has stopped.
func (p *play) runCaller(caller int) {
	rng := rand.New(rand.NewPCG(p.script.Seed, uint64(caller)))
	for request := 0; !p.stopped.Load(); request++ {
		p.sendUntilServed(rng, caller, fmt.Sprintf("lot %d/%d", caller, request))
	}
}

// sendUntilServed sends a request with an idempotency key, each time to a random server, until it is served or
// maxAttempts is reached.
func (p *play) sendUntilServed(rng *rand.Rand, caller int, key string) {
	for attempt := 0; attempt < maxAttempts && !p.stopped.Load(); attempt++ {
		id := 1 + rng.IntN(len(p.cluster.Servers))
		if p.sendAttempt(caller, id, key, attempt > 0) == thrift.ReplyAnswer {
			time.Sleep(time.Duration(5+rng.IntN(20)) * time.Millisecond)
			return
		}
		time.Sleep(time.Duration(10+rng.IntN(90)) * time.Millisecond)
	}
}

// sendAttempt sends a request once, and returns the kind of the reply, or 0 if there was none.
func (p *play) sendAttempt(caller, id int, key string, retry bool) thrift.ReplyKind {
	began := p.recorder.Elapsed()
	request := processtest.NewKeyedRequest(key)
	request.Retry = retry
	outcome, err := p.cluster.Send(id, request)
	ended := p.recorder.Elapsed()
	if err != nil {
		// Without a reply the request may run at any later time, or never.
		outcome = processtest.RequestOutcome{}
		ended = time.Hour
	}
	p.history.record(caller, key, outcome, began, ended)
	p.recorder.Update(func(o *processtest.Outcome) { countReply(o, outcome.Kind, err) })
	return outcome.Kind
}

// countReply counts a reply, or its absence, in the outcome of the play.
func countReply(outcome *processtest.Outcome, kind thrift.ReplyKind, err error) {
	if err != nil {
		outcome.Unanswered++
		return
	}
	outcome.Answered++
	switch kind {
	case thrift.ReplyAnswer:
		outcome.Served++
	case thrift.ReplyThrottled:
		outcome.Rejected++
	default:
		outcome.Indeterminate++
	}
}
