package server

import (
	"encoding/binary"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// Guards the server, and every other caller, against clients that break the protocol, many at once: each gets the
// protocol's error or the end of its connection, leaves nothing behind, and costs no more memory than a message; whoever
// keeps to the protocol is served beside them and after them.
func TestBadClients(t *testing.T) {
	good := func(seq int32, id string) []byte {
		return thrift.AppendCall(nil, seq, []thrift.Field{{Name: "class", Value: "block-view"}, {Name: "id", Value: id}, {Name: "at", Value: "1000"},
			{Name: "from", Value: "4"}, {Name: "tenant", Value: "hill-estate"}, {Name: "kb", Value: "9"}, {Name: "rank", Value: "0.1"}}, []byte("b"))
	}
	changed := func(name, value string) []byte {
		fields := []thrift.Field{{Name: "class", Value: "block-view"}, {Name: "id", Value: "00000000000000e1"}, {Name: "at", Value: "1000"},
			{Name: "from", Value: "4"}, {Name: "tenant", Value: "hill-estate"}, {Name: "kb", Value: "9"}, {Name: "rank", Value: "0.1"}}
		for i := range fields {
			if fields[i].Name == name {
				fields[i].Value = value
			}
		}
		return thrift.AppendCall(nil, 1, fields, []byte("b"))
	}
	length := func(n uint32, rest string) []byte { return append(binary.BigEndian.AppendUint32(nil, n), rest...) }
	nested := "\x80\x01\x00\x01\x00\x00\x00\x07process\x00\x00\x00\x01" + strings.Repeat("\x0c\x00\x09", 200)
	for name, c := range map[string]struct {
		sent   []byte
		closed bool // at once; else an error, or nothing as long as more may come
		errors int
	}{
		"no length":                {length(0, "hello"), true, 0},
		"a length past any":        {length(1<<31, "hello"), true, 0},
		"all ones":                 {[]byte("\xff\xff\xff\xff\xff\xff\xff\xff"), true, 0},
		"another protocol":         {[]byte("GET /probe HTTP/1.1\r\nHost: n0\r\n\r\n"), true, 0},
		"a handshake of TLS":       {[]byte("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"), true, 0},
		"half a message":           {good(1, "00000000000000e1")[:60], false, 0},
		"half a length":            {[]byte("\x00\x00"), false, 0},
		"an old version":           {length(12, "\x00\x00\x00\x04ping\x01\x00\x00\x00"), true, 0},
		"an unknown method":        {length(20, "\x80\x01\x00\x01\x00\x00\x00\x07prosess\x00\x00\x00\x01\x00"[:20]), false, 1},
		"a string past the end":    {length(30, "\x80\x01\x00\x01\x00\x00\x00\x07process\x00\x00\x00\x01\x0b\x00\x02\x7f\xff\xff\xff\x00\x00\x00\x00"), false, 1},
		"a map past the end":       {length(33, "\x80\x01\x00\x01\x00\x00\x00\x07process\x00\x00\x00\x01\x0d\x00\x01\x0b\x0b\x7f\xff\xff\xff\x00\x00\x00\x01a\x00"), false, 1},
		"nested without end":       {length(uint32(len(nested)), nested), false, 1},
		"an unknown class":         {changed("class", "no-such"), false, 1},
		"an unknown tenant":        {changed("tenant", "nobody"), false, 1},
		"an id of other letters":   {changed("id", "00000000000000zz"), false, 1},
		"a number past any":        {changed("from", "99999999999999999999999"), false, 1},
		"memory past any":          {changed("kb", "2000"), false, 1},
		"memory of nothing":        {changed("kb", "0"), false, 1},
		"a rank past any":          {changed("rank", "1.5"), false, 1},
		"a time that is no time":   {changed("at", "yesterday"), false, 1},
		"a time far ahead":         {changed("at", "9999999999999"), false, 1},
		"a field of a megabyte":    {length(1<<20, "\x80\x01\x00\x01"), true, 0},
		"a sequence number reused": {append(good(1, "00000000000000e1"), good(1, "00000000000000e2")...), true, 1},
	} {
		l := newLinked(t)
		var bad []*fakeLink
		for range 50 {
			b := l.stage.connect("bad", 0)
			l.deliver(b, c.sent)
			bad = append(bad, b)
		}
		for _, b := range bad {
			require.Equal(t, c.closed, b.closed, name)
			require.LessOrEqual(t, len(b.in), thrift.MaxFrame, name)
			require.Equal(t, c.errors, strings.Count(string(b.out), "\x80\x01\x00\x03"), "%s: %q", name, b.out)
		}
		require.Contains(t, l.ask(view, "block-view", ""), "spawn "+view, name)
		l.tell("finished 1 " + view + " PASS 80 2\r\nok\r\n")
		require.Equal(t, map[int32]thrift.ReplyKind{1: thrift.ReplyAnswer}, l.replies(), name)
		for _, b := range bad {
			if b.session != nil {
				b.closed = true
				b.session.Closed()
				b.session = nil
			}
		}
		l.advance(l.now + 6*microtime.Second)
		require.Zero(t, l.srv.core.OpenRequests(), name)
		require.LessOrEqual(t, l.srv.clients.thrift.Len(), 1, name+": the good one alone, if it is still open")
	}
}
