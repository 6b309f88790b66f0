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
	f.Add(AppendException(nil, "x", 1, UnknownMethod, "text"))
	f.Add([]byte{0, 0, 0, 1, 0x80})
	f.Add([]byte("\x00\x00\x00\x1f\x80\x01\x00\x01\x00\x00\x00\x05prune\x00\x00\x00\x04\x0f\x00\x01\x0f\x7f\xff\xff\xff\x0f\x00"))
	f.Fuzz(func(t *testing.T, in []byte) {
		payload, n, err := Split(in)
		if err != nil || payload == nil {
			require.Zero(t, n)
			return
		}
		require.LessOrEqual(t, n, len(in))
		m, _, err := Decode(payload)
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
		_, answerable, err := Decode(in)
		require.Error(t, err)
		require.True(t, answerable)
	}
}
