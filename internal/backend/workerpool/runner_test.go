package workerpool

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/transport"
)

const (
	safeRun = "00000000000000a1"
	onceRun = "00000000000000b2"
)

// bench is a runner on a clock that the test moves, with links that the test opens and reads.
type bench struct {
	t      *testing.T
	runner *Backend
	now    microtime.Time
	open   func(transport.Conn) transport.Session
	conn   *conn
	told   []string // what the core heard of runs
}

type conn struct {
	session transport.Session
	out     string
}

func (c *conn) Write(p []byte)  { c.out += string(p) }
func (c *conn) Close()          {}
func (c *conn) Resume()         {}
func (c *conn) MarkIdentified() {}
func (c *conn) Remote() string  { return "pool" }

func (b *bench) Now() microtime.Time { return b.now }
func (b *bench) Dial(_ string, open func(transport.Conn) transport.Session) func() {
	b.open = open
	return func() {}
}
func (b *bench) Start(microtime.Time, microtime.Time, bool) {}
func (b *bench) SetGauges(control.Gauges)                   {}
func (b *bench) RunBlocked(id string, call []byte) {
	b.told = append(b.told, fmt.Sprintf("blocked %s %s", id, call))
}
func (b *bench) RunFinished(id string, end dispatch.RunOutcome, _ []byte) {
	b.told = append(b.told, fmt.Sprintf("finished %s %d", id, end))
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, runner: New(Config{Address: "p1"}, t.Logf)}
	b.runner.Attach(b, b)
	b.links("")
	return b
}

// links opens the next link, on which the pool tells what was missed; it returns what is sent once that has been read.
func (b *bench) links(missed string) string {
	b.conn = &conn{}
	b.conn.session = b.open(b.conn)
	b.tells("bound LOADED 0\r\n" + missed)
	return b.tells(fmt.Sprintf("polled sync%d\r\n", b.runner.Status().Links))
}

// tells has the pool send something; it returns what it is sent upon that.
func (b *bench) tells(text string) string {
	b.conn.out = ""
	n, err := b.conn.session.Receive([]byte(text))
	require.NoError(b.t, err)
	require.Equal(b.t, len(text), n)
	return b.conn.out
}

// blocked starts a run that comes to its call under a notice.
func (b *bench) blocked(notice uint64, id string, once bool) {
	b.runner.Start(dispatch.Run{ID: id, Class: "c", Body: []byte("b"), AtMostOnce: once, Deadline: b.now + 4*microtime.Second})
	b.tells(string(pool.AppendBlocked(nil, notice, id, []byte("call"))))
	require.Contains(b.t, b.told, "blocked "+id+" call")
	b.told = nil
}

func (b *bench) breaks() { b.conn.session.Closed() }

func finished(notice uint64, id string, end pool.Outcome) string {
	return string(pool.AppendFinished(nil, notice, id, end, 1, nil))
}

// Guards runs against the reply to an earlier call: one that may have been lost with the link is not sent again, as the run may be
// at its next call. A run that may be repeated is stopped and started anew, of which the core hears nothing.
func TestReplyThatMayBeLostStartsASafeRunAnew(t *testing.T) {
	b := newBench(t)
	b.blocked(1, safeRun, false)
	b.runner.DeliverReply(safeRun, []byte("reply"))
	b.breaks()
	require.Equal(t, "suspend "+safeRun+"\r\n", b.links(""))
	b.breaks()
	require.Equal(t, "suspend "+safeRun+"\r\n", b.links(""), "the word to stop may be lost as well")
	require.Equal(t, "spawn "+safeRun+" c 1\r\nb\r\n", b.tells(finished(2, safeRun, pool.Killed)))
	require.Empty(t, b.told)
	b.tells(string(pool.AppendBlocked(nil, 3, safeRun, []byte("call"))))
	b.runner.DeliverReply(safeRun, []byte("again"))
	require.Contains(t, b.conn.out, "supply "+safeRun+" 5\r\nagain\r\n")
	b.tells(finished(4, safeRun, pool.Pass))
	require.Equal(t, []string{"blocked " + safeRun + " call", fmt.Sprintf("finished %s %d", safeRun, dispatch.RunSucceeded)}, b.told)
}

// A run that may run once is neither supplied again nor stopped nor started anew: its notice tells, or it fails when it is due.
func TestReplyThatMayBeLostLeavesASingleRunAlone(t *testing.T) {
	for _, heard := range []bool{true, false} {
		b := newBench(t)
		b.blocked(1, onceRun, true)
		b.runner.DeliverReply(onceRun, []byte("reply"))
		b.breaks()
		require.Empty(t, b.links(""))
		want := dispatch.RunFailed
		if heard {
			want = dispatch.RunSucceeded
			b.tells(finished(2, onceRun, pool.Pass))
		}
		for b.now < 5*microtime.Second {
			b.now += microtime.Second
			b.runner.Check(b.now)
		}
		require.Equal(t, []string{fmt.Sprintf("finished %s %d", onceRun, want)}, b.told)
		require.NotContains(t, b.conn.out, onceRun)
		require.Zero(t, b.runner.Status().Runs)
	}
}

// A reply that is known to have arrived is not sent again and leaves its run alone: by a poll answered behind it, or by a later
// notice of the run. One for which there was no link is sent on the next.
func TestReplyThatIsNotLost(t *testing.T) {
	for _, once := range []bool{false, true} {
		b := newBench(t)
		b.blocked(1, safeRun, once)
		b.runner.DeliverReply(safeRun, []byte("reply"))
		b.runner.RequestGauges()
		b.tells("polled g\r\n")
		b.breaks()
		require.Empty(t, b.links(""), "answered poll")

		b = newBench(t)
		b.blocked(1, safeRun, once)
		b.runner.DeliverReply(safeRun, []byte("reply"))
		b.breaks()
		require.Empty(t, b.links(string(pool.AppendBlocked(nil, 2, safeRun, []byte("next")))), "it waits for its next call")

		b = newBench(t)
		b.blocked(1, safeRun, once)
		b.breaks()
		b.runner.DeliverReply(safeRun, []byte("reply"))
		require.Equal(t, "supply "+safeRun+" 5\r\nreply\r\n", b.links(""), "sent on no link yet")
	}
}

// A run whose answer is not wanted any more is not started anew once it has been stopped.
func TestUnwantedRunIsNotStartedAnew(t *testing.T) {
	b := newBench(t)
	b.blocked(1, safeRun, false)
	b.runner.DeliverReply(safeRun, []byte("reply"))
	b.breaks()
	b.links("")
	b.runner.Cancel(safeRun)
	require.NotContains(t, b.tells(finished(2, safeRun, pool.Killed)), "spawn")
	require.Equal(t, []string{fmt.Sprintf("finished %s %d", safeRun, dispatch.RunCancelled)}, b.told)
}

// A deep check outlives a link that breaks, and is asked on the next; without any it ends in time.
func TestDeepCheckAndTheLink(t *testing.T) {
	b := newBench(t)
	var answers []bool
	ask := func() { b.runner.Verify(func(good bool) { answers = append(answers, good) }) }
	ask()
	require.Equal(t, "verify check1\r\n", b.conn.out[strings.LastIndex(b.conn.out, "verify"):])
	b.breaks()
	ask()
	require.Equal(t, "verify check1\r\n", b.links(""))
	require.Empty(t, answers)
	b.tells("verified check0 PASS\r\n")
	require.Empty(t, answers, "another's outcome")
	b.tells("verified check1 PASS\r\n")
	require.Equal(t, []bool{true, true}, answers)

	b.breaks()
	answers = nil
	ask()
	require.Equal(t, b.now+checkTimeout, b.runner.Check(b.now))
	b.now += checkTimeout
	b.runner.Check(b.now)
	require.Equal(t, []bool{false}, answers)
}
