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

// serve answers the frames of an input.
func serve(input []byte) (replies []byte, err error) {
	var output bytes.Buffer
	err = NewHost().Serve(bytes.NewReader(input), &output)
	return output.Bytes(), err
}

// A request is started in the reply to the batch that brings it; a kill and a start in one batch leave nothing behind.
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
	require.False(t, hasAction(secondReply, actionStart, 77), "the second life knows the first one's request")
}

// Instances act once a batch, in the order in which it first names them; events of a life that is over are skipped.
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

// The gauges of a tick are sorted by the names in the settings.
func TestGaugesOfATick(t *testing.T) {
	host := NewHost()
	host.start(3, InstanceStarted{Settings: []byte(settingsText)}, &Reply{})
	require.True(t, host.addEvent(Record{Instance: 3, Event: control.Tick{Token: 4}, GaugeValues: []float64{0.25, 0.5}}))
	gauges := control.Gauges{CPUUtilization: 0.5, Runnable: -1, Memory: 0.25, Connections: -1}
	require.Equal(t, []control.Event{control.Tick{Token: 4, Gauges: gauges}}, host.instances[3].events)
}

// Input that ends inside a frame, or that is none, ends the service with an error that says where.
func TestMalformedInput(t *testing.T) {
	var builder frameBuilder
	builder.addStart(1, settingsText)
	good := builder.frame(1, 5)
	change := func(at int, value uint32) []byte {
		frame := record(bytes.Clone(good))
		frame.putUint32(at, value)
		return frame
	}
	tests := []struct {
		name   string
		input  []byte
		want   string
		reason error
	}{
		{"cut inside a header", good[:7], "frame 0: offset 7:", ErrTruncated},
		{"cut inside a frame", good[:50], "frame 0: offset 50:", ErrTruncated},
		{"length too small", change(4, 3), "frame 0: offset 4:", ErrLength},
		{"length too large", change(4, math.MaxUint32), "frame 0: offset 4:", ErrLength},
		{"count", change(16, 1e9), "frame 0: offset 16:", ErrLength},
		{"tail offset", change(batchHeaderSize+14, 1e9), "frame 0: offset 20:", ErrTailRange},
		{"event code", change(batchHeaderSize, 99), "unknown event code", ErrUnknownEvent},
		{"second frame", slices.Concat(good, good[:7]), "frame 1: offset 7:", ErrTruncated},
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

// brokenWriter fails at once.
type brokenWriter struct{}

var errBroken = errors.New("broken")

func (brokenWriter) Write([]byte) (int, error) { return 0, errBroken }

// An output that fails ends the service.
func TestBrokenOutput(t *testing.T) {
	var builder frameBuilder
	err := NewHost().Serve(bytes.NewReader(builder.frame(1, 5)), brokenWriter{})
	require.ErrorIs(t, err, errBroken)
	require.ErrorContains(t, err, "reply to frame 0")
}

// Settings that make no sense and a panic both come back as the wire's report of a failure.
func TestFailuresAreReported(t *testing.T) {
	for name, text := range map[string]string{"no class": `{"classes": []}`, "no JSON": `{`} {
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
		host.instances[5] = &instance{events: []control.Event{control.Tick{}}} // Without a controller the step panics.
		reply := &Reply{}
		host.step(0, 5, reply)
		require.Equal(t, actionReportFailure, replyRecords(reply.Encode(1))[0].code)
		require.Contains(t, string(reply.tail), "panic")
		require.NotContains(t, host.instances, uint32(5))
	})
}
