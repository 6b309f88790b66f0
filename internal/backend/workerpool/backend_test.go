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

// harness is a backend under test. It implements the EventLoop and the Core of the backend, and opens its connections.
type harness struct {
	t          *testing.T
	backend    *Backend
	now        microtime.Time
	open       func(transport.Conn) transport.Session
	conn       *transporttest.Conn
	coreEvents []string // the calls of RunBlocked and RunFinished
}

func (h *harness) Now() microtime.Time { return h.now }
func (h *harness) Dial(_ string, open func(transport.Conn) transport.Session) func() {
	h.open = open
	return func() {}
}
func (h *harness) Start(microtime.Time, microtime.Time, bool) {}
func (h *harness) SetGauges(control.Gauges)                   {}
func (h *harness) RunBlocked(id string, call []byte) {
	h.coreEvents = append(h.coreEvents, fmt.Sprintf("blocked %s %s", id, call))
}
func (h *harness) RunFinished(id string, end dispatch.RunOutcome, _ []byte) {
	h.coreEvents = append(h.coreEvents, fmt.Sprintf("finished %s %d", id, end))
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, backend: New(Config{Address: "p1"}, t.Logf)}
	h.backend.Attach(h, h)
	h.reconnect("")
	return h
}

// reconnect opens the next connection, on which the pool repeats the missed notices. It returns the commands that the
// backend sends once it has read them.
func (h *harness) reconnect(missedNotices string) string {
	h.conn = transporttest.Open("pool", h.open)
	h.receive("bound LOADED 0\r\n" + missedNotices)
	return h.receive(fmt.Sprintf("polled sync%d\r\n", h.backend.Status().Connections))
}

// receive passes text from the pool to the backend. It returns the commands that the backend sends in response.
func (h *harness) receive(text string) string {
	h.conn.Written = ""
	n, err := h.conn.Receive(text)
	require.NoError(h.t, err)
	require.Equal(h.t, len(text), n)
	return h.conn.Written
}

// startBlockedRun starts a run that makes a call, which the first notice reports.
func (h *harness) startBlockedRun(id string, atMostOnce bool) {
	h.backend.Start(dispatch.Run{
		ID:         id,
		Class:      "c",
		Body:       []byte("b"),
		AtMostOnce: atMostOnce,
		Deadline:   h.now + 4*microtime.Second,
	})
	h.receive(string(pool.AppendBlocked(nil, firstNotice, id, []byte("call"))))
	require.Contains(h.t, h.coreEvents, "blocked "+id+" call")
	h.coreEvents = nil
}

func (h *harness) disconnect() { h.conn.Disconnect() }

func finished(notice uint64, id string, end pool.Outcome) string {
	return string(pool.AppendFinished(nil, notice, id, end, 1, nil))
}

// Guards runs against the reply to an earlier call: a reply that may have been lost with the connection is not sent
// again, because the run may be in its next call. A repeatable run is suspended and restarted instead, without a
// notification of the core.
func TestPossiblyLostReplyRestartsRepeatableRun(t *testing.T) {
	fixture := newHarness(t)
	fixture.startBlockedRun(repeatableRun, false)
	fixture.backend.DeliverReply(repeatableRun, []byte("reply"))
	fixture.disconnect()
	require.Equal(t, "suspend "+repeatableRun+"\r\n", fixture.reconnect(""))
	fixture.disconnect()
	require.Equal(t, "suspend "+repeatableRun+"\r\n", fixture.reconnect(""), "the suspend may be lost as well")
	require.Equal(t, "spawn "+repeatableRun+" c 1\r\nb\r\n", fixture.receive(finished(2, repeatableRun, pool.Killed)))
	require.Empty(t, fixture.coreEvents)
	fixture.receive(string(pool.AppendBlocked(nil, 3, repeatableRun, []byte("call"))))
	fixture.backend.DeliverReply(repeatableRun, []byte("again"))
	require.Contains(t, fixture.conn.Written, "supply "+repeatableRun+" 5\r\nagain\r\n")
	fixture.receive(finished(4, repeatableRun, pool.Pass))
	require.Equal(t, []string{
		"blocked " + repeatableRun + " call",
		fmt.Sprintf("finished %s %d", repeatableRun, dispatch.RunSucceeded),
	}, fixture.coreEvents)
}

// After a possibly lost reply, no command is sent for an at-most-once run: neither supply nor suspend nor spawn. Its
// notice reports the outcome, or the run fails at its deadline.
func TestPossiblyLostReplyDoesNotRestartAtMostOnceRun(t *testing.T) {
	for _, noticed := range []bool{true, false} {
		fixture := newHarness(t)
		fixture.startBlockedRun(atMostOnceRun, true)
		fixture.backend.DeliverReply(atMostOnceRun, []byte("reply"))
		fixture.disconnect()
		require.Empty(t, fixture.reconnect(""))
		want := dispatch.RunFailed
		if noticed {
			want = dispatch.RunSucceeded
			fixture.receive(finished(2, atMostOnceRun, pool.Pass))
		}
		for fixture.now < 5*microtime.Second {
			fixture.now += microtime.Second
			fixture.backend.Check(fixture.now)
		}
		require.Equal(t, []string{fmt.Sprintf("finished %s %d", atMostOnceRun, want)}, fixture.coreEvents)
		require.NotContains(t, fixture.conn.Written, atMostOnceRun)
		require.Zero(t, fixture.backend.Status().Runs)
	}
}

// A reply that the pool is known to have read is not sent again, and its run is not restarted. The answer to a later
// poll or a later notice about the run proves that it was read. A reply without a connection is sent on the next one.
func TestReplyThatWasNotLost(t *testing.T) {
	for _, atMostOnce := range []bool{false, true} {
		fixture := newHarness(t)
		fixture.startBlockedRun(repeatableRun, atMostOnce)
		fixture.backend.DeliverReply(repeatableRun, []byte("reply"))
		fixture.backend.RequestGauges()
		fixture.receive("polled g\r\n")
		fixture.disconnect()
		require.Empty(t, fixture.reconnect(""), "the poll after the reply was answered")

		fixture = newHarness(t)
		fixture.startBlockedRun(repeatableRun, atMostOnce)
		fixture.backend.DeliverReply(repeatableRun, []byte("reply"))
		fixture.disconnect()
		nextCall := string(pool.AppendBlocked(nil, 2, repeatableRun, []byte("next")))
		require.Empty(t, fixture.reconnect(nextCall), "the run is in its next call")

		fixture = newHarness(t)
		fixture.startBlockedRun(repeatableRun, atMostOnce)
		fixture.disconnect()
		fixture.backend.DeliverReply(repeatableRun, []byte("reply"))
		require.Equal(t, "supply "+repeatableRun+" 5\r\nreply\r\n", fixture.reconnect(""), "the reply was not sent before")
	}
}

// A run that is cancelled while it is suspended for a restart is not restarted.
func TestCancelledRunIsNotRestarted(t *testing.T) {
	fixture := newHarness(t)
	fixture.startBlockedRun(repeatableRun, false)
	fixture.backend.DeliverReply(repeatableRun, []byte("reply"))
	fixture.disconnect()
	fixture.reconnect("")
	fixture.backend.Cancel(repeatableRun)
	require.NotContains(t, fixture.receive(finished(2, repeatableRun, pool.Killed)), "spawn")
	require.Equal(t, []string{fmt.Sprintf("finished %s %d", repeatableRun, dispatch.RunCancelled)}, fixture.coreEvents)
}

// A pending verification is requested again on the next connection. Without a connection the deep check fails after
// checkTimeout.
func TestDeepCheckSurvivesConnectionLoss(t *testing.T) {
	fixture := newHarness(t)
	var answers []bool
	verify := func() { fixture.backend.Verify(func(healthy bool) { answers = append(answers, healthy) }) }
	verify()
	require.Equal(t, "verify check1\r\n", fixture.conn.Written[strings.LastIndex(fixture.conn.Written, "verify"):])
	fixture.disconnect()
	verify()
	require.Equal(t, "verify check1\r\n", fixture.reconnect(""))
	require.Empty(t, answers)
	fixture.receive("verified check0 PASS\r\n")
	require.Empty(t, answers, "the outcome of another verification")
	fixture.receive("verified check1 PASS\r\n")
	require.Equal(t, []bool{true, true}, answers)

	fixture.disconnect()
	answers = nil
	verify()
	require.Equal(t, fixture.now+checkTimeout, fixture.backend.Check(fixture.now))
	fixture.now += checkTimeout
	fixture.backend.Check(fixture.now)
	require.Equal(t, []bool{false}, answers)
}
