package server

import (
	"encoding/binary"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// Clients that break the protocol, many at once, harm neither the server nor other clients. Each gets the protocol's
// error or the end of its connection, leaves nothing behind, and costs no more memory than a message; whoever keeps to
// the protocol is served beside them and after them.
func TestMalformedClients(t *testing.T) {
	call := func(sequence int32, id string) []byte {
		return thrift.AppendCall(nil, sequence, thriftFields(thrift.Field{Name: "id", Value: id}), []byte("b"))
	}
	with := func(name, value string) []byte {
		return thrift.AppendCall(nil, 1, thriftFields(thrift.Field{Name: name, Value: value}), []byte("b"))
	}
	frame := func(size uint32, rest string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, size), rest...)
	}
	const (
		id          = "00000000000000e1"
		processHead = "\x80\x01\x00\x01\x00\x00\x00\x07process\x00\x00\x00\x01"
		mapHead     = "\x0d\x00\x01\x0b\x0b"
		nextLength  = "\x7f\xff\xff\xff"
	)
	nested := processHead + strings.Repeat("\x0c\x00\x09", 200)
	for name, tc := range map[string]struct {
		sent   []byte
		closed bool // At once; if not, an error, or nothing as long as more may come.
		errors int
	}{
		"no length":                {frame(0, "hello"), true, 0},
		"a length past any":        {frame(1<<31, "hello"), true, 0},
		"all ones":                 {[]byte("\xff\xff\xff\xff\xff\xff\xff\xff"), true, 0},
		"another protocol":         {[]byte("GET /probe HTTP/1.1\r\nHost: n0\r\n\r\n"), true, 0},
		"a handshake of TLS":       {[]byte("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"), true, 0},
		"half a message":           {call(1, id)[:60], false, 0},
		"half a length":            {[]byte("\x00\x00"), false, 0},
		"an old version":           {frame(12, "\x00\x00\x00\x04ping\x01\x00\x00\x00"), true, 0},
		"an unknown method":        {frame(20, "\x80\x01\x00\x01\x00\x00\x00\x07prosess\x00\x00\x00\x01\x00"[:20]), false, 1},
		"a string past the end":    {frame(30, processHead+"\x0b\x00\x02"+nextLength+"\x00\x00\x00\x00"), false, 1},
		"a map past the end":       {frame(33, processHead+mapHead+nextLength+"\x00\x00\x00\x01a\x00"), false, 1},
		"nested without end":       {frame(uint32(len(nested)), nested), false, 1},
		"an unknown class":         {with("class", "no-such"), false, 1},
		"an unknown tenant":        {with("tenant", "nobody"), false, 1},
		"an id of other letters":   {with("id", "00000000000000zz"), false, 1},
		"a number past any":        {with("from", "99999999999999999999999"), false, 1},
		"memory past any":          {with("kb", "2000"), false, 1},
		"memory of nothing":        {with("kb", "0"), false, 1},
		"a rank past any":          {with("rank", "1.5"), false, 1},
		"a time that is no time":   {with("at", "yesterday"), false, 1},
		"a time far ahead":         {with("at", "9999999999999"), false, 1},
		"a field of a megabyte":    {frame(1<<20, "\x80\x01\x00\x01"), true, 0},
		"a sequence number reused": {append(call(1, id), call(1, "00000000000000e2")...), true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newPoolFixture(t)
			var malformed []*fakeConn
			for range 50 {
				conn := fixture.connect("bad", ThriftListener)
				fixture.deliver(conn, tc.sent)
				malformed = append(malformed, conn)
			}
			for _, conn := range malformed {
				require.Equal(t, tc.closed, conn.closed)
				require.LessOrEqual(t, len(conn.in), thrift.MaxFrame)
				require.Equal(t, tc.errors, strings.Count(string(conn.out), "\x80\x01\x00\x03"), "%q", conn.out)
			}
			require.Contains(t, fixture.submit(safeID, "block-view", ""), "spawn "+safeID)
			fixture.poolSends(finishedNotice(1, safeID, "ok"))
			fixture.requireReplies(thrift.ReplyAnswer, 1)
			for _, conn := range malformed {
				if conn.session != nil {
					conn.closed = true
					conn.session.Closed()
					conn.session = nil
				}
			}
			fixture.advance(fixture.now + 6*microtime.Second)
			require.Zero(t, fixture.srv.core.OpenRequests())
			require.LessOrEqual(t, fixture.srv.clients.thrift.Len(), 1, "the valid client's, if it is still open")
		})
	}
}
