package upstream

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/transport"
)

const (
	// maxOpen bounds the requests on a connection, as the platform has it.
	maxOpen = 32
	// maxMessagesPerTurn bounds what a turn takes of a connection: the answers to all that is open on it, and as many more.
	maxMessagesPerTurn = 64
	// idleTimeout is how long a connection is kept without a request.
	idleTimeout = 5 * microtime.Second
)

// link is one connection to a server, or one that is being opened.
type link struct {
	runner  *Backend
	member  *member
	conn    transport.Conn // nil while it is being opened
	drop    func()
	waiting []*try
	open    map[int32]*try
	seq     int32
	closing bool           // it takes nothing new
	heard   microtime.Time // when something last came on it
	busy    microtime.Time // since something has been open on it
	idle    microtime.Time
}

func (l *link) opened(c transport.Conn) transport.Session {
	l.conn = c
	waiting := l.waiting
	l.waiting = nil
	for _, t := range waiting {
		l.write(t)
	}
	return l
}

// failed is told when the connection could not be opened: nothing was written.
func (l *link) failed() {
	l.remove()
	waiting := l.waiting
	l.waiting = nil
	for _, t := range waiting {
		l.runner.ended(t, loadbalancer.Result{Outcome: loadbalancer.ConnectFailed}, nil)
	}
}

func (l *link) remove() {
	l.member.links = slices.DeleteFunc(l.member.links, func(o *link) bool { return o == l })
}

func (l *link) give(t *try) {
	if l.conn == nil {
		l.waiting = append(l.waiting, t)
		return
	}
	l.write(t)
}

// write sends a try; from then on it may run.
func (l *link) write(t *try) {
	r, q := l.runner, t.run
	if len(l.open) == 0 {
		l.busy = r.now()
	}
	l.seq++
	t.seq, t.written = l.seq, true
	l.open[t.seq] = t
	if q.keyed {
		r.attempts.RecordSent(r.now(), q.key, l.member.Name, microtime.FromDuration(q.class.RetentionWindow))
	}
	r.scratch = thrift.AppendCall(r.scratch[:0], t.seq, r.fields(t), q.Body)
	l.conn.Write(r.scratch)
}

// fields are a try's request, as this instance's own.
func (r *Backend) fields(t *try) []thrift.Field {
	q := t.run
	req := q.req
	fields := []thrift.Field{{Name: "class", Value: q.class.Name}, {Name: "id", Value: t.id},
		{Name: "at", Value: strconv.FormatInt(r.wall.UnixMilli(req.ArrivedAt), 10)}, {Name: "from", Value: strconv.FormatUint(uint64(r.config.CallerID), 10)},
		{Name: "kb", Value: strconv.FormatFloat(req.QueuedKB, 'f', -1, 64)}, {Name: "rank", Value: strconv.FormatFloat(req.Rank, 'f', 4, 64)}}
	if tenants := r.config.Settings.Tenants; req.Tenant < len(tenants) {
		fields = append(fields, thrift.Field{Name: "tenant", Value: tenants[req.Tenant].Name})
	}
	if q.count > 1 || req.Retry {
		fields = append(fields, thrift.Field{Name: "retry", Value: "1"})
	}
	if req.IdempotencyKey != "" {
		fields = append(fields, thrift.Field{Name: "once", Value: req.IdempotencyKey})
	}
	if req.CostHint > 0 {
		fields = append(fields, thrift.Field{Name: "cost", Value: strconv.FormatFloat(float64(req.CostHint)/float64(microtime.Millisecond), 'f', 3, 64)})
	}
	if req.SubjectKey != 0 {
		fields = append(fields, thrift.Field{Name: "key", Value: strconv.FormatUint(req.SubjectKey, 16)})
	}
	return fields
}

// giveUp passes on that nobody waits for a try any more.
func (l *link) giveUp(t *try) {
	if i := slices.Index(l.waiting, t); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
	if l.open[t.seq] != t || !t.written {
		return
	}
	delete(l.open, t.seq)
	l.idle = l.runner.now()
	l.runner.scratch = thrift.AppendGiveUp(l.runner.scratch[:0], t.seq)
	l.conn.Write(l.runner.scratch)
	l.closeAnswered()
}

// closeAnswered closes a connection that takes nothing new, once everything on it is answered.
func (l *link) closeAnswered() {
	if l.closing && len(l.open) == 0 && l.conn != nil {
		l.conn.Close()
	}
}

// Receive is part of transport.Session.
func (l *link) Receive(in []byte) (int, error) {
	l.heard = l.runner.now()
	n := 0
	for range maxMessagesPerTurn {
		payload, size, err := thrift.SplitFrame(in[n:])
		if err != nil || payload == nil {
			return n, err
		}
		n += size
		p, err := thrift.DecodeReply(payload)
		if err != nil {
			return n, err
		}
		l.take(p)
	}
	l.conn.Resume()
	return n, nil
}

func (l *link) take(p thrift.Reply) {
	if p.Kind == thrift.ReplyFarewell {
		l.closing = true
		l.closeAnswered()
		return
	}
	t := l.open[p.SequenceID]
	if t == nil {
		return // it crossed a give-up
	}
	delete(l.open, p.SequenceID)
	l.idle = l.runner.now()
	res := loadbalancer.Result{Outcome: loadbalancer.Failed}
	var result []byte
	switch p.Kind {
	case thrift.ReplyAnswer:
		res.Outcome, result = loadbalancer.Succeeded, append([]byte(nil), p.Body...)
	case thrift.ReplyThrottled:
		ms, _ := strconv.ParseUint(p.Fields["after"], 10, 20) // absent or out of bounds: no advice
		res = loadbalancer.Result{Outcome: loadbalancer.Rejected, RetryAfter: microtime.Time(ms) * microtime.Millisecond, NoRetry: p.Fields["last"] == "1"}
	}
	l.runner.ended(t, res, result)
	l.closeAnswered()
}

// Idle is part of transport.Session.
func (l *link) Idle() bool { return len(l.open) == 0 }

// Closed is part of transport.Session. What was written may have run.
func (l *link) Closed() {
	l.remove()
	open := l.open
	l.open = map[int32]*try{}
	for _, seq := range slices.SortedFunc(maps.Keys(open), cmp.Compare[int32]) {
		l.runner.ended(open[seq], loadbalancer.Result{Outcome: loadbalancer.ConnectionLost}, nil)
	}
}
