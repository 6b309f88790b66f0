package thrift

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards the decoder against arbitrary input: it must not panic, and must not return a frame or a body longer than the
// input.
func FuzzDecode(f *testing.F) {
	f.Add(AppendCall(nil, 7, []Field{{"class", "block-view"}}, []byte("body")))
	f.Add(AppendFarewell(nil))
	f.Add(AppendException(nil, "x", 1, ExceptionUnknownMethod, "text"))
	f.Add([]byte{0, 0, 0, 1, 0x80})
	f.Add([]byte("\x00\x00\x00\x1f\x80\x01\x00\x01\x00\x00\x00\x05prune\x00\x00\x00\x04" +
		"\x0f\x00\x01\x0f\x7f\xff\xff\xff\x0f\x00"))
	f.Fuzz(func(t *testing.T, in []byte) {
		payload, size, err := SplitFrame(in)
		if err != nil || payload == nil {
			require.Zero(t, size)
			return
		}
		require.LessOrEqual(t, size, len(in))
		call, _, err := DecodeCall(payload)
		if err == nil {
			require.LessOrEqual(t, len(call.Body), len(payload))
		}
	})
}

// Guards against messages that would block the event loop with a large count or deep nesting: a list of 2^31 elements
// that take no bytes, and nested structs.
func TestSkipIsBounded(t *testing.T) {
	const probeHeader = "\x80\x01\x00\x01\x00\x00\x00\x05probe\x00\x00\x00\x01"
	deep := []byte(probeHeader)
	for range 64 {
		deep = append(deep, byte(typeStruct), 0, 1)
	}
	wide := append([]byte(probeHeader), byte(typeList), 0, 9, byte(typeStop), 0x7f, 0xff, 0xff, 0xff)
	for name, in := range map[string][]byte{"deep": deep, "wide": wide} {
		_, answerable, err := DecodeCall(in)
		require.Error(t, err, name)
		require.True(t, answerable, name)
	}
}

// Unknown fields of every type are skipped, and the field after them is read.
func TestSkipEachType(t *testing.T) {
	for name, value := range map[string][]byte{
		"bool":   {byte(typeBool), 0, 9, 1},
		"byte":   {byte(typeByte), 0, 9, 1},
		"i16":    {byte(typeI16), 0, 9, 1, 2},
		"i32":    {byte(typeI32), 0, 9, 1, 2, 3, 4},
		"i64":    {byte(typeI64), 0, 9, 1, 2, 3, 4, 5, 6, 7, 8},
		"double": {byte(typeDouble), 0, 9, 1, 2, 3, 4, 5, 6, 7, 8},
		"string": {byte(typeString), 0, 9, 0, 0, 0, 1, 'x'},
		"struct": {byte(typeStruct), 0, 9, byte(typeByte), 0, 1, 7, byte(typeStop)},
		"map":    {byte(typeMap), 0, 9, byte(typeByte), byte(typeI16), 0, 0, 0, 1, 1, 2, 3},
		"set":    {byte(typeSet), 0, 9, byte(typeI16), 0, 0, 0, 2, 1, 2, 3, 4},
		"list":   {byte(typeList), 0, 9, byte(typeI32), 0, 0, 0, 1, 1, 2, 3, 4},
	} {
		w := begin(nil, messageCall, probeName, 5)
		w.out = append(w.out, value...)
		w.field(typeBool, argumentDeep)
		w.boolean(true)
		w.stop()
		call, answerable, err := DecodeCall(w.end()[frameHeaderSize:])
		require.NoError(t, err, name)
		require.True(t, answerable, name)
		require.True(t, call.Deep, name)
	}
	for _, unknown := range []byte{1, 5, 7, 9, 16, 255} {
		w := begin(nil, messageCall, probeName, 5)
		w.out = append(w.out, unknown, 0, 9, 1, 2, 3, 4)
		_, _, err := DecodeCall(w.end()[frameHeaderSize:])
		require.ErrorContains(t, err, "unknown type", "%d", unknown)
	}
}

// Each encoded reply decodes to the same reply, and a truncated one is an error rather than a panic.
func TestRepliesRoundTrip(t *testing.T) {
	fields := []Field{{"after", "250"}, {"last", "1"}}
	decodedFields := map[string]string{"after": "250", "last": "1"}
	answer := Answer{MethodName: "process", SequenceID: 7, Body: []byte("result"), Fields: fields, Good: true}
	for _, tc := range []struct {
		name  string
		frame []byte
		want  Reply
	}{
		{"answer", AppendAnswer(nil, answer), Reply{Kind: ReplyAnswer, MethodName: "process", SequenceID: 7,
			Body: []byte("result"), Fields: decodedFields, Good: true}},
		{"throttled", AppendThrottled(nil, 8, fields),
			Reply{Kind: ReplyThrottled, MethodName: "process", SequenceID: 8, Fields: decodedFields}},
		{"broken", AppendBroken(nil, 9, nil),
			Reply{Kind: ReplyBroken, MethodName: "process", SequenceID: 9, Fields: map[string]string{}}},
		{"exception", AppendException(nil, "process", 10, ExceptionProtocolError, "what?"),
			Reply{Kind: ReplyException, MethodName: "process", SequenceID: 10, Text: "what?"}},
		{"farewell", AppendFarewell(nil), Reply{Kind: ReplyFarewell, MethodName: "farewell"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.name, tc.want.Kind.String())
			got, err := DecodeReply(tc.frame[4:])
			require.NoError(t, err)
			require.Equal(t, tc.want, got)
			if tc.want.Kind == ReplyFarewell {
				return // the decoder reads nothing after the method's name
			}
			for n := range len(tc.frame) - 5 {
				_, err := DecodeReply(tc.frame[4 : 4+n])
				require.ErrorIs(t, err, ErrInvalidFrame, "%v truncated to %d bytes", tc.want.Kind, n)
			}
		})
	}
	_, err := DecodeReply(AppendGiveUp(nil, 3)[4:])
	require.ErrorIs(t, err, ErrInvalidFrame)
}

// Each encoded call decodes to the same call.
func TestCallsRoundTrip(t *testing.T) {
	call, _, err := DecodeCall(AppendGiveUp(nil, 3)[4:])
	require.NoError(t, err)
	require.Equal(t, Call{Method: MethodGiveUp, MethodName: "giveUp", Oneway: true, CancelledID: 3}, call)
	require.Equal(t, call.MethodName, call.Method.String())
	call, _, err = DecodeCall(AppendProbe(nil, 4, true)[4:])
	require.NoError(t, err)
	require.Equal(t, Call{Method: MethodProbe, MethodName: "probe", SequenceID: 4, Deep: true}, call)
	require.Equal(t, call.MethodName, call.Method.String())
}
