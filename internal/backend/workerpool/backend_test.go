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
	"pewterline/internal/transport/transporttest"
)

const (
	repeatableRun = "00000000000000a1"
	atMostOnceRun = "00000000000000b2"

	firstNotice = 1
)

// testBench is a backend on a clock that the test moves, with connections that the test opens and reads. It is the
// backend's event loop and its core.
type testBench struct {
	t        *testing.T
	backend  *Backend
	now      microtime.Time
	open     func(transport.Conn) transport.Session
	conn     *transporttest.Conn
	reported []string // what the core was told of runs
}

func (b *testBench) Now() microtime.Time { return b.now }
func (b *testBench) Dial(_ string, open func(transport.Conn) transport.Session) func() {
	b.open = open
	return func() {}
}
func (b *testBench) Start(microtime.Time, microtime.Time, bool) {}
func (b *testBench) SetGauges(control.Gauges)                   {}
func (b *testBench) RunBlocked(id string, call []byte) {
	b.reported = append(b.reported, fmt.Sprintf("blocked %s %s", id, call))
}
func (b *testBench) RunFinished(id string, end dispatch.RunOutcome, _ []byte) {
	b.reported = append(b.reported, fmt.Sprintf("finished %s %d", id, end))
}

func newBench(t *testing.T) *testBench {
	b := &testBench{t: t, backend: New(Config{Address: "p1"}, t.Logf)}
	b.backend.Attach(b, b)
	b.reconnect("")
	return b
}

// reconnect opens the next connection, on which the pool sends what was missed; it returns what it is sent once that
// has been read.
func (b *testBench) reconnect(missed string) string {
	b.conn = transporttest.Open("pool", b.open)
	b.sends("bound LOADED 0\r\n" + missed)
	return b.sends(fmt.Sprintf("polled sync%d\r\n", b.backend.Status().Connections))
}

// sends has the pool send something; it returns what it is sent upon that.
func (b *testBench) sends(text string) string {
	b.conn.Written = ""
	n, err := b.conn.Receive(text)
	require.NoError(b.t, err)
	require.Equal(b.t, len(text), n)
	return b.conn.Written
}

// blocked starts a run that comes to its call under the first notice.
func (b *testBench) blocked(id string, atMostOnce bool) {
	b.backend.Start(dispatch.Run{
		ID:         id,
		Class:      "c",
		Body:       []byte("b"),
		AtMostOnce: atMostOnce,
		Deadline:   b.now + 4*microtime.Second,
	})
	b.sends(string(pool.AppendBlocked(nil, firstNotice, id, []byte("call"))))
	require.Contains(b.t, b.reported, "blocked "+id+" call")
	b.reported = nil
}

func (b *testBench) disconnect() { b.conn.Disconnect() }

func finished(notice uint64, id string, end pool.Outcome) string {
	return string(pool.AppendFinished(nil, notice, id, end, 1, nil))
}

// Guards runs against the reply to an earlier call: one that may have been lost with the connection is not sent again,
// as the run may be at its next call. A run that may be repeated is suspended and started anew, and the core is not
// told.
func TestReplyThatMayBeLostStartsASafeRunAnew(t *testing.T) {
	bench := newBench(t)
	bench.blocked(repeatableRun, false)
	bench.backend.DeliverReply(repeatableRun, []byte("reply"))
	bench.disconnect()
	require.Equal(t, "suspend "+repeatableRun+"\r\n", bench.reconnect(""))
	bench.disconnect()
	require.Equal(t, "suspend "+repeatableRun+"\r\n", bench.reconnect(""), "the suspend may be lost as well")
	require.Equal(t, "spawn "+repeatableRun+" c 1\r\nb\r\n", bench.sends(finished(2, repeatableRun, pool.Killed)))
	require.Empty(t, bench.reported)
	bench.sends(string(pool.AppendBlocked(nil, 3, repeatableRun, []byte("call"))))
	bench.backend.DeliverReply(repeatableRun, []byte("again"))
	require.Contains(t, bench.conn.Written, "supply "+repeatableRun+" 5\r\nagain\r\n")
	bench.sends(finished(4, repeatableRun, pool.Pass))
	require.Equal(t, []string{
		"blocked " + repeatableRun + " call",
		fmt.Sprintf("finished %s %d", repeatableRun, dispatch.RunSucceeded),
	}, bench.reported)
}

// A run that may run at most once is neither supplied again nor suspended nor started anew: its notice tells, or it
// fails at its deadline.
func TestReplyThatMayBeLostLeavesASingleRunAlone(t *testing.T) {
	for _, noticed := range []bool{true, false} {
		bench := newBench(t)
		bench.blocked(atMostOnceRun, true)
		bench.backend.DeliverReply(atMostOnceRun, []byte("reply"))
		bench.disconnect()
		require.Empty(t, bench.reconnect(""))
		want := dispatch.RunFailed
		if noticed {
			want = dispatch.RunSucceeded
			bench.sends(finished(2, atMostOnceRun, pool.Pass))
		}
		for bench.now < 5*microtime.Second {
			bench.now += microtime.Second
			bench.backend.Check(bench.now)
		}
		require.Equal(t, []string{fmt.Sprintf("finished %s %d", atMostOnceRun, want)}, bench.reported)
		require.NotContains(t, bench.conn.Written, atMostOnceRun)
		require.Zero(t, bench.backend.Status().Runs)
	}
}

// A reply that is known to have been read is not sent again and leaves its run alone: by a poll answered behind it, or
// by a later notice of the run. One for which there was no connection is sent on the next.
func TestReplyThatIsNotLost(t *testing.T) {
	for _, once := range []bool{false, true} {
		bench := newBench(t)
		bench.blocked(repeatableRun, once)
		bench.backend.DeliverReply(repeatableRun, []byte("reply"))
		bench.backend.RequestGauges()
		bench.sends("polled g\r\n")
		bench.disconnect()
		require.Empty(t, bench.reconnect(""), "answered poll")

		bench = newBench(t)
		bench.blocked(repeatableRun, once)
		bench.backend.DeliverReply(repeatableRun, []byte("reply"))
		bench.disconnect()
		nextCall := string(pool.AppendBlocked(nil, 2, repeatableRun, []byte("next")))
		require.Empty(t, bench.reconnect(nextCall), "it waits for its next call")

		bench = newBench(t)
		bench.blocked(repeatableRun, once)
		bench.disconnect()
		bench.backend.DeliverReply(repeatableRun, []byte("reply"))
		require.Equal(t, "supply "+repeatableRun+" 5\r\nreply\r\n", bench.reconnect(""), "sent on no connection yet")
	}
}

// A run whose answer is not wanted any more is not started anew once it has been stopped.
func TestUnwantedRunIsNotStartedAnew(t *testing.T) {
	bench := newBench(t)
	bench.blocked(repeatableRun, false)
	bench.backend.DeliverReply(repeatableRun, []byte("reply"))
	bench.disconnect()
	bench.reconnect("")
	bench.backend.Cancel(repeatableRun)
	require.NotContains(t, bench.sends(finished(2, repeatableRun, pool.Killed)), "spawn")
	require.Equal(t, []string{fmt.Sprintf("finished %s %d", repeatableRun, dispatch.RunCancelled)}, bench.reported)
}

// A deep check outlives a connection that breaks, and is asked on the next; without any it ends in time.
func TestDeepCheckOutlivesTheConnection(t *testing.T) {
	bench := newBench(t)
	var answers []bool
	ask := func() { bench.backend.Verify(func(good bool) { answers = append(answers, good) }) }
	ask()
	require.Equal(t, "verify check1\r\n", bench.conn.Written[strings.LastIndex(bench.conn.Written, "verify"):])
	bench.disconnect()
	ask()
	require.Equal(t, "verify check1\r\n", bench.reconnect(""))
	require.Empty(t, answers)
	bench.sends("verified check0 PASS\r\n")
	require.Empty(t, answers, "another's outcome")
	bench.sends("verified check1 PASS\r\n")
	require.Equal(t, []bool{true, true}, answers)

	bench.disconnect()
	answers = nil
	ask()
	require.Equal(t, bench.now+checkTimeout, bench.backend.Check(bench.now))
	bench.now += checkTimeout
	bench.backend.Check(bench.now)
	require.Equal(t, []bool{false}, answers)
}
