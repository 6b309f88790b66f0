package server

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// The attempt IDs of requests in the tests of the pool's link.
const (
	keyedID = "00000000000000a1"
	safeID  = "00000000000000b2"
)

// poolFixture is a server with one client and a link to a worker pool whose messages the test sends.
type poolFixture struct {
	*loopFixture
	client    *fakeConn
	pool      *fakeConn
	poolLinks int
	sequence  int32 // The sequence number of the client's last request.
}

func newPoolFixture(t *testing.T) *poolFixture {
	t.Helper()
	f := &poolFixture{loopFixture: newLoopFixture(t, config.AJP{})}
	f.connectClient("c1")
	f.connectPool("bound LOADED 0\r\n")
	return f
}

// connectClient opens a client's connection, on which submit sends from then on.
func (f *poolFixture) connectClient(name string) {
	f.t.Helper()
	f.client, f.sequence = f.connect(name, ThriftListener), 0
}

// openPoolLink opens the next link to the pool, on which the pool has sent nothing yet.
func (f *poolFixture) openPoolLink() {
	f.t.Helper()
	f.poolLinks++
	f.pool = f.connect("pool", nextDialed)
	f.turn()
}

// connectPool opens the next link to the pool, which first sends the given messages. It returns what the server sends
// once its first poll is answered.
func (f *poolFixture) connectPool(messages string) string {
	f.t.Helper()
	f.openPoolLink()
	f.poolSends(messages)
	return f.poolSends("polled sync" + strconv.Itoa(f.poolLinks) + " 0 0 0 0\r\n")
}

// poolSends sends text as the pool. It returns what the server sends to the pool in that turn.
func (f *poolFixture) poolSends(text string) string {
	f.pool.out = nil
	f.deliver(f.pool, []byte(text))
	f.turn()
	return string(f.pool.out)
}

// breakPoolLink closes the link to the pool.
func (f *poolFixture) breakPoolLink() {
	f.pool.closed = true
	f.turn()
}

// submit sends a request with an attempt ID. It returns what the server sends to the pool in that turn.
func (f *poolFixture) submit(id, class, idempotencyKey string) string {
	f.sequence++
	f.pool.out = nil
	fields := thriftFields(
		thrift.Field{Name: "class", Value: class},
		thrift.Field{Name: "id", Value: id},
		thrift.Field{Name: "at", Value: strconv.FormatInt(int64(f.now/microtime.Millisecond), 10)},
		thrift.Field{Name: "once", Value: idempotencyKey})
	f.deliver(f.client, thrift.AppendCall(nil, f.sequence, fields, []byte("b")))
	f.turn()
	return string(f.pool.out)
}

// replyKinds returns the kinds of the replies that the client has received since the last call, by sequence number.
func (f *poolFixture) replyKinds() map[int32]thrift.ReplyKind {
	f.t.Helper()
	kinds := map[int32]thrift.ReplyKind{}
	for in := f.client.out; len(in) > 0; {
		payload, n, err := thrift.SplitFrame(in)
		require.NoError(f.t, err)
		reply, err := thrift.DecodeReply(payload)
		require.NoError(f.t, err)
		if reply.Kind != thrift.ReplyFarewell {
			kinds[reply.SequenceID] = reply.Kind
		}
		in = in[n:]
	}
	f.client.out = nil
	return kinds
}

// finishedNotice returns the pool's notice that a run has succeeded.
func finishedNotice(number int, id, result string) string {
	return fmt.Sprintf("finished %d %s PASS 8 %d\r\n%s\r\n", number, id, len(result), result)
}

// requireReplies requires that the client has received exactly one reply, of the given kind, to each of its first count
// requests, in any order.
func (f *poolFixture) requireReplies(kind thrift.ReplyKind, count int32) {
	f.t.Helper()
	want := map[int32]thrift.ReplyKind{}
	for sequence := range count {
		want[sequence+1] = kind
	}
	require.Equal(f.t, want, f.replyKinds())
}
