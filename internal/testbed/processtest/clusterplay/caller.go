package clusterplay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// maxAttempts is how often a request is sent at most.
const maxAttempts = 12

// call is a caller: it sends requests one after the other, each again, at whatever server, until it is served or has
// been sent often enough.
func (p *play) call(caller int) {
	rng := rand.New(rand.NewPCG(p.script.Seed, uint64(caller)))
	for request := 0; !p.stopped.Load(); request++ {
		p.sendUntilServed(rng, caller, fmt.Sprintf("lot %d/%d", caller, request))
	}
}

// sendUntilServed sends a request with an idempotency key until it is served, or has been sent often enough.
func (p *play) sendUntilServed(rng *rand.Rand, caller int, key string) {
	for attempt := 0; attempt < maxAttempts && !p.stopped.Load(); attempt++ {
		id := 1 + rng.IntN(len(p.cluster.Servers))
		if p.attempt(caller, id, key, attempt > 0) == thrift.ReplyAnswer {
			time.Sleep(time.Duration(5+rng.IntN(20)) * time.Millisecond)
			return
		}
		time.Sleep(time.Duration(10+rng.IntN(90)) * time.Millisecond)
	}
}

// attempt sends a request once; it returns the kind of the reply, 0 where there was none.
func (p *play) attempt(caller, id int, key string, retry bool) thrift.ReplyKind {
	began := p.recorder.Elapsed()
	request := processtest.NewKeyedRequest(key)
	request.Retry = retry
	outcome, err := p.cluster.Send(id, request)
	ended := p.recorder.Elapsed()
	if err != nil {
		// It may run at any time, or never.
		outcome = processtest.RequestOutcome{}
		ended = time.Hour
	}
	p.history.record(caller, key, outcome, began, ended)
	p.recorder.Update(func(o *processtest.Outcome) { count(o, outcome.Kind, err) })
	return outcome.Kind
}

// count adds a reply to the outcome of the play.
func count(outcome *processtest.Outcome, kind thrift.ReplyKind, err error) {
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
