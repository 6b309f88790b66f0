package simadapter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
)

// Every action of a controller is encoded with its code and its fields. The cases have the names of the protocol.
func TestReplyActions(t *testing.T) {
	setRequest := func(want record) { want.putUint32(atRequest, 9) }
	tests := []struct {
		name   string
		action control.Action
		code   actionCode
		fields func(record)
	}{
		{"launch", control.Start{ID: 9}, 1, setRequest},
		{"busy", control.Reject{ID: 9, NoRetry: true, RetryAfter: 250 * time.Millisecond}, 2, func(r record) {
			setRequest(r)
			r.putBool(10, true)
			r.putFloat64(11, 250)
		}},
		{"busy without advice", control.Reject{ID: 9}, 2, setRequest},
		{"drop_request", control.Fail{ID: 9}, 3, setRequest},
		{"interrupt", control.Preempt{ID: 9}, 4, setRequest},
		{"call", control.Call{ID: 9, Timeout: 80 * time.Millisecond}, 5, func(r record) {
			setRequest(r)
			r.putFloat64(10, 80)
		}},
		{"bypass", control.SkipCall{ID: 9}, 6, setRequest},
		{"remember", control.RetainKey{ID: 9, TTL: 8 * time.Second}, 7, func(r record) {
			setRequest(r)
			r.putFloat64(10, 8000)
		}},
		{"release_key", control.ReleaseKey{ID: 9}, 8, setRequest},
		{"reuse", control.ReplayResult{ID: 9}, 9, setRequest},
		{"readiness", control.SetHealth{Healthy: true, Cached: true}, 10, func(r record) {
			r.putBool(6, true)
			r.putBool(7, true)
		}},
		{"readiness off", control.SetHealth{Cached: true}, 10, func(r record) { r.putBool(7, true) }},
		{"signal", control.SetLoadSignal{Value: 0.25}, 11, func(r record) { r.putFloat32(6, 0.25) }},
		{"close_idle", control.CloseIdleConnections{IdleTimeout: time.Second}, 12, func(r record) {
			r.putFloat64(6, 1000)
		}},
		{"wake_at", control.ScheduleTick{After: 20 * time.Millisecond, Token: 77}, 13, func(r record) {
			r.putFloat64(6, 20)
			r.putUint64(14, 77)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var reply Reply
			reply.Append(4, tc.action)
			want := make(record, actionRecordSize)
			want.putUint16(atCode, uint16(tc.code))
			want.putUint32(atInstance, 4)
			tc.fields(want)
			require.Equal(t, []byte(want), reply.Encode(8)[replyHeaderSize:])
		})
	}
}

// Texts are stored in the tail, and the header contains the numbers of records and bytes.
func TestReplyTexts(t *testing.T) {
	var reply Reply
	reply.Append(4, control.Log{Text: "why"})
	reply.ReportFailure(5, "failed")
	frame := record(reply.Encode(8))
	require.Equal(t, uint32(8), frame.uint32(0), "number")
	require.Equal(t, uint32(2), frame.uint32(4), "records")
	require.Equal(t, uint32(len(frame)), frame.uint32(8), "bytes")
	records := replyRecords(frame)
	require.Equal(t, actionLog, records[0].code)
	require.Equal(t, actionReportFailure, records[1].code)
	require.Equal(t, uint32(5), records[1].instance)
	tail := frame[replyHeaderSize+2*actionRecordSize:]
	text := func(fields record) string { return string(tail[fields.uint32(6):][:fields.uint32(10)]) }
	require.Equal(t, "why", text(records[0].fields))
	require.Equal(t, "failed", text(records[1].fields))
}

// An empty reply consists of the header only.
func TestEmptyReply(t *testing.T) {
	require.Equal(t, []byte{8, 0, 0, 0, 0, 0, 0, 0, 12, 0, 0, 0}, new(Reply).Encode(8))
}
