package clusterplay

import (
	"time"

	"github.com/anishathalye/porcupine"

	"pewterline/internal/protocol/thrift"
)

const (
	// checker is the client of the requests that are sent once all faults are over.
	checker = -1
	// linearizabilityTimeout bounds the search for an order of the history.
	linearizabilityTimeout = time.Minute
)

// check looks for violations that show once all faults are over.
func (p *play) check() {
	if err := p.cluster.AwaitStable(); err != nil {
		p.reportUnstable(err)
	} else {
		p.checkServed()
	}
	for _, duplicate := range p.cluster.RunLog.DuplicateRuns() {
		p.recorder.Violatedf("duplicate: %s", duplicate)
	}
	p.checkOrder()
}

// reportUnstable records that the cluster is not stable again, with the state of each server.
func (p *play) reportUnstable(reason error) {
	p.recorder.Violatedf("stable: %v", reason)
	for _, member := range p.cluster.Servers {
		state, err := p.state(member.ID)
		p.recorder.Violatedf("stable: server %d: epoch %d, changing %v, acknowledged %d, %+v, %v",
			member.ID, state.Epoch, state.Changing, state.Acknowledged, state.Counters, err)
	}
}

// checkServed asks for all that was served, at each server in turn.
func (p *play) checkServed() {
	for i, key := range p.history.served() {
		id := 1 + i%len(p.cluster.Servers)
		if kind := p.attempt(checker, id, key, true); kind != thrift.ReplyAnswer {
			p.recorder.Violatedf("lost: %s was served, and server %d answers %d", key, id, kind)
		}
	}
}

// checkOrder looks for a history that fits no order of the requests.
func (p *play) checkOrder() {
	operations := p.history.all()
	result := porcupine.CheckOperationsTimeout(runOnceModel, operations, linearizabilityTimeout)
	if result == porcupine.Ok {
		return
	}
	p.recorder.Violatedf("order: the history is %v", result)
	for _, operation := range operations {
		p.recorder.Violatedf("    %v", operation)
	}
}
