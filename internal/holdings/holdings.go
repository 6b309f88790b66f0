// Package holdings is a log server's part in a group that holds copies of intakes for each other: it drives the decisions of
// packages copies and ledger with the program's loop, its disk and the links to the other servers. It knows once-keys as strings and
// no class, tenant or wire.
package holdings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/decide/copies"
	"pewterline/internal/decide/ledger"
	"pewterline/internal/micro"
	"pewterline/internal/peers"
	"pewterline/internal/protocol/copylink"
	"pewterline/internal/transport"
)

// Config is how a server takes its part; package config checks it.
type Config struct {
	ID     uint32 // of this server; 0: off
	Listen string
	Folder string
	Copies int // of a group that is founded here
	Decide copies.Config
	Peers  []copies.Peer // of the group to be, or where members of it are reached from here
}

const (
	lookEvery   = 50 * micro.Millisecond // at a run of another server, at first
	lookMost    = 400 * micro.Millisecond
	reopenEvery = 2 * micro.Second // a disk that failed
	forgetEvery = micro.Second
	// Room for wall clocks that are apart, and for messages on their way, before what is past its window is forgotten.
	forgetSlack = 60_000
	// Callers' times may be that far ahead, and clocks apart.
	lostSlack = 15_000
)

// Outcome is what became of what was asked for.
type Outcome struct {
	Do    ledger.Do // Start, Serve, SayFailed, SayUnknown, SayUncopied, SayUnneeded or Refuse
	Value copies.Value
	Until int64 // SayUnknown: Unix milliseconds by which a repeat may run; 0: that is not known either
}

// Loop is what the holdings need of the event loop.
type Loop interface {
	peers.Loop
	Execute(func()) error
}

// Counters tell what is at risk, since the process started, but for the gauges in the present tense.
type Counters struct {
	Asked       int    `json:"leaves_asked"`
	Granted     int    `json:"leaves_granted"`
	Found       int    `json:"results_found"`   // that other servers' runs, or earlier ones, had made
	Copied      int    `json:"results_copied"`  // to a majority
	Uncopied    int    `json:"results_at_risk"` // ran, and no majority took the result in time
	Unknown     int    `json:"outcomes_unknown"`
	Refused     int    `json:"refused_uncopied"` // before they ran: no majority in time
	DiskFailed  int    `json:"disk_failures"`
	Syncs       int64  `json:"disk_syncs"` // since the log was opened
	Bytes       int64  `json:"disk_bytes"`
	Repaired    uint64 `json:"keys_repaired"`
	Repairing   int    `json:"keys_to_repair"`
	Owed        int    `json:"keys_owed"` // of those to repair: a change of members waits for them
	Held        int    `json:"keys_held"`
	Under       int    `json:"changes_under_way"`
	Unreachable int    `json:"members_unreachable"`
}

// Holdings are what one server holds, and its way to what others do.
type Holdings struct {
	cfg    Config
	logf   func(string, ...any)
	wall   func(micro.Time) int64
	window int64 // milliseconds, the longest that any key has
	loop   Loop
	peers  *peers.Peers
	node   *copies.Node
	disk   *disk
	broken bool // the disk has failed: this server does not vote
	reopen micro.Time
	forget micro.Time
	keys   map[string]*entry
	active map[*entry]struct{} // somebody waits for an answer of theirs
	last   uint64              // number of an entry
	ops    map[uint64]*entry   // changes under way
	count  Counters
	busy   bool // within flush
}

// entry is an intake on this server.
type entry struct {
	ledger.Key
	name    string
	number  uint64
	looks   bool  // it is only looked at, and has no place among the keys
	at      int64 // of the try that is to run, or ran
	window  int64
	try     uint64 // of the leave
	due     micro.Time
	again   micro.Time // Elsewhere: the next look; Uncopied: the next copy
	wait    micro.Time // until the one after that
	op      uint64
	theirs  int64 // when the try came that has the leave elsewhere; 0: not known
	passed  bool
	result  string
	done    func(Outcome)
	touched int64
}

// Open reads what this server holds. wall converts the loop's time to Unix milliseconds; window is the longest of any key.
func Open(cfg Config, wall func(micro.Time) int64, window micro.Time, logf func(string, ...any)) (*Holdings, error) {
	h := &Holdings{cfg: cfg, logf: logf, wall: wall, window: int64(window / micro.Millisecond), keys: map[string]*entry{}, active: map[*entry]struct{}{}, ops: map[uint64]*entry{}}
	var err error
	if h.disk, err = openDisk(cfg.Folder); err != nil {
		return nil, err
	}
	process, err := random()
	if err != nil {
		return nil, err
	}
	self := copies.Member{ID: cfg.ID, Life: h.disk.life}
	if h.node, err = copies.NewNode(self, process, cfg.Decide, h.disk.group, clone(h.disk.slots), process, xxhash.Sum64String); err != nil {
		return nil, errors.Join(fmt.Errorf("holdings: %w", err), h.disk.log.Close())
	}
	logf("holdings: server %d, life %x, process %x, group %v, %d keys held", cfg.ID, self.Life, process, h.disk.group, h.node.Held())
	return h, nil
}

func clone(in map[string]copies.Slot) map[string]copies.Slot {
	out := make(map[string]copies.Slot, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}

// Attach opens the links to the others. It is called on the loop.
func (h *Holdings) Attach(l Loop) {
	h.loop = l
	h.peers = peers.New(l, h, h.logf)
	h.link()
}

// Close ends the log on disk. It comes after the loop's end.
func (h *Holdings) Close() error { return h.disk.log.Close() }

// Accept is the session of another server's connection.
func (h *Holdings) Accept(c transport.Link) transport.Session { return h.peers.Accept(c) }

// link has links to all that are of the group or in the file. The file says where they are reached from here.
func (h *Holdings) link() {
	addrs := map[uint32]string{}
	for _, set := range [][]copies.Peer{h.node.Group().All(), h.cfg.Peers} {
		for _, p := range set {
			if p.ID != h.cfg.ID {
				addrs[p.ID] = p.Addr
			}
		}
	}
	h.peers.Set(addrs)
}

// Hello is part of peers.Host.
func (h *Holdings) Hello() copylink.Hello {
	return copylink.Hello{ID: h.cfg.ID, Life: h.node.Self.Life, Process: h.node.Process.Life, Group: h.node.Group().Name}
}

// Group is part of peers.Host.
func (h *Holdings) Group() copies.Group { return h.node.Group() }

// Linked is part of peers.Host.
func (h *Holdings) Linked(id uint32, up bool) {
	h.logf("holdings: server %d can be reached: %v", id, up)
	h.node.Linked(id, up)
}

// Take is part of peers.Host.
func (h *Holdings) Take(from copylink.Hello, m copylink.Message) {
	now := h.loop.Now()
	if m.Group != nil {
		if err := h.node.Adopt(now, *m.Group); err != nil {
			h.logf("holdings: server %d tells of a group: %v", from.ID, err)
		}
	}
	for _, k := range m.Marks {
		h.node.Mark(k)
	}
	if !h.broken { // what can't be made durable is no vote
		for _, r := range m.Requests {
			h.node.Asked(copies.Member{ID: from.ID, Life: from.Process}, r)
		}
	}
	for _, r := range m.Replies {
		h.node.Heard(now, r)
	}
}

// Turn does what is due, and what has come up in this turn. It returns when it is due again.
func (h *Holdings) Turn(now micro.Time) micro.Time {
	if h.broken && now >= h.reopen {
		h.mend(now)
	}
	if now >= h.forget {
		h.forget = now + forgetEvery
		h.sweep(now)
	}
	next := h.forget
	for _, e := range h.due(now) {
		if now >= e.due && e.State != ledger.Uncopied {
			h.move(e, ledger.Due, copies.Value{})
		} else {
			h.move(e, ledger.Again, copies.Value{})
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
	return min(next, h.peers.Turn(now))
}

// next is when something is due for an entry that is under way.
func (e *entry) next() micro.Time {
	switch e.State {
	case ledger.Elsewhere:
		return min(e.again, e.due)
	case ledger.Uncopied: // nobody may be waiting: it is a promise to those who come
		return e.again
	}
	return e.due
}

// due are the entries that something is due for, in an order that depends on nothing else.
func (h *Holdings) due(now micro.Time) (out []*entry) {
	for e := range h.active {
		if now >= e.next() {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.number, b.number) })
	return out
}

// flush carries out what the node is ready for, until there is nothing left.
func (h *Holdings) flush(now micro.Time) {
	if h.busy {
		return // a result has led to another change; the loop below goes on with it
	}
	h.busy = true
	defer func() { h.busy = false }()
	for range 64 { // a bound on a turn; what is left comes with the next
		r := h.node.Ready()
		if r.Group == nil && len(r.Save)+len(r.Requests)+len(r.Replies)+len(r.Tell)+len(r.Marks)+len(r.Results) == 0 {
			return
		}
		if r.Group != nil {
			h.logf("holdings: group %v", r.Group)
			h.link()
		}
		h.save(now, r)
		for _, q := range r.Results {
			e := h.ops[q.ID]
			if delete(h.ops, q.ID); e != nil && e.op == q.ID {
				e.op = 0
				h.move(e, ledger.Of(q.Verdict, q.Known), q.Value)
			}
		}
	}
}

// save makes durable what has to be, before what was made ready with it goes out. Requests alone may go at once: a vote of this
// server's is a reply.
func (h *Holdings) save(now micro.Time, r copies.Ready) {
	send := func() {
		for _, a := range r.Replies {
			if a.To == h.node.Process {
				h.node.Heard(h.loop.Now(), a.Reply)
			} else {
				h.peers.Answer(a.To, a.Reply)
			}
		}
		for _, id := range r.Tell {
			h.peers.Tell(id)
		}
		for _, k := range r.Marks {
			h.peers.Mark(k)
		}
	}
	ask := func() {
		for _, q := range r.Requests {
			if q.To.ID != h.cfg.ID {
				h.peers.Ask(q)
			} else if !h.broken {
				h.node.Asked(h.node.Process, q)
			}
		}
	}
	if r.Group == nil {
		ask()
	}
	if r.Group == nil && len(r.Save) == 0 {
		send()
		return
	}
	if h.broken {
		return
	}
	var parts []copylink.Record
	part, size := copylink.Record{Group: r.Group}, 0
	for _, s := range r.Save {
		if part.Slots = append(part.Slots, s); size > recordBytes {
			parts, part, size = append(parts, part), copylink.Record{}, 0
		}
		size += 100 + len(s.Key) + len(s.Slot.Value.Result)
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
				if r.Group != nil {
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
func (h *Holdings) failed(d *disk, err error) {
	if d != h.disk || h.broken {
		return
	}
	h.logf("holdings: the disk has failed: %v; this server does not vote until its log is opened anew", err)
	h.broken, h.reopen = true, h.loop.Now()+reopenEvery
	h.count.DiskFailed++
}

// mend opens the log anew, and goes by what is in it.
func (h *Holdings) mend(now micro.Time) {
	h.reopen = now + reopenEvery
	_ = h.disk.log.Close() // it has failed
	d, err := openDisk(h.cfg.Folder)
	if err != nil {
		h.logf("holdings: %v", err)
		return
	}
	if d.life != h.node.Self.Life {
		h.logf("holdings: %s holds another life; this server does not vote until it is started anew", h.cfg.Folder)
		_ = d.log.Close()
		return
	}
	h.disk, h.broken = d, false
	h.node.Restore(clone(d.slots))
	h.logf("holdings: the log is opened anew, with %d keys", h.node.Held())
}

// sweep forgets what is past its window, here and on disk.
func (h *Holdings) sweep(now micro.Time) {
	before := h.wall(now) - h.window - forgetSlack
	for name, e := range h.keys {
		if e.touched < before && (e.State == ledger.Idle || e.State == ledger.Uncopied || e.State == ledger.Copied) {
			delete(h.keys, name)
			delete(h.active, e)
		}
	}
	if !h.broken {
		d := h.disk
		failed := func(err error) { h.failed(d, err) }
		if h.node.Forget(before) > 0 {
			d.write(copylink.Record{Forget: max(before, 1)}, h.loop.Execute, func() {}, failed)
		}
		d.tidy(h.loop.Execute, failed)
	}
}

// Leave asks whether a try of a key, which came at a time, may run; the window is in milliseconds. done is called once, on the
// loop, by due or soon after.
func (h *Holdings) Leave(key string, at, window int64, due micro.Time, done func(Outcome)) {
	e := h.keys[key]
	if e == nil {
		h.last++
		e = &entry{name: key, number: h.last, wait: lookEvery}
		h.keys[key] = e
	}
	e.at, e.window, e.due, e.done, e.touched = at, window, due, done, max(at, e.touched)
	if e.State != ledger.Idle && e.State != ledger.Voiding && e.State != ledger.Copied { // the core has one run of a key at a time
		h.logf("holdings: %q is asked for while it is in state %d", key, e.State)
		h.say(e, ledger.SayUnknown, copies.Value{})
		return
	}
	h.move(e, ledger.Try, copies.Value{})
}

// Taken says whether a leave that was given leads to a run. One that does not is taken back.
func (h *Holdings) Taken(key string, begun bool) {
	if e := h.keys[key]; e != nil && !begun {
		h.move(e, ledger.Unbegun, copies.Value{})
	}
}

// End puts the end of a run on record. done is called once, on the loop: with Serve, SayFailed or SayUncopied.
func (h *Holdings) End(key string, passed bool, result []byte, done func(Outcome)) {
	e := h.keys[key]
	if e == nil || e.State != ledger.Running && e.State != ledger.Uncopied && e.State != ledger.Copied && e.State != ledger.Copying {
		h.logf("holdings: a run of %q ends that had no leave", key)
		done(Outcome{Do: ledger.SayUncopied})
		return
	}
	e.passed, e.result, e.done = passed, string(result), done
	if e.State == ledger.Uncopied {
		h.move(e, ledger.Again, copies.Value{})
	} else if passed {
		h.move(e, ledger.Passed, copies.Value{})
	} else {
		h.move(e, ledger.Failed, copies.Value{})
	}
}

// Look asks what is agreed on a key, without a wish to run it. done is called once, on the loop: with Start where nothing stands in
// a run's way, Serve, SayFailed, or SayUnknown.
func (h *Holdings) Look(key string, at, window int64, due micro.Time, done func(Outcome)) {
	h.last++
	h.move(&entry{name: key, number: h.last, looks: true, wait: lookEvery, at: at, window: window, due: due, done: done, Key: ledger.Key{State: ledger.Elsewhere}}, ledger.Again, copies.Value{})
}

// Holds says that this server holds something of a key that a try of that time has to hear of.
func (h *Holdings) Holds(key string, at, window int64) bool {
	v := h.node.Slot(key).Value
	return v.Kind != copies.None && at < v.At+window
}

// move takes an intake a step on.
func (h *Holdings) move(e *entry, ev ledger.Event, v copies.Value) {
	was := e.State
	if v.Kind == copies.Intent {
		e.theirs = v.At
	}
	if e.looks && was == ledger.Looking && ev == ledger.Nothing {
		delete(h.active, e)
		h.say(e, ledger.Start, v)
		return
	}
	does := e.Step(ev)
	switch e.State {
	case ledger.Elsewhere, ledger.Asking, ledger.Looking, ledger.Uncopied:
		h.active[e] = struct{}{}
	default:
		delete(h.active, e)
	}
	if e.State == ledger.Idle && !e.Begun && h.keys[e.name] == e {
		delete(h.keys, e.name) // nothing of it is known here that the register does not know
	}
	for _, d := range does {
		switch d {
		case ledger.Ask:
			h.count.Asked++
			h.begin(e, copies.Change{Act: copies.Leave, At: e.at, Window: e.window, Fresh: !e.Begun})
		case ledger.Look:
			h.begin(e, copies.Change{Act: copies.Look, At: e.at, Window: e.window})
		case ledger.Later:
			e.again = h.loop.Now() + e.wait
			e.wait = min(2*e.wait, lookMost)
		case ledger.Copy:
			h.begin(e, copies.Change{Act: copies.End, Try: e.try, At: e.at, Window: e.window, Passed: e.passed, Result: e.result})
		case ledger.TakeBack:
			h.begin(e, copies.Change{Act: copies.Void, Try: e.try, At: e.at, Window: e.window})
		default:
			switch {
			case d == ledger.Start:
				h.count.Granted++
			case d == ledger.Serve && was == ledger.Copying:
				h.count.Copied++
			case d == ledger.Serve:
				h.count.Found++
			}
			h.say(e, d, v)
		}
	}
}

func (h *Holdings) say(e *entry, d ledger.Do, v copies.Value) {
	o := Outcome{Do: d, Value: v}
	switch d {
	case ledger.SayUnknown:
		if h.count.Unknown++; e.theirs != 0 {
			o.Until = e.theirs + e.window
		}
	case ledger.SayUncopied:
		h.count.Uncopied++
	case ledger.Refuse:
		h.count.Refused++
	}
	if done := e.done; done != nil {
		e.done = nil
		done(o)
	}
}

// begin starts a change for an intake. One that can't be started has come to nothing.
func (h *Holdings) begin(e *entry, c copies.Change) {
	now := h.loop.Now()
	id, err := h.node.Begin(now, e.name, c)
	if err != nil {
		h.move(e, ledger.NoAnswer, copies.Value{})
		return
	}
	if e.op = id; c.Act == copies.Leave {
		e.try = id
	}
	h.ops[id] = e
	h.flush(now)
}

// Count returns the figures as they are now.
func (h *Holdings) Count() Counters {
	c := h.count
	c.Repairing, c.Repaired = h.node.Repairing()
	c.Owed = h.node.Owed()
	c.Syncs, c.Bytes = h.disk.log.Written()
	c.Held, c.Under = h.node.Held(), h.node.Under()
	for _, p := range h.node.Group().All() {
		if p.ID != h.cfg.ID && !h.peers.Up(p.ID) {
			c.Unreachable++
		}
	}
	return c
}
