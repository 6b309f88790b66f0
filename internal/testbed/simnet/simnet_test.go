package simnet

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// recorder is a Handler that records the bytes that arrive at one end of a stream, and how the stream ends.
type recorder struct {
	clock     *Clock
	text      string
	ends      []string
	staysOpen bool // does not close when its peer does
}

func (h *recorder) record(end string) {
	h.ends = append(h.ends, end)
}
func (h *recorder) Received(_ *Stream, p []byte) { h.text += string(p) }
func (h *recorder) EOF(stream *Stream) {
	h.record("eof")
	if !h.staysOpen {
		stream.Close()
	}
}
func (h *recorder) Reset(*Stream) { h.record("gone") }

// nodePair is a pair of nodes with one connection from the client to the server.
type nodePair struct {
	clock          *Clock
	net            *Net
	client, server *Node
	near           *Stream // the client's end of the connection
	far            *Stream // the server's end

	nearHandler, farHandler *recorder
	openedAt                microtime.Time // since Start
	dialErr                 error
}

func newNodePair(t *testing.T, quality Quality) *nodePair {
	pair := &nodePair{clock: NewClock(1)}
	pair.net = NewNet(pair.clock, quality)
	pair.client, pair.server = pair.net.Node("a"), pair.net.Node("b")
	pair.client.Boot()
	pair.server.Boot()
	pair.nearHandler, pair.farHandler = &recorder{clock: pair.clock}, &recorder{clock: pair.clock}
	_, err := pair.server.Listen("b/x", Listener{Accept: func(s *Stream) Handler { pair.far = s; return pair.farHandler }})
	require.NoError(t, err)
	pair.client.Dial("b/x", func(stream *Stream, err error) {
		pair.near, pair.openedAt = stream, pair.clock.Since()
		pair.dialErr = err
		stream.SetHandler(pair.nearHandler)
	})
	pair.clock.Run(Start + microtime.Second)
	require.NoError(t, pair.dialErr)
	return pair
}

// advance runs the simulation for a duration.
func (p *nodePair) advance(duration microtime.Time) { p.clock.Run(p.clock.Now() + duration) }

func TestStreamLatencyAndBandwidth(t *testing.T) {
	pair := newNodePair(t, Quality{Latency: 10 * microtime.Millisecond, Bandwidth: 1000})
	require.Equal(t, 20*microtime.Millisecond, pair.openedAt, "round trip")
	pair.near.Write([]byte(strings.Repeat("x", 100)))
	pair.advance(109 * microtime.Millisecond)
	require.Empty(t, pair.farHandler.text)
	pair.advance(microtime.Millisecond)
	require.Len(t, pair.farHandler.text, 100)
}

func TestStalledPathLosesNothingAndKeepsOrder(t *testing.T) {
	pair := newNodePair(t, Quality{Latency: microtime.Millisecond})
	pair.net.Path("b", "a").StalledUntil = pair.clock.Now() + 20*microtime.Second
	pair.near.Write([]byte("one "))
	pair.advance(5 * microtime.Second)
	pair.near.Write([]byte("two"))
	pair.advance(14 * microtime.Second)
	require.Empty(t, pair.farHandler.text)
	pair.advance(2 * microtime.Second)
	require.Equal(t, "one two", pair.farHandler.text)
}

func TestCutAtAnyByte(t *testing.T) {
	for cut := range 8 {
		pair := newNodePair(t, Quality{Latency: microtime.Millisecond})
		pair.near.CutAfter(cut)
		pair.near.Write([]byte("abcdefghij"))
		pair.advance(microtime.Second)
		require.Equal(t, "abcdefghij"[:cut], pair.farHandler.text)
		require.Equal(t, []string{"gone"}, pair.farHandler.ends)
		require.Equal(t, []string{"gone"}, pair.nearHandler.ends)
		require.Zero(t, pair.client.OpenConnections()+pair.server.OpenConnections())
	}
}

func TestHalfClosedStreamStillReads(t *testing.T) {
	pair := newNodePair(t, Quality{Latency: microtime.Millisecond})
	pair.farHandler.staysOpen = true
	pair.near.Write([]byte("ask"))
	pair.near.CloseWrite()
	pair.advance(10 * microtime.Millisecond)
	require.Equal(t, []string{"eof"}, pair.farHandler.ends)
	pair.far.Write([]byte("answer"))
	pair.advance(10 * microtime.Millisecond)
	require.Equal(t, "answer", pair.nearHandler.text)
}

func TestCloseWithUnreadBytesResets(t *testing.T) {
	pair := newNodePair(t, Quality{Latency: microtime.Millisecond})
	pair.far.PauseReading(true)
	pair.near.Write([]byte("unread"))
	pair.advance(10 * microtime.Millisecond)
	pair.far.Close()
	pair.advance(10 * microtime.Millisecond)
	require.Equal(t, []string{"gone"}, pair.nearHandler.ends)
}

// While the reader is paused the sender buffers what exceeds the send window; when reading resumes, all bytes arrive.
func TestPausedReaderBlocksTheSender(t *testing.T) {
	pair := newNodePair(t, Quality{Latency: microtime.Millisecond})
	pair.far.PauseReading(true)
	pair.near.Write(make([]byte, 3*sendWindow))
	pair.advance(microtime.Second)
	require.Equal(t, 2*sendWindow, pair.near.Unsent())
	pair.far.PauseReading(false)
	pair.near.Close()
	pair.advance(microtime.Second)
	require.Len(t, pair.farHandler.text, 3*sendWindow)
	require.Equal(t, []string{"eof"}, pair.farHandler.ends)
}

func TestConnectsAreRefusedOrTimeOut(t *testing.T) {
	pair := newNodePair(t, Quality{Latency: microtime.Millisecond})
	results := map[string]error{}
	dial := func(addr string) {
		pair.client.Dial(addr, func(_ *Stream, err error) { results[addr] = err })
		pair.advance(1100 * microtime.Millisecond)
	}
	dial("b/nobody")
	dial("nowhere/x")
	pair.net.Path("a", "b").LostUntil = pair.clock.Now() + microtime.Second
	dial("b/x")
	require.Equal(t, map[string]error{"b/nobody": ErrRefused, "nowhere/x": ErrTimeout, "b/x": ErrTimeout}, results)
}

// A connection above the node's limit waits in the backlog. Bytes that were sent on it are reported as arrived once it
// is accepted.
func TestConnectionAboveTheLimitWaitsInTheBacklog(t *testing.T) {
	pair := newNodePair(t, Quality{Latency: microtime.Millisecond})
	arrived := 0
	pair.net.Tap = func(event Event) {
		if event.Kind == Arrived && event.Node == "b" {
			arrived++
		}
	}
	pair.server.SetMaxConnections(1)
	first := pair.near
	pair.client.Dial("b/x", func(stream *Stream, _ error) { stream.Write([]byte("patience")) })
	pair.advance(microtime.Second)
	require.Zero(t, arrived)
	first.Close()
	pair.advance(microtime.Second)
	require.Equal(t, 1, arrived)
	require.Contains(t, pair.farHandler.text, "patience")
}

func TestKilledProcessEndsStreamsAndLostMachineDoesNot(t *testing.T) {
	pair := newNodePair(t, Quality{Latency: microtime.Millisecond})
	pair.server.Kill(false)
	pair.advance(10 * microtime.Millisecond)
	require.Equal(t, []string{"eof"}, pair.nearHandler.ends)

	pair = newNodePair(t, Quality{Latency: microtime.Millisecond})
	pair.server.Kill(true)
	pair.near.Write([]byte("anybody?"))
	pair.advance(10 * microtime.Second)
	require.Empty(t, pair.nearHandler.ends, "a lost machine sends nothing")
}

func TestDatagramsAreLostAndDuplicated(t *testing.T) {
	pair := newNodePair(t, Quality{Latency: microtime.Millisecond})
	received := 0
	_, err := pair.server.Listen("b/d", Listener{Datagram: func(string, []byte) { received++ }})
	require.NoError(t, err)
	count := func(loss, duplicate float64) int {
		received = 0
		path := pair.net.Path("a", "b")
		path.Loss, path.Duplicate = loss, duplicate
		for range 1000 {
			pair.client.SendDatagram("b/d", []byte("x"))
		}
		pair.advance(microtime.Second)
		return received
	}
	require.Equal(t, 1000, count(0, 0))
	require.Equal(t, 2000, count(0, 1))
	require.Zero(t, count(1, 0))
	require.InDelta(t, 700, count(0.3, 0), 60)
}

// Events of the same time run in the order in which they were scheduled, and a stopped event does not run.
func TestOrderOfEvents(t *testing.T) {
	clock := NewClock(1)
	var order []int
	for i := range 100 {
		timer := clock.At(Start+microtime.Time(i%3)*microtime.Second, func() { order = append(order, i) })
		if i%10 == 9 {
			timer.Stop()
		}
	}
	clock.Run(Start + microtime.Time(10)*microtime.Second)
	require.Len(t, order, 90)
	for i := 1; i < len(order); i++ {
		require.True(t, order[i-1]%3 < order[i]%3 || order[i-1]%3 == order[i]%3 && order[i-1] < order[i])
	}
}

func TestWallClockWithOffset(t *testing.T) {
	for _, offset := range []microtime.Time{0, microtime.Second, -3 * microtime.Second} {
		clock := WallClock{Offset: offset}
		at := Start + 1234*microtime.Millisecond
		require.Equal(t, at, clock.FromUnixMilli(clock.UnixMilli(at)))
		require.Equal(t, int64(unixStart)+1234+int64(offset/microtime.Millisecond), clock.UnixMilli(at))
	}
}
