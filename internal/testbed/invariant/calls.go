package invariant

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/testbed/simnet"
)

// callGrace is how long a server may take to act on what has reached its machine: a turn, and what is read before.
const callGrace = 100 * microtime.Millisecond

// point is where a run waits for a call.
type point struct {
	body    uint64
	waits   bool    // no reply has been supplied yet
	calls   []*call // made for it, oldest first
	carried []byte  // the reply that was supplied
}

// call is one call that a server has made, as seen at its machine.
type call struct {
	run     *run
	point   *point
	request *request // nil: of nothing that came to the server
	id      string
	conn    *conn
	asked   microtime.Time
	wait    microtime.Time // that the server has stated
	status  vault.Status   // of the reply; 0: none
	reply   []byte
	over    bool // given up, or its connection has ended
}

func (c *call) open() bool { return c.status == 0 && !c.over }

// neverRan tells whether the call's end proves that it had no effect.
func (c *call) neverRan() bool { return c.status == vault.NotNow || c.status == vault.Pointless }

// vaultBytes takes what passes on a server's connection to the vault, as the server writes it and as it reaches the server.
func (o *Observer) vaultBytes(c *conn, v simnet.Event) {
	switch {
	case v.Kind == simnet.Written && v.Dialer:
		o.read(c, v.Bytes, true)
	case v.Kind == simnet.Arrived && v.Dialer:
		o.read(c, v.Bytes, false)
	}
}

// vaultMessage takes one message off in and returns its size; 0 where it is not whole.
func (o *Observer) vaultMessage(c *conn, in []byte, up bool) int {
	if !up {
		m, n, err := vault.ParseReply(in)
		if c.broken = err != nil; n > 0 {
			o.replyRead(c, m)
		}
		return n
	}
	m, n, err := vault.ParseCommand(in)
	if c.broken = err != nil; c.broken {
		o.report("call", c.s, nil, "a command that cannot be read: %v", err)
	}
	if n > 0 && m.Verb == vault.Ask {
		o.asked(c, m)
	} else if n > 0 {
		o.unasked(c, m.ID)
	}
	return n
}

// asked takes a call as the server writes it.
func (o *Observer) asked(c *conn, m vault.Command) {
	s := c.s
	made := &call{id: m.ID, conn: c, run: s.runs[m.ID], request: s.reqs[m.ID], asked: o.w.Now(), wait: microtime.Time(m.WaitMS) * microtime.Millisecond}
	if made.request != nil {
		o.note(made.request, "call, for %v", made.wait.Duration())
	}
	o.judgeOneOpen(made)
	o.judgeNotOver(made)
	o.judgeAddress(made)
	if u := made.run; u == nil || len(u.points) == 0 {
		o.report("call", s, made.request, "for no run: %s", m.ID)
	} else {
		made.point = u.points[len(u.points)-1]
		if made.point.body != xxhash.Sum64(m.Body) {
			o.report("call", s, made.request, "body changed: of the call of %s", m.ID)
		}
		o.judgeOnce(made)
		made.point.calls = append(made.point.calls, made)
	}
	s.calls = append(s.calls, made)
	o.reach(s, fmt.Sprintf("call open%d drain%d tries%d", size(len(s.calls)), o.drainPhase(s), made.tries()))
}

// tries counts the calls for the same point so far.
func (c *call) tries() int {
	if c.point == nil {
		return 0
	}
	return len(c.point.calls)
}

func (o *Observer) unasked(c *conn, id string) {
	for _, made := range c.s.calls {
		if made.id == id && made.conn == c && made.open() {
			made.over = true
			o.noteCall(made, "call given up")
			o.reach(c.s, fmt.Sprintf("call given up drain%d", o.drainPhase(c.s)))
		}
	}
}

// replyRead takes a reply as it reaches the server. One for a call that the server has given up proves what it says all the same.
func (o *Observer) replyRead(c *conn, m vault.Reply) {
	i := slices.IndexFunc(c.s.calls, func(made *call) bool { return made.id == m.ID && made.conn == c && made.status == 0 })
	if i < 0 {
		o.reach(c.s, "reply for no call")
		return
	}
	made := c.s.calls[i]
	if made.over {
		o.reach(c.s, "reply crosses unask")
	}
	o.Replies[m.Status.String()]++
	made.status, made.reply = m.Status, bytes.Clone(m.Body)
	o.noteCall(made, "call's reply: %s", m.Status)
	o.reach(c.s, fmt.Sprintf("reply %s drain%d", m.Status, o.drainPhase(c.s)))
}

func (o *Observer) noteCall(c *call, format string, args ...any) {
	if c.request != nil {
		o.note(c.request, format, args...)
	}
}

// vaultEnded says that a connection to the vault has ended at the server: that gives up what was open on it.
func (o *Observer) vaultEnded(c *conn, v simnet.Event) {
	if !v.Dialer {
		return
	}
	n := 0
	for _, made := range c.s.calls {
		if made.conn == c && made.open() {
			made.over = true
			o.noteCall(made, "the call's connection ended")
			n++
		}
	}
	o.reach(c.s, fmt.Sprintf("vault link down open%d why%d", size(n), v.Cause))
}

// blocked takes a run's notice that it waits for a call, as its worker pool sends it.
func (o *Observer) blocked(s *server, m pool.Message) {
	u := s.runs[m.ID]
	if u == nil || u.ended || m.Notice <= s.blockedTold {
		return // the same again
	}
	s.blockedTold = m.Notice
	u.points = append(u.points, &point{body: xxhash.Sum64(m.Call), waits: true})
	o.crowded(s, -1)
	if r := s.reqs[m.ID]; r != nil {
		o.note(r, "waits for call %d", len(u.points))
	}
}

// unblock counts the run back in where it waited for a call.
func (o *Observer) unblock(s *server, u *run) {
	if n := len(u.points); n > 0 && u.points[n-1].waits {
		u.points[n-1].waits = false
		o.crowded(s, +1)
	}
}

// auditCalls looks at the calls that are open, and forgets those that are not.
func (o *Observer) auditCalls(s *server, now microtime.Time) {
	s.calls = slices.DeleteFunc(s.calls, func(c *call) bool { return !c.open() && now > c.asked+microtime.Second })
	if s.pausedAt(now) || s.pausedAt(now-callGrace) {
		return
	}
	for _, c := range s.calls {
		if c.open() {
			o.judgeGivenUp(s, c, now)
		}
	}
}
