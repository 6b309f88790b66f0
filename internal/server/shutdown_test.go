package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// Guards the requests that lie in the accept queue as the program comes to its end: the system has taken them, so that they are the
// log server's. They come while the loop stands in the turn in which the last that was read has been answered.
func TestShutdownAnswersAcceptQueue(t *testing.T) {
	h := newSocketFixture(t, nil)
	p := h.servedProxy()
	require.NoError(t, p.conn.Close())
	h.onLoop(func() { h.srv.Drain(h.Now()) })
	for h.proxyConnections() > 0 { // its close may not have been read yet
	}
	h.advanceClock(microtime.FromDuration(h.srv.cfg.Settings.DrainGrace) + microtime.Millisecond)
	var late []*clientConn
	h.onLoop(func() {
		for range 5 {
			p := h.dialProxy()
			h.submit(p, "lot-update", "")
			late = append(late, p)
		}
	})
	for _, p := range late {
		require.Equal(t, thrift.ReplyFarewell, nextReply(p).Kind)
		require.Equal(t, thrift.ReplyThrottled, nextReply(p).Kind, "a request that came at the end never ran")
		require.NoError(t, p.conn.Close())
	}
	h.requireEnd()
	require.Empty(t, h.pool.started)
}

// Guards the last answers: a request that comes as the program ends, on a connection that outstays its farewell, finds an end
// and no reset, behind the answer to what was read. The time to stop is reached in the turn in which the answer is written.
func TestRequestCrossesShutdown(t *testing.T) {
	h := newSocketFixture(t, nil)
	p := h.dialProxy()
	id := h.submit(p, "lot-update", "")
	require.Equal(t, id, <-h.pool.started)
	h.onLoop(func() { h.srv.Drain(h.Now()) })
	h.advanceClock(h.srv.cfg.ShutdownTimeout)
	h.onLoop(func() { // the last turn: the run is not over, and the proxy asks for more
		h.submit(p, "lot-update", "")
	})
	require.Equal(t, thrift.ReplyBroken, nextReply(p).Kind)
	require.Equal(t, thrift.ReplyFarewell, nextReply(p).Kind)
	requireEOF(p)
	require.NoError(t, p.conn.Close())
	h.requireEnd()
}

// Guards the limit of a drain against a program that comes to the notice late, as one does that was starting: what is read over 2.5 s
// after it came does not run, though the program has only just heard of it.
func TestDrainCountsFromNotice(t *testing.T) {
	h := newSocketFixture(t, nil)
	at := h.Now()
	h.advanceClock(microtime.FromDuration(h.srv.cfg.Settings.DrainGrace) + microtime.Millisecond)
	p := h.dialProxy()
	h.onLoop(func() {
		h.srv.Drain(at)
		h.submit(p, "lot-update", "")
	})
	require.ElementsMatch(t, []thrift.ReplyKind{thrift.ReplyFarewell, thrift.ReplyThrottled}, []thrift.ReplyKind{nextReply(p).Kind, nextReply(p).Kind})
	require.NoError(t, p.conn.Close())
	h.requireEnd()
	require.Empty(t, h.pool.started)
}

// Guards the limit of a drain against a file that is read during it and gives more time.
func TestReloadDoesNotExtendDrain(t *testing.T) {
	h := newSocketFixture(t, nil)
	p := h.servedProxy()
	h.onLoop(func() {
		h.srv.Drain(h.Now())
		next := h.srv.cfg
		next.Settings.DrainGrace *= 10
		next.PoolAddress = h.pool.listener.Addr().String()
		require.NoError(t, h.srv.Reload(next))
	})
	h.advanceClock(microtime.FromDuration(2500*time.Millisecond) + microtime.Millisecond)
	h.onLoop(func() { h.submit(p, "lot-update", "") })
	require.ElementsMatch(t, []thrift.ReplyKind{thrift.ReplyFarewell, thrift.ReplyThrottled}, []thrift.ReplyKind{nextReply(p).Kind, nextReply(p).Kind})
	require.NoError(t, p.conn.Close())
	h.requireEnd()
	require.Empty(t, h.pool.started)
}
