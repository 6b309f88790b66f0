package simadapter

import (
	"bytes"
	"errors"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/control"
)

// serve runs a Host on the frames of an input and returns its replies.
func serve(input []byte) (replies []byte, err error) {
	var output bytes.Buffer
	err = NewHost().Serve(bytes.NewReader(input), &output)
	return output.Bytes(), err
}

// A request is started in the reply to the batch in which it arrives. A kill and a start in one batch leave no state of
// the earlier instance.
func TestServe(t *testing.T) {
	var first, second frameBuilder
	first.addStart(3, settingsText)
	first.addForRequest(eventRequestArrived, 3, 77).putFloat32(40, 1)
	second.add(eventInstanceKilled, 3)
	second.addStart(3, settingsText)
	second.addForRequest(eventRequestFinished, 3, 77)[10] = 10
	replies, err := serve(slices.Concat(first.frame(1, 5), second.frame(2, 10)))
	require.NoError(t, err)
	size := record(replies).uint32(8)
	firstReply, secondReply := replies[:size], replies[size:]
	require.True(t, hasAction(firstReply, actionStart, 77), "the request was not started")
	require.Equal(t, uint32(2), record(secondReply).uint32(0))
	require.False(t, hasAction(secondReply, actionStart, 77), "the new instance has a request of the killed one")
}

// Instances are stepped once per batch, in the order in which the batch first names them. Events for an instance that
// is not running are skipped.
func TestInstancesActInOrder(t *testing.T) {
	var builder frameBuilder
	builder.addStart(5, settingsText)
	builder.addStart(3, settingsText)
	builder.addForRequest(eventRequestCancelled, 4, 1)
	builder.addForRequest(eventRequestArrived, 5, 77).putFloat32(40, 1)
	replies, err := serve(builder.frame(1, 5))
	require.NoError(t, err)
	var instances []uint32
	for _, action := range replyRecords(replies) {
		instances = append(instances, action.instance)
	}
	require.Equal(t, []uint32{5, 3}, slices.Compact(instances))
	require.True(t, hasAction(replies, actionStart, 77))
}

// The gauge values of a tick are assigned by the names in the settings.
func TestTickGauges(t *testing.T) {
	host := NewHost()
	host.start(3, InstanceStarted{Settings: []byte(settingsText)}, &Reply{})
	require.True(t, host.addEvent(Record{Instance: 3, Event: control.Tick{Token: 4}, GaugeValues: []float64{0.25, 0.5}}))
	gauges := control.Gauges{CPUUtilization: 0.5, Runnable: -1, Memory: 0.25, Connections: -1}
	require.Equal(t, []control.Event{control.Tick{Token: 4, Gauges: gauges}}, host.instances[3].events)
}

// Truncated or invalid input ends Serve with an error that contains the number of the frame and the offset.
func TestMalformedInput(t *testing.T) {
	var builder frameBuilder
	builder.addStart(1, settingsText)
	valid := builder.frame(1, 5)
	change := func(at int, value uint32) []byte {
		frame := record(bytes.Clone(valid))
		frame.putUint32(at, value)
		return frame
	}
	tests := []struct {
		name   string
		input  []byte
		want   string
		reason error
	}{
		{"truncated header", valid[:7], "frame 0: offset 7:", ErrTruncated},
		{"truncated frame", valid[:50], "frame 0: offset 50:", ErrTruncated},
		{"length too small", change(4, 3), "frame 0: offset 4:", ErrLength},
		{"length too large", change(4, math.MaxUint32), "frame 0: offset 4:", ErrLength},
		{"count", change(16, 1e9), "frame 0: offset 16:", ErrLength},
		{"tail offset", change(batchHeaderSize+14, 1e9), "frame 0: offset 20:", ErrTailRange},
		{"event code", change(batchHeaderSize, 99), "unknown event code", ErrUnknownEvent},
		{"second frame", slices.Concat(valid, valid[:7]), "frame 1: offset 7:", ErrTruncated},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := serve(tc.input)
			require.ErrorContains(t, err, tc.want)
			require.ErrorIs(t, err, tc.reason)
		})
	}
	_, err := serve(nil)
	require.NoError(t, err, "end of input between frames")
}

// failingWriter fails on every write.
type failingWriter struct{}

var errWriteFailed = errors.New("write failed")

func (failingWriter) Write([]byte) (int, error) { return 0, errWriteFailed }

// A write error ends Serve.
func TestOutputError(t *testing.T) {
	var builder frameBuilder
	err := NewHost().Serve(bytes.NewReader(builder.frame(1, 5)), failingWriter{})
	require.ErrorIs(t, err, errWriteFailed)
	require.ErrorContains(t, err, "reply to frame 0")
}

// Invalid settings and a panic of a controller are both reported as a failure in the reply.
func TestFailuresAreReported(t *testing.T) {
	for name, text := range map[string]string{"no class": `{"classes": []}`, "malformed JSON": `{`} {
		t.Run(name, func(t *testing.T) {
			var builder frameBuilder
			builder.addStart(1, text)
			reply, err := serve(builder.frame(1, 0))
			require.NoError(t, err)
			require.Equal(t, actionReportFailure, replyRecords(reply)[0].code)
		})
	}
	t.Run("panic", func(t *testing.T) {
		host := NewHost()
		host.instances[5] = &instance{events: []control.Event{control.Tick{}}} // without a controller, step panics
		reply := &Reply{}
		host.step(0, 5, reply)
		require.Equal(t, actionReportFailure, replyRecords(reply.Encode(1))[0].code)
		require.Contains(t, string(reply.tail), "panic")
		require.NotContains(t, host.instances, uint32(5))
	})
}
