package server

import (
	"encoding/binary"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// Many clients that violate the protocol at the same time harm neither the server nor other clients. The server replies
// to each with a protocol error or closes its connection, and buffers at most one message of it. Once a client has
// disconnected, none of its requests and sessions remain. A valid client is served at the same time.
func TestMalformedClients(t *testing.T) {
	call := func(sequence int32, id string) []byte {
		return thrift.AppendCall(nil, sequence, thriftFields(thrift.Field{Name: "id", Value: id}), []byte("b"))
	}
	callWith := func(name, value string) []byte {
		return thrift.AppendCall(nil, 1, thriftFields(thrift.Field{Name: name, Value: value}), []byte("b"))
	}
	frame := func(size uint32, rest string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, size), rest...)
	}
	const (
		id          = "00000000000000e1"
		processHead = "\x80\x01\x00\x01\x00\x00\x00\x07process\x00\x00\x00\x01"
		mapHead     = "\x0d\x00\x01\x0b\x0b"
		maxLength   = "\x7f\xff\xff\xff"
	)
	nested := processHead + strings.Repeat("\x0c\x00\x09", 200)
	for name, tc := range map[string]struct {
		sent   []byte
		closed bool // closed at once; if false, the client gets error replies, or waits as its message is incomplete
		errors int  // number of error replies to each client
	}{
		"zero length":             {frame(0, "hello"), true, 0},
		"length out of range":     {frame(1<<31, "hello"), true, 0},
		"all bits set":            {[]byte("\xff\xff\xff\xff\xff\xff\xff\xff"), true, 0},
		"HTTP request":            {[]byte("GET /probe HTTP/1.1\r\nHost: n0\r\n\r\n"), true, 0},
		"TLS handshake":           {[]byte("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"), true, 0},
		"incomplete message":      {call(1, id)[:60], false, 0},
		"incomplete length":       {[]byte("\x00\x00"), false, 0},
		"old version":             {frame(12, "\x00\x00\x00\x04ping\x01\x00\x00\x00"), true, 0},
		"unknown method":          {frame(20, "\x80\x01\x00\x01\x00\x00\x00\x07prosess\x00\x00\x00\x01\x00"[:20]), false, 1},
		"string beyond the frame": {frame(30, processHead+"\x0b\x00\x02"+maxLength+"\x00\x00\x00\x00"), false, 1},
		"map beyond the frame":    {frame(33, processHead+mapHead+maxLength+"\x00\x00\x00\x01a\x00"), false, 1},
		"unterminated nesting":    {frame(uint32(len(nested)), nested), false, 1},
		"unknown class":           {callWith("class", "no-such"), false, 1},
		"unknown tenant":          {callWith("tenant", "no-such"), false, 1},
		"non-hexadecimal ID":      {callWith("id", "00000000000000zz"), false, 1},
		"number out of range":     {callWith("from", "99999999999999999999999"), false, 1},
		"memory out of range":     {callWith("kb", "2000"), false, 1},
		"zero memory":             {callWith("kb", "0"), false, 1},
		"rank out of range":       {callWith("rank", "1.5"), false, 1},
		"invalid time":            {callWith("at", "yesterday"), false, 1},
		"time in the far future":  {callWith("at", "9999999999999"), false, 1},
		"frame of one MiB":        {frame(1<<20, "\x80\x01\x00\x01"), true, 0},
		"reused sequence number":  {append(call(1, id), call(1, "00000000000000e2")...), true, 1},
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
			require.LessOrEqual(t, fixture.srv.clients.thrift.Len(), 1, "only the valid client's session may be left")
		})
	}
}
