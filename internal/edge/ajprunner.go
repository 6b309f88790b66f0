package edge

import (
	"fmt"
	"strconv"

	"pewterline/internal/front"
	"pewterline/internal/micro"
	"pewterline/internal/ordered"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/routing"
	"pewterline/internal/transport"
)

const maxResult = 64 << 10 // as the worker pool's

// ajpRunner has the work done by a server that speaks AJP, over a few kept connections. It has no gauges.
type ajpRunner struct {
	s       *Server
	links   ordered.Set[*ajpBackend]
	idle    []*ajpBackend
	dialing int
	queue   []*ajpRun // not sent yet, oldest first
	runs    map[string]*ajpRun
}

// ajpRun is a run that has not ended.
type ajpRun struct {
	routing.Run
	on *ajpBackend // nil while queued
}

func newAJPRunner(s *Server) *ajpRunner {
	return &ajpRunner{s: s, runs: map[string]*ajpRun{}}
}

// Start is part of routing.Runner.
func (r *ajpRunner) Start(run routing.Run) {
	q := &ajpRun{Run: run}
	r.runs[run.ID] = q
	r.queue = append(r.queue, q)
	r.feed()
}

// Stop is part of routing.Runner. AJP has no word for it: the connection is closed.
func (r *ajpRunner) Stop(id string) {
	if q := r.runs[id]; q == nil {
		return
	} else if q.on != nil {
		q.on.conn.Close()
		q.on.end(routing.Stopped, nil)
	} else {
		for i, o := range r.queue {
			if o == q {
				r.queue = append(r.queue[:i], r.queue[i+1:]...)
				break
			}
		}
		r.finish(q, routing.Stopped, nil)
	}
}

// Poll is part of routing.Runner.
func (r *ajpRunner) Poll() {}

func (r *ajpRunner) finish(q *ajpRun, end routing.End, result []byte) {
	delete(r.runs, q.ID)
	r.s.core.Finished(q.ID, end, result)
}

// feed gives queued runs to idle connections, and opens more where those do not suffice.
func (r *ajpRunner) feed() {
	for len(r.queue) > 0 && len(r.idle) > 0 {
		b, q := r.idle[len(r.idle)-1], r.queue[0]
		r.idle, r.queue = r.idle[:len(r.idle)-1], r.queue[1:]
		b.take(q)
	}
	for r.dialing < len(r.queue) && r.links.Len()+r.dialing < r.s.cfg.AJP.Connections {
		r.dialing++
		r.s.loop.Dial(r.s.cfg.AJP.Runner, func(c transport.Link) transport.Session { return r.opened(c) })
	}
}

func (r *ajpRunner) opened(c transport.Link) *ajpBackend {
	b := &ajpBackend{r: r, conn: c}
	r.dialing--
	r.links.Add(b)
	r.idle = append(r.idle, b)
	r.feed()
	return b
}

// check ends runs that have been out for longer than any answer could be wanted; it returns when to look again.
func (r *ajpRunner) check(now micro.Time) micro.Time {
	next := micro.Never
	for _, b := range r.links.Items() {
		if b.run == nil {
			continue
		} else if now < b.due {
			next = min(next, b.due)
			continue
		}
		r.s.logf("ajp: runner %s: %s did not end in time", b.conn.Remote(), b.run.ID)
		b.conn.Close()
		b.end(routing.Errored, nil)
	}
	return next
}

// ajpBackend is one connection to the server that does the work.
type ajpBackend struct {
	ordered.Position
	r      *ajpRunner
	conn   transport.Link
	run    *ajpRun
	due    micro.Time
	used   bool // it has carried a run, so it may have been closed meanwhile
	sent   bool // the run has left; before that, a lost connection proves that nothing ran
	left   []byte
	status int
	result []byte
	out    []byte
}

func (b *ajpBackend) write(p []byte) {
	b.out = p[:0]
	b.conn.Write(p)
}

// take starts a run. A kept connection is asked for a sign of life first: what is sent on one that was closed
// meanwhile could not be told from what ran.
func (b *ajpBackend) take(q *ajpRun) {
	b.run, q.on, b.sent, b.status, b.result = q, b, false, 0, nil
	longest := micro.Time(0)
	for _, c := range b.r.s.cfg.Settings.Classes {
		longest = max(longest, micro.Of(c.Deadline), micro.Of(c.Window))
	}
	b.due = b.r.s.loop.Now() + longest
	if b.used {
		b.write(ajp.AppendCPing(b.out[:0]))
	} else {
		b.send()
	}
}

func (b *ajpBackend) send() {
	b.used, b.sent = true, true
	cfg, q := b.r.s.cfg.AJP, b.run
	out := ajp.AppendForward(b.out[:0], ajp.Request{
		Method: "POST", URI: cfg.RunnerPath + "/" + q.Class, RemoteAddr: "127.0.0.1", Secret: cfg.RunnerKey,
		Headers: []ajp.Header{{Name: "content-length", Value: strconv.Itoa(len(q.Body))},
			{Name: front.HeaderPrefix + "Class", Value: q.Class}, {Name: front.HeaderPrefix + "Id", Value: q.ID}},
	})
	if b.left = q.Body; len(q.Body) > 0 {
		out, b.left = ajp.AppendBody(out, q.Body)
	}
	b.write(out)
}

// end tells the core of the run's end.
func (b *ajpBackend) end(e routing.End, result []byte) {
	q := b.run
	b.run, b.left, b.result = nil, nil, nil
	b.r.finish(q, e, result)
}

// Receive is part of transport.Session.
func (b *ajpBackend) Receive(in []byte) (int, error) {
	n := 0
	for {
		payload, size, err := ajp.Split(in[n:], ajp.FromContainer)
		if err != nil || payload == nil {
			return n, err
		}
		n += size
		p, err := ajp.ParseResponse(payload)
		if err != nil {
			return n, err
		}
		if b.run == nil {
			return n, fmt.Errorf("%w: code %d with no request in hand", ajp.ErrPacket, p.Code)
		}
		if err := b.takeResponse(p); err != nil {
			return n, err
		}
	}
}

func (b *ajpBackend) takeResponse(p ajp.Response) error {
	switch p.Code {
	case ajp.CodeCPong:
		if !b.sent {
			b.send()
		}
	case ajp.CodeGetBody:
		var out []byte
		out, b.left = ajp.AppendBody(b.out[:0], b.left)
		b.write(out)
	case ajp.CodeHeaders:
		b.status = p.Status
	case ajp.CodeChunk:
		if len(b.result)+len(p.Chunk) > maxResult {
			return fmt.Errorf("%w: a result of over %d bytes", ajp.ErrPacket, maxResult)
		}
		b.result = append(b.result, p.Chunk...)
	case ajp.CodeEnd:
		end, result := routing.Errored, []byte(nil)
		if b.status >= 200 && b.status < 300 {
			end, result = routing.Passed, b.result
		}
		b.end(end, result)
		if p.Reuse {
			b.r.idle = append(b.r.idle, b)
			b.r.feed()
		} else {
			b.conn.Close()
		}
	}
	return nil
}

// Idle is part of transport.Session.
func (b *ajpBackend) Idle() bool { return b.run == nil }

// Closed is part of transport.Session.
func (b *ajpBackend) Closed() {
	r := b.r
	r.links.Remove(b)
	for i, o := range r.idle {
		if o == b {
			r.idle = append(r.idle[:i], r.idle[i+1:]...)
			break
		}
	}
	if q := b.run; q != nil {
		if b.sent { // it may have run: never sent again
			b.end(routing.Errored, nil)
		} else {
			b.run, q.on = nil, nil
			r.queue = append([]*ajpRun{q}, r.queue...)
		}
	}
	r.feed()
}
