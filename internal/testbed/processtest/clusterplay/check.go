package clusterplay

import (
	"time"

	"github.com/anishathalye/porcupine"

	"pewterline/internal/protocol/thrift"
)

const (
	// checkerClientID is the client ID, in the history, of the requests that are sent after the last fault.
	checkerClientID = -1
	// linearizabilityTimeout bounds the search for an order of the history.
	linearizabilityTimeout = time.Minute
)

// check checks the invariants that can be checked only after the last fault.
func (p *play) check() {
	if err := p.cluster.AwaitStable(); err != nil {
		p.reportUnstable(err)
	} else {
		p.checkServed()
	}
	for _, duplicate := range p.cluster.RunLog.DuplicateRuns() {
		p.recorder.Violationf("duplicate: %s", duplicate)
	}
	p.checkOrder()
}

// reportUnstable records that the cluster did not become stable, with the state of each server.
func (p *play) reportUnstable(reason error) {
	p.recorder.Violationf("stable: %v", reason)
	for _, member := range p.cluster.Servers {
		state, err := p.state(member.ID)
		p.recorder.Violationf("stable: server %d: epoch %d, changing %v, acknowledged %d, %+v, %v",
			member.ID, state.Epoch, state.Changing, state.Acknowledged, state.Counters, err)
	}
}

// checkServed retries all served requests, at each server in turn, and checks that they are still served.
func (p *play) checkServed() {
	for i, key := range p.history.served() {
		id := 1 + i%len(p.cluster.Servers)
		if kind := p.sendAttempt(checkerClientID, id, key, true); kind != thrift.ReplyAnswer {
			p.recorder.Violationf("lost: %s was served before, but server %d replies with kind %d", key, id, kind)
		}
	}
}

// checkOrder checks that the history is linearizable.
func (p *play) checkOrder() {
	operations := p.history.all()
	result := porcupine.CheckOperationsTimeout(runOnceModel, operations, linearizabilityTimeout)
	if result == porcupine.Ok {
		return
	}
	p.recorder.Violationf("order: linearizability check of the history: %v", result)
	for _, operation := range operations {
		p.recorder.Violationf("    %v", operation)
	}
}
