package edge

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"pewterline/control"
	"pewterline/internal/micro"
	"pewterline/internal/ordered"
	"pewterline/internal/planted"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/routing"
	"pewterline/internal/transport"
)

const (
	maxOpen   = 32 // open requests of a connection: what the platform allows
	maxFaults = 16 // messages in a row that make no sense before a connection is given up
	turnsWork = 64 // messages of a connection that a turn takes: all that a proxy may have open, and as many giveUps
)

// thriftSession is the platform's front on one connection.
type thriftSession struct {
	ordered.Position
	s      *Server
	conn   transport.Link
	open   map[int32]control.ID // by sequence number
	checks int                  // deep health checks that wait for their answer
	seq    int32                // the highest so far
	faults int                  // messages that made no sense since the last that did
	last   micro.Time           // of the last request or answer
	bidden bool                 // farewell was sent
	closed bool
	out    []byte // scratch
}

func (s *Server) acceptThrift(c transport.Link) *thriftSession {
	t := &thriftSession{s: s, conn: c, open: map[int32]control.ID{}, last: s.loop.Now()}
	s.fronts.Add(t)
	if s.farewell {
		t.farewell(t.last)
	}
	return t
}

func (t *thriftSession) write(p []byte) {
	t.out = p[:0]
	t.conn.Write(p)
}

func (t *thriftSession) farewell(now micro.Time) {
	if t.bidden {
		return
	}
	t.bidden, t.last = true, now
	t.write(thrift.AppendFarewell(t.out[:0]))
}

// Receive is part of transport.Session.
func (t *thriftSession) Receive(in []byte) (int, error) {
	n := 0
	// Guards the others' share of the core against whoever sends without end.
	for range turnsWork {
		payload, size, err := thrift.Split(in[n:])
		if err != nil || payload == nil {
			return n, err
		}
		n += size
		m, answerable, err := thrift.Decode(payload)
		if err == nil {
			err = t.take(m)
		} else if answerable {
			t.except(m, thrift.ProtocolError, err)
			err = nil
		}
		if err == nil && t.faults > maxFaults {
			err = errFaults
		}
		if err != nil {
			return n, err
		}
	}
	t.conn.Resume()
	return n, nil
}

var (
	errFaults  = fmt.Errorf("%w: %d messages in a row make no sense", thrift.ErrFrame, maxFaults)
	errTwice   = fmt.Errorf("%w: two requests under one number", thrift.ErrFrame)
	errUnasked = errors.New("no such method")
	errClass   = errors.New("class: unknown")
)

// Idle is part of transport.Session.
func (t *thriftSession) Idle() bool { return len(t.open) == 0 && t.checks == 0 }

// Closed is part of transport.Session: whoever waits on this connection has left.
func (t *thriftSession) Closed() {
	t.closed = true
	t.s.fronts.Remove(t)
	for _, seq := range slices.Sorted(maps.Keys(t.open)) {
		t.s.core.GiveUp(t.open[seq])
	}
	clear(t.open)
}

func (t *thriftSession) except(m thrift.Message, code uint32, err error) {
	t.faults++
	t.s.logf("thrift: %s: %s %d: %v", t.conn.Remote(), m.Name, m.Seq, err)
	if !m.Oneway {
		t.write(thrift.AppendException(t.out[:0], m.Name, m.Seq, code, err.Error()))
	}
}

// take carries out a message. An error means that the connection is past help.
func (t *thriftSession) take(m thrift.Message) error {
	t.last = t.s.loop.Now()
	switch m.Method {
	case thrift.Process:
		if m.Seq <= t.seq && !m.Oneway {
			return t.reused(m)
		}
		t.seq = max(t.seq, m.Seq)
		if err := t.process(m); err != nil {
			t.except(m, thrift.ProtocolError, err)
			// Guards what else is open on the connection: a class that is not known here, or not any more, makes sense to a
			// proxy that heard of the settings before or after this server.
			if errors.Is(err, errClass) {
				t.faults--
			}
			return nil
		}
		t.valid()
	case thrift.GiveUp:
		if id, ok := t.open[m.GaveUp]; ok {
			delete(t.open, m.GaveUp)
			t.s.core.GiveUp(id)
		} else if planted.Bug(planted.GiveUpOther) {
			for _, seq := range slices.Sorted(maps.Keys(t.open)) {
				t.s.core.GiveUp(t.open[seq])
				delete(t.open, seq)
				break
			}
		}
	case thrift.Probe:
		t.valid()
		t.probe(m)
	default:
		t.except(m, thrift.UnknownMethod, errUnasked)
	}
	return nil
}

// probe answers a health check. A deep one waits for the runner's word, within a second.
func (t *thriftSession) probe(m thrift.Message) {
	answer := func(good bool) {
		t.write(thrift.AppendAnswer(t.out[:0], m.Name, m.Seq, nil, t.s.sayField(nil), good))
	}
	if !m.Deep || !t.s.healthy() || t.s.pool == nil {
		answer(t.s.healthy())
		return
	}
	t.checks++
	t.s.pool.Verify(func(good bool) {
		t.checks--
		if t.closed {
			return
		}
		t.last = t.s.loop.Now()
		answer(good && t.s.healthy())
	})
}

func (t *thriftSession) valid() {
	t.faults = 0
	t.conn.Vouch()
}

// reused ends a connection on which a number comes again. Numbers go up, so whoever sends it is no proxy; and an
// answer under that number would be taken for either request's. Neither is served: one that is open is given up,
// and the number gets one error.
func (t *thriftSession) reused(m thrift.Message) error {
	if id, ok := t.open[m.Seq]; ok {
		delete(t.open, m.Seq)
		t.s.core.GiveUp(id)
	}
	t.except(m, thrift.ProtocolError, errTwice)
	return errTwice
}

// maxBody is the protocol's bound on a request's body.
const maxBody = 2 << 10

func (t *thriftSession) process(m thrift.Message) error {
	if m.Oneway {
		return fmt.Errorf("a request must be a call")
	} else if len(t.open) >= maxOpen {
		return fmt.Errorf("%d requests are open already", len(t.open))
	} else if len(m.Body) > maxBody {
		return fmt.Errorf("body of %d bytes is over %d", len(m.Body), maxBody)
	}
	r, err := t.s.request(func(name string) string { return m.Fields[name] })
	if err != nil {
		return err
	}
	r.Body = append([]byte(nil), m.Body...)
	r.Reply = &thriftCall{t, m.Seq}
	id, err := t.s.submit(r)
	if err != nil {
		return err
	}
	t.open[m.Seq] = id
	return nil
}

// request reads the fields that all fronts share; get returns "" for one that is absent.
func (s *Server) request(get func(string) string) (r routing.Request, err error) {
	var ok bool
	if r.Class, ok = s.classes[get("class")]; !ok {
		return r, fmt.Errorf("%w %q", errClass, get("class"))
	}
	if r.Tenant, ok = s.tenants[get("tenant")]; !ok && len(s.tenants) > 0 {
		return r, fmt.Errorf("tenant: unknown %q", get("tenant"))
	}
	if r.RunID = get("id"); !hexDigits(r.RunID, 16) {
		return r, fmt.Errorf("id: %q is not 16 hex digits", r.RunID)
	}
	at, err := strconv.ParseUint(get("at"), 10, 50) // no sign; and its microseconds can be counted
	if err != nil {
		return r, fmt.Errorf("at: %q is not a time in milliseconds", get("at"))
	}
	now := s.loop.Now()
	if r.At = s.wall.FromUnixMilli(int64(at)); r.At > now+aheadMost {
		return r, fmt.Errorf("at: %d is over %v ahead", at, aheadMost.Duration())
	}
	r.At, r.AtMilli = min(max(r.At, now-pastMost), now), int64(at)
	from, err := strconv.ParseUint(get("from"), 10, 32)
	if err != nil {
		return r, fmt.Errorf("from: %q is not a number", get("from"))
	}
	r.Caller = uint32(from)
	if r.HeldKB, err = decimal(get("kb")); err != nil {
		return r, fmt.Errorf("kb: %q is not a number", get("kb"))
	}
	if cost := get("cost"); cost != "" {
		if r.Hint, err = costHint(cost); err != nil {
			return r, err
		}
	}
	if r.Rank, err = decimal(get("rank")); err != nil {
		return r, fmt.Errorf("rank: %q is not a number", get("rank"))
	}
	// Written with few digits, a rank just under 1 reads as 1.
	if r.Rank == 1 {
		r.Rank = math.Nextafter(1, 0)
	}
	if key := get("key"); key != "" {
		if r.Key, err = strconv.ParseUint(key, 16, 64); err != nil {
			return r, fmt.Errorf("key: %q is not a hex number", key)
		}
	}
	if r.Once = get("once"); len(r.Once) > 128 {
		return r, fmt.Errorf("once: %d characters are too many", len(r.Once))
	}
	r.Retry = get("retry") == "1"
	return r, nil
}

const (
	aheadMost = 10 * micro.Second  // that a request's own time may be ahead of ours
	pastMost  = 600 * micro.Second // beyond any deadline and window; what came before that came then
)

// costMost bounds the work that a request may be said to take; more is taken for it.
const costMost = micro.Time(3600) * micro.Second

// costHint reads the work to expect, in milliseconds on one core.
func costHint(text string) (micro.Time, error) {
	ms, err := decimal(text)
	if err != nil {
		return 0, fmt.Errorf("cost: %q is not a number of milliseconds", text)
	}
	return micro.Time(math.Min(ms*float64(micro.Millisecond), float64(costMost))), nil
}

// decimal reads digits with at most one point among them: no sign, exponent or word, which ParseFloat takes too.
func decimal(s string) (float64, error) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseFloat(s, 64)
}

func hexDigits(s string, n int) bool {
	for i := range len(s) {
		if c := s[i] | 0x20; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == n
}

// sayField adds the free value, which goes with every answer.
func (s *Server) sayField(fields []thrift.Field) []thrift.Field {
	if v, ok := s.core.Say(); ok {
		fields = append(fields, thrift.Field{Name: "say", Value: strconv.FormatFloat(v, 'f', 4, 64)})
	}
	return fields
}

// thriftCall is where the answer to one request goes.
type thriftCall struct {
	t   *thriftSession
	seq int32
}

// Reply is part of routing.Replier.
func (k *thriftCall) Reply(a routing.Answer) {
	t := k.t
	if t.closed {
		return
	}
	delete(t.open, k.seq)
	t.last = t.s.loop.Now()
	fields := t.s.sayField(nil)
	switch a.Status {
	case routing.Served:
		t.write(thrift.AppendAnswer(t.out[:0], "process", k.seq, a.Result, fields, true))
	case routing.Refused:
		if a.After > 0 {
			fields = append(fields, thrift.Field{Name: "after", Value: strconv.FormatInt(wholeMS(a.After), 10)})
		}
		if a.Last {
			fields = append(fields, thrift.Field{Name: "last", Value: "1"})
		}
		t.write(thrift.AppendThrottled(t.out[:0], k.seq, fields))
	default:
		t.write(thrift.AppendBroken(t.out[:0], k.seq, fields))
	}
}

// wholeMS rounds up, so that advice is never cut to none.
func wholeMS(t micro.Time) int64 { return int64((t + micro.Millisecond - 1) / micro.Millisecond) }
