package upstream

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/peers"
	"pewterline/internal/protocol/thrift"
)

func TestNewReportsInvalidConfig(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"load balancer": func(c *Config) { c.LoadBalancer.SlowStartShare = 2 },
		"retries":       func(c *Config) { c.Retries.MaxAttempts = 99 },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := Config{}
			cfg.Settings.Classes = classes()
			change(&cfg)
			_, err := New(cfg, &harness{}, t.Logf)
			var configError *loadbalancer.ConfigError
			require.ErrorAs(t, err, &configError)
		})
	}
}

// A run is forwarded with the caller ID of this instance, and its answer is reported to the core.
func TestRunIsForwarded(t *testing.T) {
	edge := newHarness(t, nil, "n1")
	edge.start("a", keyedClass, "k1")
	conn, address := edge.accept()
	require.Equal(t, "n1", address)
	call := conn.oneCall()
	require.Equal(t, thrift.MethodProcess, call.Method)
	require.Equal(t, "body of a", string(call.Body))
	require.Equal(t, map[string]string{
		"class":  "keyed",
		"id":     "a",
		"at":     "10000",
		"from":   "7",
		"kb":     "20",
		"rank":   "0.2500",
		"tenant": "second",
		"once":   "k1",
	}, call.Fields)
	require.False(t, conn.session.Idle())
	conn.answer(call.SequenceID, "done")
	edge.requireFinished(finishedRun{"a", dispatch.RunSucceeded, "done"})
	require.True(t, conn.session.Idle())
	edge.requireNoRuns()
}

// recordedCall is the call of TestRecordedCall in hexadecimal.
const recordedCall = "" +
	"000000df800100010000000770726f63657373000000010d00010b0b0000000b00000005636c617373000000056b65796564" +
	"00000002696400000010303030303030303030303030303030310000000261740000000531303030300000000466726f6d00" +
	"00000137000000026b620000000432302e350000000472616e6b00000006302e313233350000000674656e616e7400000006" +
	"7365636f6e640000000572657472790000000131000000046f6e6365000000026b3100000004636f737400000005312e3233" +
	"34000000036b657900000004626565660b0002000000036c6f7400"

// Guards the encoding of all fields of a call against changes: it must equal bytes recorded from an earlier version of
// the program.
func TestRecordedCall(t *testing.T) {
	edge := newHarness(t, nil, "n1")
	edge.backend.Start(dispatch.Run{ID: "0000000000000001", Body: []byte("lot"), Request: &dispatch.Request{
		Class: keyedClass, Tenant: 1, IdempotencyKey: "k1", SubjectKey: 0xbeef, ArrivedAt: edge.now, CostHint: 1234,
		QueuedKB: 20.5, Rank: 0.123456, Retry: true, CallerID: 3,
	}})
	conn, _ := edge.accept()
	require.Equal(t, recordedCall, hex.EncodeToString(conn.written))
}

// Requests share a connection up to maxInFlight. Beyond that another connection is opened.
func TestConnectionsHaveLimitedCapacity(t *testing.T) {
	edge := newHarness(t, func(c *Config) { c.LoadBalancer.InitialConcurrency = 100 }, "n1")
	for i := range maxInFlight {
		edge.start(fmt.Sprint(i), writeClass, "")
	}
	require.Len(t, edge.dials, 1)
	edge.start("one more", writeClass, "")
	require.Len(t, edge.dials, 2)
	first, _ := edge.accept()
	second, _ := edge.accept()
	require.Len(t, first.calls(), maxInFlight)
	require.Equal(t, "one more", second.oneCall().Fields["id"])
}

// A run for which no endpoint is available is declined by the next Check, never by Start.
func TestRunIsDeclinedWithoutEndpoint(t *testing.T) {
	edge := newHarness(t, nil)
	edge.start("a", readClass, "")
	require.Empty(t, edge.declined)
	require.Equal(t, edge.now, edge.backend.Check(edge.now), "Check is due again at once")
	require.Equal(t, []declinedRun{{"a", minRetryAfter, false}}, edge.declined)
	edge.requireNoRuns()
}

// While MaxKeys keys are retained, runs with a new key are declined.
func TestRunIsDeclinedBeyondMaxKeys(t *testing.T) {
	edge := newHarness(t, func(c *Config) { c.Retries.MaxKeys = 1 }, "n1")
	edge.start("a", keyedClass, "k1")
	edge.accept()
	edge.start("b", keyedClass, "k2")
	edge.backend.Check(edge.now)
	require.Equal(t, []declinedRun{{"b", minRetryAfter, false}}, edge.declined)
}

// At its deadline a run ends, its attempt is abandoned, and the endpoint is notified.
func TestDeadline(t *testing.T) {
	for name, tc := range map[string]struct {
		class   int
		outcome dispatch.RunOutcome
	}{
		"idempotent":     {readClass, dispatch.RunFailed},
		"keyed":          {keyedClass, dispatch.RunIndeterminate},
		"not idempotent": {writeClass, dispatch.RunFailed},
	} {
		t.Run(name, func(t *testing.T) {
			edge := newHarness(t, nil, "n1")
			edge.start("a", tc.class, "k")
			conn, _ := edge.accept()
			call := conn.oneCall()
			deadline := edge.now + 4*microtime.Second
			require.Equal(t, deadline, edge.backend.Check(edge.now))
			edge.now = deadline
			edge.backend.Check(edge.now)
			edge.requireFinished(finishedRun{"a", tc.outcome, ""})
			abandoned := conn.oneCall()
			require.Equal(t, thrift.MethodGiveUp, abandoned.Method)
			require.Equal(t, call.SequenceID, abandoned.CancelledID)
			conn.answer(call.SequenceID, "too late")
			require.Empty(t, edge.finished)
			require.Equal(t, 1, edge.backend.WastedAttempts())
			edge.requireNoRuns()
		})
	}
}

// A cancelled run ends at once. If it is keyed and was written, its outcome is indeterminate, and repeats are sent only
// to the same endpoint.
func TestCancel(t *testing.T) {
	edge := newHarness(t, nil, "n1", "n2")
	edge.start("waiting", readClass, "")
	edge.backend.Cancel("waiting")
	edge.requireFinished(finishedRun{"waiting", dispatch.RunCancelled, ""})
	conn, _ := edge.accept()
	require.Empty(t, conn.written, "the cancelled run was never written")

	edge.start("a", keyedClass, "k1")
	stickyConn := conn
	if len(edge.dials) > 0 {
		stickyConn, _ = edge.accept()
	}
	require.Equal(t, "a", stickyConn.oneCall().Fields["id"])
	edge.backend.Cancel("a")
	edge.requireFinished(finishedRun{"a", dispatch.RunIndeterminate, ""})
	require.Equal(t, thrift.MethodGiveUp, stickyConn.oneCall().Method)
	edge.backend.Cancel("a") // has no effect: the run has ended
	require.Empty(t, edge.finished)

	for i := range 4 {
		edge.start(fmt.Sprint(i), keyedClass, "k1")
		require.Empty(t, edge.dials)
		require.Len(t, stickyConn.calls(), 1)
	}
}

// The answer to a cancelled attempt is not read, so the outcome of its key stays indeterminate even if a repeat of the
// request fails.
func TestCancelledKeyStaysIndeterminate(t *testing.T) {
	h := newHarness(t, nil, "n1", "n2")
	h.start("a", keyedClass, "k1")
	conn, _ := h.accept()
	require.Len(t, conn.calls(), 1)
	h.backend.Cancel("a")
	require.Len(t, conn.calls(), 1)
	h.start("b", keyedClass, "k1")
	conn.receive(thrift.AppendBroken(nil, conn.oneCall().SequenceID, nil))
	h.requireFinished(finishedRun{"a", dispatch.RunIndeterminate, ""}, finishedRun{"b", dispatch.RunIndeterminate, ""})
}

// An instance with peers delays its first runs until the first gossip exchange, but only for a limited time.
func TestFirstRunsAwaitGossip(t *testing.T) {
	edge := newHarness(t, func(c *Config) { c.GossipPeers = []string{"peer"} }, "n1")
	require.IsType(t, &peers.Exchange{}, edge.backend.Exchange())
	edge.start("a", readClass, "")
	require.Empty(t, edge.dials)
	edge.backend.Check(edge.now)
	require.Equal(t, "peer", edge.nextDial().address)
	require.Empty(t, edge.dials)
	edge.now += microtime.Second
	edge.backend.Check(edge.now)
	_, address := edge.accept()
	require.Equal(t, "n1", address)
}
