// Package replication is a log server's part in a group that holds copies of intakes for each other: it drives the decisions of
// packages copies and ledger with the program's loop, its disk and the links to the other servers. It knows once-keys as strings and
// no class, tenant or wire.
package replication

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/decide/execution"
	"pewterline/internal/microtime"
	"pewterline/internal/peers"
	"pewterline/internal/protocol/replicationwire"
	"pewterline/internal/transport"
)

// Config says how a server takes part in its replication group.
type Config struct {
	ID                uint32             // of this server, unique in its group
	Directory         string             // of the write-ahead log; created if it is missing
	ReplicationFactor int                // of a group that is bootstrapped by this server
	Consensus         consensus.Config   // timeouts and limits of proposals and repairs
	Peers             []consensus.Member // members of the group to come, or other addresses of present members

	// Retention is the longest that the outcome of any key is kept.
	Retention microtime.Time
	// UnixMilli converts a time of the event loop to Unix milliseconds.
	UnixMilli func(microtime.Time) int64
	// Logf writes a line to the server's log.
	Logf func(format string, args ...any)
}

const (
	lookEvery   = 50 * microtime.Millisecond // at a run of another server, at first
	lookMost    = 400 * microtime.Millisecond
	reopenEvery = 2 * microtime.Second // a disk that failed
	forgetEvery = microtime.Second
	// Room for wall clocks that are apart, and for messages on their way, before what is past its window is forgotten.
	forgetSlack = 60_000
	// Callers' times may be that far ahead, and clocks apart.
	lostSlack = 15_000
)

// Outcome is what became of what was asked for.
type Outcome struct {
	Action       execution.Action // Start, Serve, SayFailed, SayUnknown, SayUncopied, SayUnneeded or Refuse
	Value        consensus.Value
	RetryAtMilli int64 // SayUnknown: Unix milliseconds by which a repeat may run; 0: that is not known either
}

// Loop is what the holdings need of the event loop.
type Loop interface {
	peers.EventLoop
	Execute(func()) error
}

// Counters tell what is at risk, since the process started, but for the gauges in the present tense.
type Counters struct {
	LeasesRequested      int    `json:"leaves_asked"`
	LeasesGranted        int    `json:"leaves_granted"`
	ResultsFound         int    `json:"results_found"`   // that other servers' runs, or earlier ones, had made
	ResultsReplicated    int    `json:"results_copied"`  // to a majority
	ResultsAtRisk        int    `json:"results_at_risk"` // ran, and no majority took the result in time
	OutcomesUnknown      int    `json:"outcomes_unknown"`
	RejectedUnreplicated int    `json:"refused_uncopied"` // before they ran: no majority in time
	DiskFailures         int    `json:"disk_failures"`
	DiskSyncs            int64  `json:"disk_syncs"` // since the log was opened
	DiskBytes            int64  `json:"disk_bytes"`
	KeysRepaired         uint64 `json:"keys_repaired"`
	KeysToRepair         int    `json:"keys_to_repair"`
	KeysPendingTransfer  int    `json:"keys_owed"` // of those to repair: a change of members waits for them
	KeysHeld             int    `json:"keys_held"`
	ProposalsInFlight    int    `json:"changes_under_way"`
	MembersUnreachable   int    `json:"members_unreachable"`
}

// Replica are what one server holds, and its way to what others do.
type Replica struct {
	cfg    Config
	logf   func(string, ...any)
	wall   func(microtime.Time) int64
	window int64 // milliseconds, the longest that any key has
	loop   Loop
	peers  *peers.Links
	node   *consensus.Node
	disk   *disk
	broken bool // the disk has failed: this server does not vote
	reopen microtime.Time
	forget microtime.Time
	keys   map[string]*entry
	active map[*entry]struct{} // somebody waits for an answer of theirs
	last   uint64              // number of an entry
	ops    map[uint64]*entry   // changes under way
	count  Counters
	busy   bool // within flush
}

// entry is an intake on this server.
type entry struct {
	execution.Lifecycle
	name    string
	number  uint64
	looks   bool  // it is only looked at, and has no place among the keys
	at      int64 // of the try that is to run, or ran
	window  int64
	try     uint64 // of the leave
	due     microtime.Time
	again   microtime.Time // Elsewhere: the next look; Uncopied: the next copy
	wait    microtime.Time // until the one after that
	op      uint64
	theirs  int64 // when the try came that has the leave elsewhere; 0: not known
	passed  bool
	result  string
	done    func(Outcome)
	touched int64
}

// Open reads what this server holds.
func Open(cfg Config) (*Replica, error) {
	logf := cfg.Logf
	h := &Replica{cfg: cfg, logf: logf, wall: cfg.UnixMilli, window: int64(cfg.Retention / microtime.Millisecond), keys: map[string]*entry{}, active: map[*entry]struct{}{}, ops: map[uint64]*entry{}}
	var err error
	if h.disk, err = openDisk(cfg.Directory); err != nil {
		return nil, err
	}
	process, err := random()
	if err != nil {
		return nil, err
	}
	self := consensus.Identity{ID: cfg.ID, Incarnation: h.disk.life}
	if h.node, err = consensus.NewNode(self, process, cfg.Consensus, h.disk.group, clone(h.disk.slots), process, xxhash.Sum64String); err != nil {
		return nil, errors.Join(fmt.Errorf("holdings: %w", err), h.disk.log.Close())
	}
	logf("holdings: server %d, life %x, process %x, group %v, %d keys held", cfg.ID, self.Incarnation, process, h.disk.group, h.node.KeyCount())
	return h, nil
}

func clone(in map[string]consensus.Register) map[string]consensus.Register {
	out := make(map[string]consensus.Register, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}

// Attach opens the links to the others. It is called on the loop.
func (h *Replica) Attach(l Loop) {
	h.loop = l
	h.peers = peers.New(l, h, h.logf)
	h.link()
}

// Close ends the log on disk. It comes after the loop's end.
func (h *Replica) Close() error { return h.disk.log.Close() }

// Accept is the session of another server's connection.
func (h *Replica) Accept(c transport.Conn) transport.Session { return h.peers.Accept(c) }

// link has links to all that are of the group or in the file. The file says where they are reached from here.
func (h *Replica) link() {
	addrs := map[uint32]string{}
	for _, set := range [][]consensus.Member{h.node.Membership().Members(), h.cfg.Peers} {
		for _, p := range set {
			if p.ID != h.cfg.ID {
				addrs[p.ID] = p.Addr
			}
		}
	}
	h.peers.SetPeers(addrs)
}

// Hello is part of peers.Host.
func (h *Replica) Hello() replicationwire.Hello {
	return replicationwire.Hello{ID: h.cfg.ID, Incarnation: h.node.AcceptorID.Incarnation, ProcessIncarnation: h.node.ProposerID.Incarnation, ClusterID: h.node.Membership().ClusterID}
}

// Group is part of peers.Host.
func (h *Replica) Group() consensus.Membership { return h.node.Membership() }

// PeerStateChanged is part of peers.Host.
func (h *Replica) PeerStateChanged(id uint32, up bool) {
	h.logf("holdings: server %d can be reached: %v", id, up)
	h.node.SetReachable(id, up)
}

// HandleMessage is part of peers.Host.
func (h *Replica) HandleMessage(from replicationwire.Hello, m replicationwire.Message) {
	now := h.loop.Now()
	if m.Membership != nil {
		if err := h.node.AdoptMembership(now, *m.Membership); err != nil {
			h.logf("holdings: server %d tells of a group: %v", from.ID, err)
		}
	}
	for _, k := range m.TransferAcks {
		h.node.HandleTransferAck(k)
	}
	if !h.broken { // what can't be made durable is no vote
		for _, r := range m.Requests {
			h.node.HandleRequest(consensus.Identity{ID: from.ID, Incarnation: from.ProcessIncarnation}, r)
		}
	}
	for _, r := range m.Replies {
		h.node.HandleReply(now, r)
	}
}

// Tick does what is due, and what has come up in this turn. It returns when it is due again.
func (h *Replica) Tick(now microtime.Time) microtime.Time {
	if h.broken && now >= h.reopen {
		h.mend(now)
	}
	if now >= h.forget {
		h.forget = now + forgetEvery
		h.sweep(now)
	}
	next := h.forget
	for _, e := range h.due(now) {
		if now >= e.due && e.State != execution.StateUnrecorded {
			h.move(e, execution.EventDeadlineReached, consensus.Value{})
		} else {
			h.move(e, execution.EventRetryDue, consensus.Value{})
		}
	}
	next = min(next, h.node.Tick(now))
	h.flush(now)
	for e := range h.active {
		next = min(next, e.next())
	}
	if h.broken {
		next = min(next, h.reopen)
	}
	return min(next, h.peers.Check(now))
}

// next is when something is due for an entry that is under way.
func (e *entry) next() microtime.Time {
	switch e.State {
	case execution.StateHeldByOther:
		return min(e.again, e.due)
	case execution.StateUnrecorded: // nobody may be waiting: it is a promise to those who come
		return e.again
	}
	return e.due
}

// due are the entries that something is due for, in an order that depends on nothing else.
func (h *Replica) due(now microtime.Time) (out []*entry) {
	for e := range h.active {
		if now >= e.next() {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.number, b.number) })
	return out
}

// flush carries out what the node is ready for, until there is nothing left.
func (h *Replica) flush(now microtime.Time) {
	if h.busy {
		return // a result has led to another change; the loop below goes on with it
	}
	h.busy = true
	defer func() { h.busy = false }()
	for range 64 { // a bound on a turn; what is left comes with the next
		r := h.node.Ready()
		if r.Membership == nil && len(r.Registers)+len(r.Requests)+len(r.Replies)+len(r.Notify)+len(r.TransferAcks)+len(r.Results) == 0 {
			return
		}
		if r.Membership != nil {
			h.logf("holdings: group %v", r.Membership)
			h.link()
		}
		h.save(now, r)
		for _, q := range r.Results {
			e := h.ops[q.ID]
			if delete(h.ops, q.ID); e != nil && e.op == q.ID {
				e.op = 0
				h.move(e, execution.EventOf(q.Outcome, q.Known), q.Value)
			}
		}
	}
}

// save makes durable what has to be, before what was made ready with it goes out. Requests alone may go at once: a vote of this
// server's is a reply.
func (h *Replica) save(now microtime.Time, r consensus.Ready) {
	send := func() {
		for _, a := range r.Replies {
			if a.To == h.node.ProposerID {
				h.node.HandleReply(h.loop.Now(), a.Reply)
			} else {
				h.peers.SendReply(a.To, a.Reply)
			}
		}
		for _, id := range r.Notify {
			h.peers.QueueMembership(id)
		}
		for _, k := range r.TransferAcks {
			h.peers.BroadcastAck(k)
		}
	}
	ask := func() {
		for _, q := range r.Requests {
			if q.To.ID != h.cfg.ID {
				h.peers.SendRequest(q)
			} else if !h.broken {
				h.node.HandleRequest(h.node.ProposerID, q)
			}
		}
	}
	if r.Membership == nil {
		ask()
	}
	if r.Membership == nil && len(r.Registers) == 0 {
		send()
		return
	}
	if h.broken {
		return
	}
	var parts []replicationwire.Record
	part, size := replicationwire.Record{Membership: r.Membership}, 0
	for _, s := range r.Registers {
		if part.Slots = append(part.Slots, s); size > recordBytes {
			parts, part, size = append(parts, part), replicationwire.Record{}, 0
		}
		size += 100 + len(s.Key) + len(s.Register.Value.Result)
	}
	parts = append(parts, part)
	d := h.disk
	for i, p := range parts {
		then := func() {}
		if i == len(parts)-1 { // the others were durable before it
			then = func() {
				if d != h.disk || h.broken {
					return // of a log that has failed since: it was read anew
				}
				if r.Membership != nil {
					ask()
				}
				send()
			}
		}
		d.write(p, h.loop.Execute, then, func(err error) { h.failed(d, err) })
	}
}

// failed takes note that the disk has failed: what this server has not made durable it does not vouch for, and it does not vote
// until the log was opened anew and read. Guards against a vote that a restart would not know of.
func (h *Replica) failed(d *disk, err error) {
	if d != h.disk || h.broken {
		return
	}
	h.logf("holdings: the disk has failed: %v; this server does not vote until its log is opened anew", err)
	h.broken, h.reopen = true, h.loop.Now()+reopenEvery
	h.count.DiskFailures++
}

// mend opens the log anew, and goes by what is in it.
func (h *Replica) mend(now microtime.Time) {
	h.reopen = now + reopenEvery
	_ = h.disk.log.Close() // it has failed
	d, err := openDisk(h.cfg.Directory)
	if err != nil {
		h.logf("holdings: %v", err)
		return
	}
	if d.life != h.node.AcceptorID.Incarnation {
		h.logf("holdings: %s holds another life; this server does not vote until it is started anew", h.cfg.Directory)
		_ = d.log.Close()
		return
	}
	h.disk, h.broken = d, false
	h.node.Restore(clone(d.slots))
	h.logf("holdings: the log is opened anew, with %d keys", h.node.KeyCount())
}

// sweep forgets what is past its window, here and on disk.
func (h *Replica) sweep(now microtime.Time) {
	before := h.wall(now) - h.window - forgetSlack
	for name, e := range h.keys {
		if e.touched < before && (e.State == execution.StateIdle || e.State == execution.StateUnrecorded || e.State == execution.StateRecorded) {
			delete(h.keys, name)
			delete(h.active, e)
		}
	}
	if !h.broken {
		d := h.disk
		failed := func(err error) { h.failed(d, err) }
		if h.node.Expire(before) > 0 {
			d.write(replicationwire.Record{ForgetBefore: max(before, 1)}, h.loop.Execute, func() {}, failed)
		}
		d.tidy(h.loop.Execute, failed)
	}
}

// Attempt is an attempt to run the request of an idempotency key.
type Attempt struct {
	Key            string
	ArrivedAtMilli int64          // when it arrived, in Unix milliseconds
	RetentionMilli int64          // how long an outcome of this key is kept, counted from the arrival of the attempt that ran
	Deadline       microtime.Time // by which whoever waits needs an answer
}

// AcquireLease asks whether an attempt may run. done is called once, on the loop, by the deadline or soon after it.
func (h *Replica) AcquireLease(a Attempt, done func(Outcome)) {
	key, at := a.Key, a.ArrivedAtMilli
	e := h.keys[key]
	if e == nil {
		h.last++
		e = &entry{name: key, number: h.last, wait: lookEvery}
		h.keys[key] = e
	}
	e.at, e.window, e.due, e.done, e.touched = at, a.RetentionMilli, a.Deadline, done, max(at, e.touched)
	if e.State != execution.StateIdle && e.State != execution.StateReleasing && e.State != execution.StateRecorded { // the core has one run of a key at a time
		h.logf("holdings: %q is asked for while it is in state %d", key, e.State)
		h.say(e, execution.ActionReportIndeterminate, consensus.Value{})
		return
	}
	h.move(e, execution.EventAttemptArrived, consensus.Value{})
}

// ReleaseLease gives back a lease that was granted and does not lead to a run.
func (h *Replica) ReleaseLease(key string) {
	if e := h.keys[key]; e != nil {
		h.move(e, execution.EventRunNotStarted, consensus.Value{})
	}
}

// Complete puts the end of a run on record. done is called once, on the loop: with Serve, SayFailed or SayUncopied.
func (h *Replica) Complete(key string, passed bool, result []byte, done func(Outcome)) {
	e := h.keys[key]
	if e == nil || e.State != execution.StateRunning && e.State != execution.StateUnrecorded && e.State != execution.StateRecorded && e.State != execution.StateRecording {
		h.logf("holdings: a run of %q ends that had no leave", key)
		done(Outcome{Action: execution.ActionReportUnrecorded})
		return
	}
	e.passed, e.result, e.done = passed, string(result), done
	if e.State == execution.StateUnrecorded {
		h.move(e, execution.EventRetryDue, consensus.Value{})
	} else if passed {
		h.move(e, execution.EventRunSucceeded, consensus.Value{})
	} else {
		h.move(e, execution.EventRunFailed, consensus.Value{})
	}
}

// Lookup asks what is agreed on a key, without a wish to run it. done is called once, on the loop: with Start where nothing stands in
// a run's way, Serve, SayFailed, or SayUnknown.
func (h *Replica) Lookup(a Attempt, done func(Outcome)) {
	h.last++
	h.move(&entry{name: a.Key, number: h.last, looks: true, wait: lookEvery, at: a.ArrivedAtMilli, window: a.RetentionMilli, due: a.Deadline, done: done, Lifecycle: execution.Lifecycle{State: execution.StateHeldByOther}}, execution.EventRetryDue, consensus.Value{})
}

// HasRecord says whether this server holds something of the key that is within its retention when the attempt arrives.
func (h *Replica) HasRecord(a Attempt) bool {
	v := h.node.Register(a.Key).Value
	return v.Kind != consensus.KindNone && a.ArrivedAtMilli < v.AttemptedAt+a.RetentionMilli
}

// move takes an intake a step on.
func (h *Replica) move(e *entry, ev execution.Event, v consensus.Value) {
	was := e.State
	if v.Kind == consensus.KindLeased {
		e.theirs = v.AttemptedAt
	}
	if e.looks && was == execution.StatePolling && ev == execution.EventVacant {
		delete(h.active, e)
		h.say(e, execution.ActionStart, v)
		return
	}
	does := e.Step(ev)
	switch e.State {
	case execution.StateHeldByOther, execution.StateAcquiring, execution.StatePolling, execution.StateUnrecorded:
		h.active[e] = struct{}{}
	default:
		delete(h.active, e)
	}
	if e.State == execution.StateIdle && !e.Started && h.keys[e.name] == e {
		delete(h.keys, e.name) // nothing of it is known here that the register does not know
	}
	for _, d := range does {
		switch d {
		case execution.ActionAcquireLease:
			h.count.LeasesRequested++
			h.begin(e, consensus.Change{Kind: consensus.AcquireLease, AttemptedAt: e.at, Retention: e.window, NeverStarted: !e.Started})
		case execution.ActionPoll:
			h.begin(e, consensus.Change{Kind: consensus.ReadValue, AttemptedAt: e.at, Retention: e.window})
		case execution.ActionRetryLater:
			e.again = h.loop.Now() + e.wait
			e.wait = min(2*e.wait, lookMost)
		case execution.ActionRecord:
			h.begin(e, consensus.Change{Kind: consensus.RecordResult, Attempt: e.try, AttemptedAt: e.at, Retention: e.window, Succeeded: e.passed, Result: e.result})
		case execution.ActionReleaseLease:
			h.begin(e, consensus.Change{Kind: consensus.ReleaseLease, Attempt: e.try, AttemptedAt: e.at, Retention: e.window})
		default:
			switch {
			case d == execution.ActionStart:
				h.count.LeasesGranted++
			case d == execution.ActionServe && was == execution.StateRecording:
				h.count.ResultsReplicated++
			case d == execution.ActionServe:
				h.count.ResultsFound++
			}
			h.say(e, d, v)
		}
	}
}

func (h *Replica) say(e *entry, d execution.Action, v consensus.Value) {
	o := Outcome{Action: d, Value: v}
	switch d {
	case execution.ActionReportIndeterminate:
		if h.count.OutcomesUnknown++; e.theirs != 0 {
			o.RetryAtMilli = e.theirs + e.window
		}
	case execution.ActionReportUnrecorded:
		h.count.ResultsAtRisk++
	case execution.ActionReject:
		h.count.RejectedUnreplicated++
	}
	if done := e.done; done != nil {
		e.done = nil
		done(o)
	}
}

// begin starts a change for an intake. One that can't be started has come to nothing.
func (h *Replica) begin(e *entry, c consensus.Change) {
	now := h.loop.Now()
	id, err := h.node.Propose(now, e.name, c)
	if err != nil {
		h.move(e, execution.EventUnavailable, consensus.Value{})
		return
	}
	if e.op = id; c.Kind == consensus.AcquireLease {
		e.try = id
	}
	h.ops[id] = e
	h.flush(now)
}

// Counters returns the figures as they are now.
func (h *Replica) Counters() Counters {
	c := h.count
	c.KeysToRepair, c.KeysRepaired = h.node.RepairProgress()
	c.KeysPendingTransfer = h.node.PendingTransfers()
	c.DiskSyncs, c.DiskBytes = h.disk.log.Written()
	c.KeysHeld, c.ProposalsInFlight = h.node.KeyCount(), h.node.InFlight()
	for _, p := range h.node.Membership().Members() {
		if p.ID != h.cfg.ID && !h.peers.Connected(p.ID) {
			c.MembersUnreachable++
		}
	}
	return c
}
