package workerpool

import (
	"fmt"
	"strconv"

	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/transport"
)

// link is the session of one link. Only the one in use is heard: guards against a link to an old address, whose notices come
// again on the new one, and whose close must not have the new address dialled twice. The next one is heard to be bound.
type link struct {
	*Backend
	conn transport.Conn
}

// dial opens a new link, in place of any that is still being dialled. The link in use, if there is one, serves on until the
// new one is bound: guards the runs against an address at which somebody listens and says nothing.
func (p *Backend) dial() {
	if p.drop != nil {
		p.drop()
	}
	p.drop = p.loop.Dial(p.config.Address, p.opened)
}

func (p *Backend) opened(c transport.Conn) transport.Session {
	p.drop = nil
	if p.next != nil {
		p.next.Close() // a newer configuration has replaced it
	}
	if p.next = c; p.conn == nil {
		p.use()
	}
	p.out = pool.AppendBind(p.out[:0], p.notice)
	c.Write(p.out)
	return &link{p, c}
}

// use puts the next link in the place of the one in use. What was told on that one since the bind comes again.
func (p *Backend) use() {
	old := p.conn
	p.conn, p.next, p.synced, p.polled, p.begun, p.remarks = p.next, nil, false, nil, false, 0
	p.links++
	p.checks.forget()
	if old != nil {
		old.Close()
	}
}

func (p *Backend) syncTag() string { return "sync" + strconv.Itoa(p.links) }

// Receive is part of transport.Session.
func (l *link) Receive(in []byte) (int, error) {
	n := 0
	for {
		if l.Backend.conn != l.conn && l.next != l.conn {
			return len(in), nil
		}
		m, size, err := pool.ParseMessage(in[n:])
		if err != nil || size == 0 {
			return n, err
		}
		n += size
		if l.next == l.conn {
			if m.Kind != pool.Bound {
				continue
			}
			l.use()
		}
		if err := l.take(m); err != nil {
			return n, err
		}
	}
}

// Idle is part of transport.Session. The link is never closed to make room.
func (l *link) Idle() bool { return false }

// Closed is part of transport.Session.
func (l *link) Closed() {
	p := l.Backend
	switch l.conn {
	case p.next:
		p.next = nil
	case p.conn:
		p.conn, p.synced = nil, false
		p.checks.forget()
		p.logf("pool: link lost, %d runs under way", len(p.runs))
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

var ends = map[pool.Outcome]dispatch.RunOutcome{
	pool.Pass: dispatch.RunSucceeded, pool.Fail: dispatch.RunFailed, pool.Killed: dispatch.RunCancelled, pool.Noop: dispatch.RunNotStarted,
}

// take obeys a message. An error says that the link's stream can no longer be trusted: the next link is bound with the last
// notice that came in order, so that all after it come again.
func (p *Backend) take(m pool.Message) error {
	switch m.Kind {
	case pool.Bound:
		p.core.Start(p.loop.Now(), microtime.Time(m.Milliseconds*1000), !m.Loaded)
		// Only now: a pool that is not up yet does not carry out what follows bind, and this poll marks the end of the
		// missed notices.
		p.write(pool.AppendPoll(p.out[:0], p.syncTag()))
	case pool.Finished, pool.Blocked:
		return p.takeNotice(m)
	case pool.Chatter:
		if m.Notice == p.notice+p.remarks+1 {
			p.remarks++
		}
	case pool.Polled:
		p.takeGauges(m)
	case pool.Verified:
		p.checks.answered(p.loop.Now(), m.Tag, m.Outcome == pool.Pass)
	case pool.Unknown:
		p.takeUnknown(m)
	}
	return nil
}

// takeNotice takes up what a run has come to, unless it was read already on the link before.
func (p *Backend) takeNotice(m pool.Message) error {
	if m.Notice <= p.notice {
		return nil
	}
	if err := p.inOrder(m.Notice); err != nil {
		return err
	}
	p.notice = m.Notice
	// Guards against a result for what the pool was never given: no run made it.
	r := p.runs[m.ID]
	if r == nil || r.link == 0 {
		return nil
	}
	p.arrived(r)
	if m.Kind == pool.Blocked {
		p.core.RunBlocked(m.ID, append([]byte(nil), m.Call...))
		return nil
	}
	if r.restart && m.Outcome == pool.Killed {
		p.startAnew(r)
		return nil
	}
	if m.Outcome == pool.Pass {
		p.checks.lastPass = p.loop.Now()
	}
	delete(p.runs, m.ID)
	p.core.RunFinished(m.ID, ends[m.Outcome], p.keep(m.Result))
	return nil
}

// arrived notes that the pool has read all that was sent for a run: it has told something new of it. Commands are read in the
// order in which they were sent.
func (p *Backend) arrived(r *run) {
	p.acked[r.link] = max(p.acked[r.link], r.order)
	if r.reply != nil && r.reply.link > 0 {
		p.acked[r.reply.link] = max(p.acked[r.reply.link], r.reply.order)
		r.reply = nil
	}
}

// keep copies a result out of the link's buffer.
func (p *Backend) keep(result []byte) []byte {
	return append([]byte(nil), result...)
}

// takeUnknown takes up that a command was not carried out.
func (p *Backend) takeUnknown(m pool.Message) {
	p.logf("pool: %s %s was not carried out", m.Command, m.ID)
	r := p.runs[m.ID]
	switch {
	case m.Command == "poll" && m.ID == p.syncTag() && !p.synced:
		p.resync() // a pool that has no gauges to tell marks the end of the missed notices as well
	case m.Command == "verify":
		p.checks.declined(p.loop.Now(), m.ID)
	case m.Command == "spawn" && r != nil:
		delete(p.runs, m.ID)
		p.core.RunFinished(m.ID, dispatch.RunUnsupported, nil)
	}
}

// inOrder checks the number of a notice that is new. Guards the runs against a number that is spoilt or missing: taken as it
// came, one too high would have all that follow pass for read, and none of their runs would ever end. Remarks without a meaning
// may take numbers of their own. The pool keeps a bounded number of notices, so that some may be lost for good: where the next
// link begins with a gap as well, about where the last one was found, those between are.
func (p *Backend) inOrder(n uint64) error {
	first, most := !p.begun, p.notice+p.remarks+1
	p.begun, p.remarks = true, 0
	switch {
	case n <= most:
	case first && p.gap > 0 && n >= p.gap && n-p.gap < noticesKept:
		p.logf("pool: notices %d to %d are lost", most, n-1)
	default:
		p.gap = n
		return fmt.Errorf("pool: notice %d came after %d", n, most-1)
	}
	p.gap = 0
	return nil
}
