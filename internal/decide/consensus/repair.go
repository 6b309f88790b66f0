package consensus

import (
	"slices"

	"pewterline/internal/microtime"
)

const (
	// scanBatch is how many keys a Tick scans, so that a scan of many keys does not block the event loop.
	scanBatch = 1000
	// repairBurstDivisor limits the repairs that start at once: to RepairRate divided by this number.
	repairBurstDivisor = 20
)

// scanReason is why the keys are scanned.
type scanReason uint8

const (
	scanTransfers   scanReason = iota // the keys must be transferred to the next configuration
	scanReconnected                   // a server has become reachable again
	scanAll                           // an operator has requested a repair of all keys
)

// scan is a scan of this server's keys for those to repair, one batch per Tick.
type scan struct {
	reason scanReason
	server uint32 // the ID of the server of scanReconnected
	next   int    // index into Acceptor.keyOrder
	end    int    // length of keyOrder when the scan started: keys that were added later need no repair
}

// repairState is the state of the repair of a key. Its zero value means that no repair is needed.
type repairState uint8

const (
	repairQueued   repairState = iota + 1
	repairInFlight             // the proposal is in flight
	repairRequeued             // the proposal is in flight and must be repeated, as another replica may be reachable
)

// repairQueue holds the keys whose values must be copied to replicas that may lack them. A token bucket limits the
// rate.
type repairQueue struct {
	scans    []scan
	priority []string // pending transfers; a change of members waits for them
	queue    []string // other repairs
	// states holds the states of the queued and in-flight repairs by key. There is at most one proposal for a key, as
	// two would only preempt each other.
	states map[string]repairState
	// pendingTransfers holds the keys that must be accepted in the next configuration before the change of members can
	// be completed.
	pendingTransfers map[string]bool
	active           int     // repairs in flight
	completed        uint64  // repairs completed since the node was created
	tokens           float64 // of the token bucket: each permits the start of a repair
	refilledAt       microtime.Time
}

func newRepairQueue() repairQueue {
	return repairQueue{states: map[string]repairState{}, pendingTransfers: map[string]bool{}}
}

// startScan starts a scan of the keys in keyOrder, whose length is keys. It replaces a scan for the same reason and
// server.
func (q *repairQueue) startScan(reason scanReason, server uint32, keys int) {
	q.scans = slices.DeleteFunc(q.scans, func(s scan) bool { return s.reason == reason && s.server == server })
	q.scans = append(q.scans, scan{reason: reason, server: server, end: keys})
}

// isScanningTransfers reports whether a scan for pending transfers is still in progress.
func (q *repairQueue) isScanningTransfers() bool {
	return slices.ContainsFunc(q.scans, func(s scan) bool { return s.reason == scanTransfers })
}

// dropPendingTransfers drops the pending transfers of an earlier membership. Their keys are still repaired.
func (q *repairQueue) dropPendingTransfers() {
	clear(q.pendingTransfers)
	q.queue = append(q.priority, q.queue...)
	q.priority = nil
	q.scans = slices.DeleteFunc(q.scans, func(s scan) bool { return s.reason == scanTransfers })
}

func (q *repairQueue) empty() bool { return len(q.priority)+len(q.queue) == 0 }

// enqueue queues the repair of a key, unless one is queued.
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

// enqueueTransfer queues the transfer of a key, before all other repairs.
func (q *repairQueue) enqueueTransfer(key string) {
	if q.pendingTransfers[key] {
		return
	}
	q.pendingTransfers[key] = true
	if q.states[key] <= repairQueued { // otherwise the proposal in flight already uses this membership
		q.states[key] = repairQueued
		q.priority = append(q.priority, key)
	}
}

// pop removes and returns the next key. Transfers come first, so that the repairs after reconnections cannot delay a
// change of members.
func (q *repairQueue) pop() (key string) {
	if len(q.priority) > 0 {
		key, q.priority = q.priority[0], q.priority[1:]
		return key
	}
	key, q.queue = q.queue[0], q.queue[1:]
	return key
}

// refill adds the tokens for the time since the last call. rate is in tokens per second.
func (q *repairQueue) refill(now microtime.Time, rate float64) {
	elapsed := float64(now-q.refilledAt) / float64(microtime.Second)
	q.tokens = min(q.tokens+elapsed*rate, max(rate/repairBurstDivisor, 1))
	q.refilledAt = now
}

// RepairAll starts the repair of all keys of this server.
func (n *Node) RepairAll() { n.repairs.startScan(scanAll, 0, len(n.acceptor.keyOrder)) }

// RepairProgress returns how many keys remain to be scanned or repaired, and how many have been repaired.
func (n *Node) RepairProgress() (left int, done uint64) {
	left = len(n.repairs.priority) + len(n.repairs.queue) + n.repairs.active
	for _, s := range n.repairs.scans {
		left += s.end - s.next
	}
	return left, n.repairs.completed
}

// PendingTransfers returns how many keys of this server must be transferred before a change of members can complete.
func (n *Node) PendingTransfers() int { return len(n.repairs.pendingTransfers) }

// tickRepairs continues the scans and starts repairs. It returns when it must be called next.
func (n *Node) tickRepairs(now microtime.Time) microtime.Time {
	scanning := n.scanKeys()
	next := n.startRepairs(now)
	if scanning {
		next = min(next, now+1) // the next batch
	}
	return next
}

// scanKeys scans a batch of keys. It reports whether more keys remain.
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

// scanKey queues the repair of a key if the reason of the scan requires it.
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

// repairsFor reports whether this server must repair a key for a server that has become reachable again. The first
// reachable one of the key's other replicas does so.
func (n *Node) repairsFor(server uint32, replicas []Identity) bool {
	isReplica := slices.ContainsFunc(replicas, func(replica Identity) bool { return replica.ID == server })
	first := slices.IndexFunc(replicas, func(replica Identity) bool {
		return replica.ID != server && (replica.ID == n.AcceptorID.ID || n.reachable[replica.ID])
	})
	return isReplica && first >= 0 && replicas[first] == n.AcceptorID
}

// startRepairs starts as many repairs as RepairRate and MaxRepairs permit. It returns when it must be called next.
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

// startRepair starts the repair of a key: a read that makes all reachable replicas accept its value.
func (n *Node) startRepair(now microtime.Time, key string) {
	queue := &n.repairs
	if queue.states[key] != repairQueued {
		return // the key was queued twice
	}
	register := n.acceptor.Register(key)
	if register.Value.Kind == KindNone { // the key has expired
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

// endRepair handles the end of a repair. If no majority has replied, it queues the repair again.
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
	// Progress is durable, so that a server that restarts during a change of members need not transfer all its keys
	// again. Otherwise servers that crash more often than they can transfer all keys would never complete the change.
	if register, changed := n.acceptor.markTransferred(proposal.Key); changed {
		n.save(proposal.Key, register)
	}
}

// sameReplicas reports whether two configurations have the same replicas of a key.
func sameReplicas(a, b []Identity) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(replica Identity) bool { return !slices.Contains(b, replica) })
}
