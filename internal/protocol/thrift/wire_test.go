package thrift

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards the parser against whatever bytes come: no panic, nothing taken that was not there, and a message that
// is answerable has its sequence number.
func FuzzDecode(f *testing.F) {
	f.Add(AppendCall(nil, 7, []Field{{"class", "block-view"}}, []byte("body")))
	f.Add(AppendFarewell(nil))
	f.Add(AppendException(nil, "x", 1, ExceptionUnknownMethod, "text"))
	f.Add([]byte{0, 0, 0, 1, 0x80})
	f.Add([]byte("\x00\x00\x00\x1f\x80\x01\x00\x01\x00\x00\x00\x05prune\x00\x00\x00\x04\x0f\x00\x01\x0f\x7f\xff\xff\xff\x0f\x00"))
	f.Fuzz(func(t *testing.T, in []byte) {
		payload, n, err := SplitFrame(in)
		if err != nil || payload == nil {
			require.Zero(t, n)
			return
		}
		require.LessOrEqual(t, n, len(in))
		m, _, err := DecodeCall(payload)
		if err == nil {
			require.LessOrEqual(t, len(m.Body), len(payload))
		}
	})
}

// Guards against counts and nesting made up to hold the loop: a list of 2^31 lists that each take no byte, and
// structs in structs.
func TestSkipIsBounded(t *testing.T) {
	deep := []byte("\x80\x01\x00\x01\x00\x00\x00\x01x\x00\x00\x00\x01")
	for range 64 {
		deep = append(deep, typeStruct, 0, 1)
	}
	wide := append([]byte("\x80\x01\x00\x01\x00\x00\x00\x05probe\x00\x00\x00\x01"), typeList, 0, 9, typeStop, 0x7f, 0xff, 0xff, 0xff)
	for _, in := range [][]byte{append([]byte("\x80\x01\x00\x01\x00\x00\x00\x05probe\x00\x00\x00\x01"), deep[13:]...), wide} {
		_, answerable, err := DecodeCall(in)
		require.Error(t, err)
		require.True(t, answerable)
	}
}

// What the server writes, a caller reads back; what is cut short anywhere is an error, and never a panic.
func TestRepliesReadBack(t *testing.T) {
	fields := []Field{{"after", "250"}, {"last", "1"}}
	for _, c := range []struct {
		frame []byte
		want  Reply
	}{
		{AppendAnswer(nil, "process", 7, []byte("result"), fields, true), Reply{Kind: ReplyAnswer, MethodName: "process", SequenceID: 7, Body: []byte("result"),
			Fields: map[string]string{"after": "250", "last": "1"}, Good: true}},
		{AppendThrottled(nil, 8, fields), Reply{Kind: ReplyThrottled, MethodName: "process", SequenceID: 8, Fields: map[string]string{"after": "250", "last": "1"}}},
		{AppendBroken(nil, 9, nil), Reply{Kind: ReplyBroken, MethodName: "process", SequenceID: 9, Fields: map[string]string{}}},
		{AppendException(nil, "process", 10, ExceptionProtocolError, "what?"), Reply{Kind: ReplyException, MethodName: "process", SequenceID: 10, Text: "what?"}},
		{AppendFarewell(nil), Reply{Kind: ReplyFarewell, MethodName: "farewell"}},
	} {
		got, err := DecodeReply(c.frame[4:])
		require.NoError(t, err)
		require.Equal(t, c.want, got)
		if c.want.Kind == ReplyFarewell {
			continue
		}
		for n := range len(c.frame) - 5 {
			_, err := DecodeReply(c.frame[4 : 4+n])
			require.ErrorIs(t, err, ErrInvalidFrame, "%v cut to %d", c.want.Kind, n)
		}
	}
	_, err := DecodeReply(AppendGiveUp(nil, 3)[4:])
	require.ErrorIs(t, err, ErrInvalidFrame)
	m, _, err := DecodeCall(AppendGiveUp(nil, 3)[4:])
	require.NoError(t, err)
	require.Equal(t, Call{Method: MethodGiveUp, MethodName: "giveUp", Oneway: true, CancelledID: 3}, m)
	m, _, err = DecodeCall(AppendProbe(nil, 4, true)[4:])
	require.NoError(t, err)
	require.Equal(t, Call{Method: MethodProbe, MethodName: "probe", SequenceID: 4, Deep: true}, m)
}
