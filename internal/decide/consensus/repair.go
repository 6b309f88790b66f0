package consensus

import (
	"slices"

	"pewterline/internal/microtime"
)

const (
	// scanBatch is how many keys are gone through in one Tick: guards a turn against all keys at once.
	scanBatch = 1000
	// repairBurstDivisor makes the repairs that may begin at once a 20th of a second's worth.
	repairBurstDivisor = 20
)

// scanReason is why the keys are gone through.
type scanReason uint8

const (
	scanTransfers   scanReason = iota // the replicas of the next configuration lack keys
	scanReconnected                   // a server can be reached again
	scanAll                           // an operator asked for it
)

// scan goes through the keys that this server keeps, a batch at a time.
type scan struct {
	reason scanReason
	server uint32 // of scanReconnected
	next   int    // index into the acceptor's order of keys
	end    int    // of that order when the scan began: keys that came since need no repair
}

// repairState is how far the repair of a key is.
type repairState uint8

const (
	repairQueued   repairState = iota + 1
	repairInFlight             // a proposal for it is in flight
	repairRequeued             // it is in flight and due once more: a replica has come back meanwhile
)

// repairQueue has the keys that are to be brought to replicas that may lack them, at a bounded rate.
type repairQueue struct {
	scans    []scan
	priority []string // keys to be transferred before a change of members goes on
	queue    []string
	// states are of the keys that wait or are in flight: two repairs of a key would only stand in each other's way.
	states map[string]repairState
	// pendingTransfers are the keys that the replicas of the next configuration have to accept before the change of
	// members goes on.
	pendingTransfers map[string]bool
	active           int    // in flight
	completed        uint64 // since the node began
	tokens           float64
	refilledAt       microtime.Time
}

func newRepairQueue() repairQueue {
	return repairQueue{states: map[string]repairState{}, pendingTransfers: map[string]bool{}}
}

// startScan begins to go through all keys.
func (q *repairQueue) startScan(reason scanReason, server uint32, keys int) {
	q.scans = slices.DeleteFunc(q.scans, func(s scan) bool { return s.reason == reason && s.server == server })
	q.scans = append(q.scans, scan{reason: reason, server: server, end: keys})
}

// scansTransfers reports whether the pending transfers are not all known yet.
func (q *repairQueue) scansTransfers() bool {
	return slices.ContainsFunc(q.scans, func(s scan) bool { return s.reason == scanTransfers })
}

// forgetTransfers drops what was pending for an earlier membership. Its keys stay to be repaired.
func (q *repairQueue) forgetTransfers() {
	clear(q.pendingTransfers)
	q.queue = append(q.priority, q.queue...)
	q.priority = nil
	q.scans = slices.DeleteFunc(q.scans, func(s scan) bool { return s.reason == scanTransfers })
}

func (q *repairQueue) empty() bool { return len(q.priority)+len(q.queue) == 0 }

func (q *repairQueue) enqueue(key string) {
	switch q.states[key] {
	case 0:
		q.states[key] = repairQueued
		q.queue = append(q.queue, key)
	case repairInFlight:
		q.states[key] = repairRequeued
	case repairQueued, repairRequeued:
	}
}

// enqueueTransfer puts a key before those that no change of members waits for.
func (q *repairQueue) enqueueTransfer(key string) {
	if q.pendingTransfers[key] {
		return
	}
	q.pendingTransfers[key] = true
	if q.states[key] <= repairQueued { // else it is in flight, and has moved on to this membership
		q.states[key] = repairQueued
		q.priority = append(q.priority, key)
	}
}

// pop returns the key that is due next. Transfers go first: guards a change of members against links that come and go,
// each of which asks for repairs.
func (q *repairQueue) pop() (key string) {
	if len(q.priority) > 0 {
		key, q.priority = q.priority[0], q.priority[1:]
		return key
	}
	key, q.queue = q.queue[0], q.queue[1:]
	return key
}

// refill adds the tokens of the time that has passed.
func (q *repairQueue) refill(now microtime.Time, rate float64) {
	passed := float64(now-q.refilledAt) / float64(microtime.Second)
	q.tokens = min(q.tokens+passed*rate, max(rate/repairBurstDivisor, 1))
	q.refilledAt = now
}

// RepairAll has all keys that this server keeps brought to all their replicas.
func (n *Node) RepairAll() { n.repairs.startScan(scanAll, 0, len(n.acceptor.keyOrder)) }

// RepairProgress returns how many keys may have to be brought to other replicas yet, and how many were.
func (n *Node) RepairProgress() (left int, done uint64) {
	left = len(n.repairs.priority) + len(n.repairs.queue) + n.repairs.active
	for _, s := range n.repairs.scans {
		left += s.end - s.next
	}
	return left, n.repairs.completed
}

// PendingTransfers returns how many keys have to be transferred before a change of members can end.
func (n *Node) PendingTransfers() int { return len(n.repairs.pendingTransfers) }

// tickRepairs goes on with the scans and begins repairs. It returns when it is due next.
func (n *Node) tickRepairs(now microtime.Time) microtime.Time {
	scanning := n.scanKeys()
	next := n.startRepairs(now)
	if scanning {
		next = min(next, now+1) // the rest in the next turn
	}
	return next
}

// scanKeys goes through a batch of keys; it reports whether there are more.
func (n *Node) scanKeys() bool {
	queue := &n.repairs
	for left := scanBatch; len(queue.scans) > 0 && left > 0; {
		s := &queue.scans[0]
		for ; s.next < s.end && left > 0; left-- {
			key := n.acceptor.keyOrder[s.next]
			s.next++
			if n.acceptor.repairable(key) {
				n.scanKey(*s, key)
			}
		}
		if s.next >= s.end {
			queue.scans = queue.scans[1:]
		}
	}
	if len(queue.scans) == 0 {
		n.acceptor.compactKeyOrder()
	}
	return len(queue.scans) > 0
}

// scanKey has a key repaired where the reason of the scan calls for it.
func (n *Node) scanKey(current scan, key string) {
	switch current.reason {
	case scanAll:
		n.repairs.enqueue(key)
	case scanTransfers:
		replicas := n.membership.Replicas(key, n.hash)
		transferred := n.acceptor.Register(key).TransferredEpoch == n.membership.Epoch
		if len(replicas) > 1 && !sameReplicas(replicas[0], replicas[1]) && !transferred {
			n.repairs.enqueueTransfer(key)
		}
	case scanReconnected:
		for _, configuration := range n.membership.Replicas(key, n.hash) {
			if n.repairsFor(current.server, configuration) {
				n.repairs.enqueue(key)
			}
		}
	}
}

// repairsFor reports whether it is on this server to bring a key to a replica that can be reached again: on the first
// of the others that can be reached.
func (n *Node) repairsFor(server uint32, replicas []Identity) bool {
	isReplica := slices.ContainsFunc(replicas, func(replica Identity) bool { return replica.ID == server })
	first := slices.IndexFunc(replicas, func(replica Identity) bool {
		return replica.ID != server && (replica.ID == n.AcceptorID.ID || n.reachable[replica.ID])
	})
	return isReplica && first >= 0 && replicas[first] == n.AcceptorID
}

// startRepairs begins repairs, as many as the rate allows. It returns when it is due next.
func (n *Node) startRepairs(now microtime.Time) microtime.Time {
	queue := &n.repairs
	if queue.empty() {
		queue.refilledAt = now
		return microtime.Never
	}
	rate := float64(n.config.RepairRate)
	queue.refill(now, rate)
	for !queue.empty() && queue.active < n.config.MaxRepairs && queue.tokens >= 1 && n.membership.Epoch > 0 {
		n.startRepair(now, queue.pop())
	}
	if queue.empty() || queue.active >= n.config.MaxRepairs {
		return microtime.Never
	}
	return now + max(microtime.Time((1-queue.tokens)/rate*float64(microtime.Second)), microtime.Millisecond)
}

// startRepair begins the repair of a key: a read that has all its reachable replicas accept what is agreed on.
func (n *Node) startRepair(now microtime.Time, key string) {
	queue := &n.repairs
	if queue.states[key] != repairQueued {
		return // it was queued twice
	}
	register := n.acceptor.Register(key)
	if register.Value.Kind == KindNone { // it has expired
		delete(queue.pendingTransfers, key)
		delete(queue.states, key)
		return
	}
	queue.tokens--
	queue.active++
	queue.states[key] = repairInFlight
	configurations := n.membership.Replicas(key, n.hash)
	n.start(now, ProposalConfig{
		Key:            key,
		Change:         Change{Kind: ReadValue, AttemptedAt: register.LastAttemptAt},
		Configurations: configurations,
		WaitForAll:     true,
		Unreachable:    n.unreachable(configurations),
	})
}

// endRepair takes a repair off; one that no majority has replied to stays to be done.
func (n *Node) endRepair(proposal *Proposal, known bool) {
	queue := &n.repairs
	queue.active--
	requeued := queue.states[proposal.Key] == repairRequeued
	delete(queue.states, proposal.Key)
	if requeued || !known {
		queue.enqueue(proposal.Key)
	}
	if !known {
		return
	}
	queue.completed++
	if !queue.pendingTransfers[proposal.Key] || proposal.Epoch != n.membership.Epoch {
		return
	}
	delete(queue.pendingTransfers, proposal.Key)
	// So that a process that starts anew amid a change goes on with the rest: guards the change against servers that die
	// more often than they can transfer all their keys.
	if register, changed := n.acceptor.markTransferred(proposal.Key); changed {
		n.save(proposal.Key, register)
	}
}

// sameReplicas reports whether two configurations have the same replicas of a key.
func sameReplicas(a, b []Identity) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(replica Identity) bool { return !slices.Contains(b, replica) })
}
