package edge

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"pewterline/internal/micro"
	"pewterline/internal/planted"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/routing"
	"pewterline/internal/transport"
	"pewterline/internal/wire"
)

// noticesKept are the notices that the worker pool can tell again.
const noticesKept = 4000

// poolLink is the runner that hands the work to the worker pool. Runs outlive the link: after a new one is
// bound, the notices that were missed come first, and only then is sent again what may have been lost.
type poolLink struct {
	s       *Server
	conn    transport.Link // nil while there is no link
	next    transport.Link // to take its place once the pool has bound it; nil: none
	drop    func()         // gives up the link that is being dialled; nil while none is
	synced  bool           // the missed notices of this link have been read
	links   int            // opened so far; names the poll that marks their end
	acked   map[int]int    // by link: the run up to which what was sent on it is known to have arrived
	polled  []int          // for each poll without an answer on this link: the last run sent before it
	doubts  []*poolRun     // runs that nobody knows of, by when they are given up
	notice  uint64
	begun   bool   // a notice that is new has been read on this link
	gap     uint64 // the number of the notice that came out of order last; 0: none has
	remarks uint64 // read on this link since the last notice, each under the next number
	runs    map[string]*poolRun
	order   int
	out     []byte
}

// poolRun is a run that has not ended.
type poolRun struct {
	routing.Run
	order   int  // of its start, until it is sent; then of that
	link    int  // the link it was last sent on; 0: never
	arrived bool // it is known that the pool has read it
	doubted bool
	stopped bool // its answer is no longer wanted
}

func newPoolLink(s *Server) *poolLink {
	return &poolLink{s: s, runs: map[string]*poolRun{}, acked: map[int]int{}}
}

// dial opens a new link, in place of any that is still being dialled. The link in use, if there is one, serves on
// until the new one is bound: guards the runs against an address at which somebody listens and says nothing.
func (p *poolLink) dial() {
	if p.drop != nil {
		p.drop()
	}
	p.drop = p.s.loop.Dial(p.s.cfg.Pool, p.opened)
}

func (p *poolLink) opened(c transport.Link) transport.Session {
	p.drop = nil
	if p.next != nil {
		p.next.Close() // a newer configuration has replaced it
	}
	if p.next = c; p.conn == nil {
		p.use()
	}
	seen := p.notice
	if planted.Bug(planted.NoticesPast) && seen > 0 {
		seen++
	}
	p.out = pool.AppendBind(p.out[:0], seen)
	c.Write(p.out)
	return &poolSession{p, c}
}

// use puts the next link in the place of the one in use. What was told on that one since the bind comes again.
func (p *poolLink) use() {
	old := p.conn
	p.conn, p.next, p.synced, p.polled, p.begun, p.remarks = p.next, nil, false, nil, false, 0
	p.links++
	if old != nil {
		old.Close()
	}
}

// poolSession is one link. Only the one in use is heard: guards against a link to an old address, whose notices
// come again on the new one, and whose close must not have the new address dialled twice. The next one is heard to be bound.
type poolSession struct {
	*poolLink
	link transport.Link
}

func (p *poolLink) syncTag() string { return "sync" + strconv.Itoa(p.links) }

func (p *poolLink) write(b []byte) {
	p.out = b[:0]
	p.conn.Write(b)
}

// Start is part of routing.Runner.
func (p *poolLink) Start(r routing.Run) {
	p.order++
	run := &poolRun{Run: r, order: p.order}
	p.runs[r.ID] = run
	if p.synced {
		p.send(run)
	}
}

func (p *poolLink) send(r *poolRun) {
	p.order++ // its place in the order of sending, by which acked tells what has arrived
	r.order, r.link = p.order, p.links
	p.write(pool.AppendSpawn(p.out[:0], r.ID, r.Class, r.Body))
	if r.stopped {
		p.write(pool.AppendSuspend(p.out[:0], r.ID))
	}
}

// Stop is part of routing.Runner.
func (p *poolLink) Stop(id string) {
	r := p.runs[id]
	switch {
	case r == nil || r.stopped:
	case r.link == 0:
		delete(p.runs, id)
		p.s.core.Finished(id, routing.Stopped, nil) // it was never sent
	default:
		r.stopped = true
		if p.synced {
			p.write(pool.AppendSuspend(p.out[:0], id))
		}
	}
}

// Poll is part of routing.Runner.
func (p *poolLink) Poll() {
	if p.synced {
		p.polled = append(p.polled, p.order)
		p.write(pool.AppendPoll(p.out[:0], "g"))
	}
}

// Receive is part of transport.Session.
func (p *poolSession) Receive(in []byte) (int, error) {
	n := 0
	for {
		if p.conn != p.link && p.next != p.link {
			return len(in), nil
		}
		m, size, err := pool.Parse(in[n:])
		if err != nil || size == 0 {
			return n, err
		}
		n += size
		if p.next == p.link {
			if m.Kind != pool.Bound {
				continue
			}
			p.use()
		}
		if err := p.take(m); err != nil {
			return n, err
		}
	}
}

// Idle is part of transport.Session. The link is never closed to make room.
func (p *poolSession) Idle() bool { return false }

// Closed is part of transport.Session.
func (p *poolSession) Closed() {
	switch p.link {
	case p.next:
		p.next = nil
	case p.conn:
		p.conn, p.synced = nil, false
		p.s.logf("pool: link lost, %d runs under way", len(p.runs))
		if p.next != nil {
			p.use()
			return
		}
	default:
		return
	}
	if p.drop == nil {
		p.dial()
	}
}

var poolEnds = map[pool.End]routing.End{
	pool.Pass: routing.Passed, pool.Fail: routing.Errored, pool.Killed: routing.Stopped, pool.Noop: routing.Unneeded,
}

// keep copies a result out of the link's buffer.
func (p *poolLink) keep(result []byte) []byte {
	if planted.Bug(planted.WrongTry) {
		return result
	}
	return append([]byte(nil), result...)
}

// take obeys a message. An error says that the link's stream can no longer be trusted: the next link is bound with the
// last notice that came in order, so that all after it come again.
func (p *poolLink) take(m pool.Message) error {
	switch m.Kind {
	case pool.Bound:
		p.s.core.Begin(p.s.loop.Now(), micro.Time(m.MS*1000), !m.Loaded)
		// Only now: a pool that is not up yet does not carry out what follows bind, and this poll marks the end
		// of the missed notices.
		p.write(pool.AppendPoll(p.out[:0], p.syncTag()))
		if planted.Bug(planted.SentBefore) {
			p.resync()
		}
	case pool.Finished:
		if m.Notice <= p.notice {
			return nil // read already on the link before
		}
		if err := p.inOrder(m.Notice); err != nil {
			return err
		}
		p.notice = m.Notice
		// Guards against a result for what the pool was never given: no run made it.
		if r := p.runs[m.ID]; r != nil && r.link > 0 {
			p.acked[r.link] = max(p.acked[r.link], r.order) // commands are read in the order they were sent
			delete(p.runs, m.ID)
			p.s.core.Finished(m.ID, poolEnds[m.End], p.keep(m.Result))
		}
	case pool.Chatter:
		if m.Notice == p.notice+p.remarks+1 {
			p.remarks++
		}
	case pool.Polled:
		if m.Tag == "g" && len(p.polled) > 0 {
			p.acked[p.links], p.polled = max(p.acked[p.links], p.polled[0]), p.polled[1:]
		}
		if m.Tag == p.syncTag() && !p.synced {
			p.resync()
		}
		p.s.core.SetGauges(wire.ReadGauges(p.s.cfg.Gauges, m.Gauges))
	case pool.Unknown:
		p.s.logf("pool: %s %s was not carried out", m.Command, m.ID)
		if m.Command == "poll" && m.ID == p.syncTag() && !p.synced {
			p.resync() // a pool that has no gauges to tell marks the end of the missed notices as well
		}
		if r := p.runs[m.ID]; r != nil && m.Command == "spawn" {
			delete(p.runs, m.ID)
			p.s.core.Finished(m.ID, routing.Rejected, nil)
		}
	}
	return nil
}

// inOrder checks the number of a notice that is new. Guards the runs against a number that is spoilt or missing: taken
// as it came, one too high would have all that follow pass for read, and none of their runs would ever end. Remarks
// without a meaning may take numbers of their own. The pool keeps a bounded number of notices, so that some may be
// lost for good: where the next link begins with a gap as well, about where the last one was found, those between are.
func (p *poolLink) inOrder(n uint64) error {
	first, most := !p.begun, p.notice+p.remarks+1
	p.begun, p.remarks = true, 0
	switch {
	case n <= most:
	case first && p.gap > 0 && n >= p.gap && n-p.gap < noticesKept:
		p.s.logf("pool: notices %d to %d are lost", most, n-1)
	default:
		p.gap = n
		return fmt.Errorf("pool: notice %d came after %d", n, most-1)
	}
	p.gap = 0
	return nil
}

// resync sends what has no notice yet, oldest first. Guards against both faults of a broken link: a command
// lost with it, and one sent again for a run whose notice was on its way. What is known to have arrived is not sent
// again. Nor is a run that must not be run twice, once it was sent at all: between the end of the missed notices and
// our command the run may end, and the pool would run it anew. Its notice comes if it arrived; if none comes while
// anybody could want it, the run's outcome is not known, and it has failed.
func (p *poolLink) resync() {
	p.synced = true
	byOrder := func(a, b *poolRun) int { return cmp.Compare(a.order, b.order) }
	for _, r := range slices.SortedFunc(maps.Values(p.runs), byOrder) {
		r.arrived = r.arrived || r.link > 0 && r.order <= p.acked[r.link]
		switch {
		case r.link == 0 || !r.arrived && !r.Once || planted.Bug(planted.SentBefore):
			p.send(r)
		case !r.arrived && !r.doubted:
			r.doubted = true
			p.doubts = append(p.doubts, r)
			fallthrough
		default:
			if r.stopped {
				p.write(pool.AppendSuspend(p.out[:0], r.ID))
			}
		}
	}
	for link := range p.acked { // those before have told all they can
		if link != p.links {
			delete(p.acked, link)
		}
	}
}

// check gives up runs that nobody knows of; it returns when to look again.
func (p *poolLink) check(now micro.Time) micro.Time {
	next, left := micro.Never, p.doubts[:0]
	for _, r := range p.doubts {
		switch {
		case p.runs[r.ID] != r: // its notice has come
		case r.Due <= now:
			p.s.logf("pool: %s: whether it ran is not known", r.ID)
			delete(p.runs, r.ID)
			p.s.core.Finished(r.ID, routing.Errored, nil)
			next = now
		default:
			next = min(next, r.Due)
			left = append(left, r)
		}
	}
	clear(p.doubts[len(left):])
	p.doubts = left
	return next
}
