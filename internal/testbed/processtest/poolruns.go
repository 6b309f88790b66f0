package processtest

import (
	"fmt"
	"net"
	"time"

	"pewterline/internal/protocol/pool"
)

// poolRun is a run that has not ended.
type poolRun struct {
	id, result string
	body       string
	calls      int // made so far
	callsLeft  int
	held       bool // waits for Release
	blocked    bool // at a call
}

// later ends a run that takes its time.
func (p *Pool) later(r *poolRun) {
	p.slots <- struct{}{}
	time.Sleep(p.took)
	<-p.slots
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs[r.id] == r {
		p.end(r, pool.Pass)
	}
}

// tell sends a notice, and keeps it for the next link.
func (p *Pool) tell(notice []byte) {
	p.notices = append(p.notices, notice)
	if p.link != nil {
		_, _ = p.link.Write(notice)
	}
}

func (p *Pool) nextNotice() uint64 { return uint64(len(p.notices)) + 1 }

func (p *Pool) end(r *poolRun, end pool.Outcome) {
	delete(p.runs, r.id)
	result := ""
	if end == pool.Pass {
		result = r.result
	}
	p.tell(pool.AppendFinished(nil, p.nextNotice(), r.id, end, 1, []byte(result)))
}

// advance takes a run to its next call, or to its end.
func (p *Pool) advance(r *poolRun) {
	r.held, r.blocked = false, false
	switch {
	case r.callsLeft > 0 && p.over[r.id]:
		p.end(r, pool.Killed)
	case r.callsLeft > 0:
		r.callsLeft--
		r.calls++
		r.blocked = true
		p.tell(pool.AppendBlocked(nil, p.nextNotice(), r.id, []byte(CallBody(r.calls, r.body))))
	case p.took > 0:
		go p.later(r)
	default:
		p.end(r, pool.Pass)
	}
}

// CallBody is the body of a run's call, counted from 1.
func CallBody(call int, of string) string { return fmt.Sprintf("call %d of %s", call, of) }

func (p *Pool) bind(b bind) {
	if p.link != nil && p.link != b.link {
		_ = p.link.Close()
	}
	p.link = b.link
	_, _ = p.link.Write([]byte("bound LOADED 60000\r\n"))
	all := uint64(len(p.notices))
	from := min(b.seen, all)
	if all > noticesKept {
		from = max(from, all-noticesKept)
	}
	for _, n := range p.notices[from:] {
		_, _ = p.link.Write(n)
	}
}

func (p *Pool) spawn(k pool.Command) {
	body := string(k.Body)
	p.ledger.ran(body, k.ID, p)
	select {
	case p.started <- body:
	default: // nobody waits for so many
	}
	if p.runs[k.ID] != nil {
		return
	}
	r := &poolRun{id: k.ID, body: body, result: "did " + body, callsLeft: p.calls[k.Class]}
	if p.ledger.NamedResults {
		r.result += " as " + k.ID
	}
	p.runs[k.ID] = r
	if r.held = p.hold; !r.held {
		p.advance(r)
	}
}

func (p *Pool) supply(k pool.Command) {
	r := p.runs[k.ID]
	if r == nil || !r.blocked {
		p.strays = append(p.strays, k.ID)
		_, _ = fmt.Fprintf(p.link, "unknown supply %s\r\n", k.ID)
		return
	}
	r.result += " got " + string(k.Body)
	p.advance(r)
}

// obey carries out a command that came on a link.
func (p *Pool) obey(c net.Conn, k pool.Command) {
	if k.Verb == pool.Bind {
		select {
		case p.binds <- k.Notice:
		default: // nobody waits for so many
		}
		if b := (bind{c, k.Notice}); p.away {
			p.unbound = &b
		} else {
			p.bind(b)
		}
		return
	}
	if c != p.link {
		return
	}
	switch k.Verb {
	case pool.Poll:
		_, _ = fmt.Fprintf(c, "polled %s 0.1 0 0.1 1\r\n", k.Tag)
	case pool.Verify:
		if p.checks++; p.checkEnd != 0 {
			_, _ = c.Write(pool.AppendVerified(nil, k.Tag, p.checkEnd))
		}
	case pool.Spawn:
		p.spawn(k)
	case pool.Suspend:
		if r := p.runs[k.ID]; r != nil {
			p.end(r, pool.Killed)
		}
	case pool.Supply:
		p.supply(k)
	}
}

func (p *Pool) serve(c net.Conn) {
	var buf []byte
	more := make([]byte, 64<<10)
	for {
		k, n, err := pool.ParseCommand(buf)
		if err != nil {
			_ = c.Close()
			return
		}
		if n == 0 {
			got, err := c.Read(more)
			if err != nil {
				return
			}
			buf = append(buf, more[:got]...)
			continue
		}
		p.mu.Lock()
		if p.frozen {
			p.mu.Unlock()
			return
		}
		p.obey(c, k)
		p.mu.Unlock()
		buf = buf[n:]
	}
}
