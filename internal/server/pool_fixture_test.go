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

// poolFixture is a server with one client, and a worker pool that the test plays.
type poolFixture struct {
	*loopFixture
	client    *fakeConn
	pool      *fakeConn
	poolLinks int
	sequence  int32 // Of the client's last request.
}

func newPoolFixture(t *testing.T) *poolFixture {
	t.Helper()
	f := &poolFixture{loopFixture: newLoopFixture(t, config.AJP{})}
	f.connectClient("c1")
	f.connectPool("bound LOADED 0\r\n")
	return f
}

// connectClient opens a connection of a client's, on which requests come from then on.
func (f *poolFixture) connectClient(name string) {
	f.t.Helper()
	f.client, f.sequence = f.connect(name, ThriftListener), 0
}

// openPoolLink opens the next link to the pool, on which nothing has come yet.
func (f *poolFixture) openPoolLink() {
	f.t.Helper()
	f.poolLinks++
	f.pool = f.connect("pool", nextDialed)
	f.turn()
}

// connectPool opens the next link to the pool, which sends what was missed on it; it returns what the server then
// sends.
func (f *poolFixture) connectPool(missed string) string {
	f.t.Helper()
	f.openPoolLink()
	f.poolSends(missed)
	return f.poolSends("polled sync" + strconv.Itoa(f.poolLinks) + " 0 0 0 0\r\n")
}

// poolSends has the pool send something; it returns what the server sends it in that turn.
func (f *poolFixture) poolSends(text string) string {
	f.pool.out = nil
	f.deliver(f.pool, []byte(text))
	f.turn()
	return string(f.pool.out)
}

// breakPoolLink has the link break.
func (f *poolFixture) breakPoolLink() {
	f.pool.closed = true
	f.turn()
}

// submit sends a request with an attempt ID; it returns what the server sends to the pool in that turn.
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

// replyKinds are the kinds of the replies that the client has received since the last time, by sequence number.
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

// finishedNotice is the pool's notice that a run has ended well.
func finishedNotice(number int, id, result string) string {
	return fmt.Sprintf("finished %d %s PASS 8 %d\r\n%s\r\n", number, id, len(result), result)
}

// requireReplies requires that the client has received replies of one kind, to its first requests in any order.
func (f *poolFixture) requireReplies(kind thrift.ReplyKind, count int32) {
	f.t.Helper()
	want := map[int32]thrift.ReplyKind{}
	for sequence := range count {
		want[sequence+1] = kind
	}
	require.Equal(f.t, want, f.replyKinds())
}
