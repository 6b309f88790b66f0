package server

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// poolFixture is a server with one caller, and a worker pool that the test plays.
type poolFixture struct {
	*loopFixture
	caller, pool *fakeConn
	poolLinks    int
	seq          int32
}

func newPoolFixture(t *testing.T) *poolFixture {
	l := &poolFixture{loopFixture: newLoopFixture(t, config.AJP{})}
	l.caller = l.loopFixture.connect("c1", 0)
	l.connectPool("bound LOADED 0\r\n")
	return l
}

// connectPool opens the next link to the pool, which tells what was missed on it; it returns what the server then sends.
func (l *poolFixture) connectPool(missed string) string {
	l.poolLinks++
	l.pool = l.loopFixture.connect("pool", -1)
	l.turn()
	l.poolSends(missed)
	return l.poolSends("polled sync" + strconv.Itoa(l.poolLinks) + " 0 0 0 0\r\n")
}

// poolSends has the pool say something; it returns what the server sends it in that turn.
func (l *poolFixture) poolSends(text string) string {
	l.pool.out = nil
	l.deliver(l.pool, []byte(text))
	l.turn()
	return string(l.pool.out)
}

// submit sends a request under an id; it returns what the server sends to the pool.
func (l *poolFixture) submit(id, class, once string) string {
	l.seq++
	l.pool.out = nil
	at := strconv.FormatInt(int64(l.now/microtime.Millisecond), 10)
	l.deliver(l.caller, thrift.AppendCall(nil, l.seq, []thrift.Field{{Name: "class", Value: class}, {Name: "id", Value: id}, {Name: "at", Value: at},
		{Name: "from", Value: "4"}, {Name: "tenant", Value: "hill-estate"}, {Name: "kb", Value: "9"}, {Name: "rank", Value: "0.1"},
		{Name: "once", Value: once}}, []byte("b")))
	l.turn()
	return string(l.pool.out)
}

// breakPoolLink has the link break.
func (l *poolFixture) breakPoolLink() {
	l.pool.closed = true
	l.turn()
}

// replyKinds are the kinds of answer that the caller has got since the last time, by number.
func (l *poolFixture) replyKinds() map[int32]thrift.ReplyKind {
	out := map[int32]thrift.ReplyKind{}
	for in := l.caller.out; len(in) > 0; {
		payload, n, err := thrift.SplitFrame(in)
		require.NoError(l.t, err)
		p, err := thrift.DecodeReply(payload)
		require.NoError(l.t, err)
		if p.Kind != thrift.ReplyFarewell {
			out[p.SequenceID] = p.Kind
		}
		in = in[n:]
	}
	l.caller.out = nil
	return out
}

const (
	intakeID = "00000000000000a1"
	viewID   = "00000000000000b2"
)
