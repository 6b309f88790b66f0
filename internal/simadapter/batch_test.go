package simadapter

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
)

// Every event of the protocol is decoded with its fields. The cases have the names of the protocol.
func TestDecodeEvents(t *testing.T) {
	tests := []struct {
		name  string
		build func(*frameBuilder)
		want  Record
	}{
		{"start", func(b *frameBuilder) { b.addStart(3, "{}") },
			Record{Kind: RecordInstanceStarted, Started: InstanceStarted{Seed: 9, Settings: []byte("{}")}}},
		{"killed", func(b *frameBuilder) { b.add(eventInstanceKilled, 3) }, Record{Kind: RecordInstanceKilled}},
		{"job_in", func(b *frameBuilder) {
			fields := b.addForRequest(eventRequestArrived, 3, 77)
			fields.putUint16(10, 1)
			fields.putUint32(12, 2)
			fields.putUint64(16, 12345)
			fields.putFloat64(24, 5000.5)
			fields.putFloat64(32, 12.25)
			fields.putFloat32(40, 1.5)
			fields.putFloat32(44, 0.625)
			fields[48] = markCostHint | markRetry | 4
			fields.putUint32(49, 17)
			fields.putFloat64(53, 1.25)
			fields.putUint32(61, 70)
		}, Record{Event: control.RequestArrived{
			ID: 77, Class: 1, Tenant: 2, SubjectKey: 12345, Deadline: 5000500 * time.Microsecond,
			Age: 1250 * time.Microsecond, CostHint: 12250 * time.Microsecond, QueuedKB: 1.5, Rank: 0.625, Retry: true,
			Caller: 17, Original: 70,
		}}},
		{"job_in without marks", func(b *frameBuilder) {
			b.addForRequest(eventRequestArrived, 3, 77).putFloat64(32, 12.25)
		}, Record{Event: control.RequestArrived{ID: 77}}},
		{"call_ended", func(b *frameBuilder) {
			r := b.addForRequest(eventCallFinished, 3, 77)
			r.putFloat64(10, 80)
			r[18] = 40
		}, Record{Event: control.CallFinished{ID: 77, Outcome: control.OutcomeTimeout, Took: 80 * time.Millisecond}}},
		{"wind_down", func(b *frameBuilder) { b.add(eventDrainRequested, 3).putFloat64(6, 11000) },
			Record{Event: control.DrainRequested{StopAt: 11 * time.Second}}},
		{"completed", func(b *frameBuilder) {
			r := b.addForRequest(eventRequestFinished, 3, 77)
			r[10] = 20
			r.putFloat64(11, 18.5)
		}, Record{Event: control.RequestFinished{ID: 77, Outcome: control.OutcomeError, Took: 18500 * time.Microsecond}}},
		{"fired", func(b *frameBuilder) {
			r := b.add(eventTick, 3)
			r.putUint64(6, 4)
			r[14] = 2
			r.putFloat32(15, 0.75)
			r.putFloat32(19, 3)
		}, Record{Event: control.Tick{Token: 4}, GaugeValues: []float64{0.75, 3}}},
		{"aborted", func(b *frameBuilder) { b.addForRequest(eventRequestCancelled, 3, 77) },
			Record{Event: control.RequestCancelled{ID: 77}}},
		{"at_call", func(b *frameBuilder) { b.addForRequest(eventCallNeeded, 3, 77) },
			Record{Event: control.CallNeeded{ID: 77}}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var builder frameBuilder
			tc.build(&builder)
			batch, err := Decode(builder.frame(8, 5.25))
			require.NoError(t, err)
			tc.want.Instance = 3
			require.Equal(t, Batch{Number: 8, Now: 5250 * time.Microsecond, Records: []Record{tc.want}}, batch)
		})
	}
}

// Outcomes are numbered 10, 20, ... in the order of package control; any other number is an error.
func TestDecodeOutcome(t *testing.T) {
	for outcome := control.OutcomeOK; outcome <= control.OutcomeAlreadyEnded; outcome++ {
		got, err := decodeOutcome(10 * (uint8(outcome) + 1))
		require.NoError(t, err)
		require.Equal(t, outcome, got)
	}
	for _, code := range []uint8{0, 9, 11, 81, 90, 255} {
		_, err := decodeOutcome(code)
		require.ErrorIs(t, err, ErrUnknownOutcome, "code %d", code)
	}
}

// The error of an invalid frame contains the reason and the offset of the invalid byte.
func TestDecodeErrors(t *testing.T) {
	build := func(change func(frame record)) []byte {
		var builder frameBuilder
		builder.addStart(1, settingsText)
		frame := builder.frame(1, 5)
		change(frame)
		return frame
	}
	firstRecord := func(frame record) record { return frame[batchHeaderSize:] }
	tests := []struct {
		name   string
		frame  []byte
		offset int64
		reason error
	}{
		{"shorter than a header", make([]byte, 7), 0, ErrTruncated},
		{"wrong length", build(func(f record) { f.putUint32(4, 3) }), 4, ErrLength},
		{"clock", build(func(f record) { f.putFloat64(8, math.NaN()) }), 8, ErrClock},
		{"infinite clock", build(func(f record) { f.putFloat64(8, math.Inf(1)) }), 8, ErrClock},
		{"count", build(func(f record) { f.putUint32(16, 1e9) }), 16, ErrLength},
		{"tail start", build(func(f record) { firstRecord(f).putUint32(14, 1e9) }), 20, ErrTailRange},
		{"tail length", build(func(f record) { firstRecord(f).putUint32(18, math.MaxUint32) }), 20, ErrTailRange},
		{"event code", build(func(f record) { firstRecord(f).putUint16(atCode, 99) }), 20, ErrUnknownEvent},
		{"outcome", build(func(f record) { firstRecord(f).putUint16(atCode, uint16(eventRequestFinished)) }), 20,
			ErrUnknownOutcome},
		{"gauges", build(func(f record) {
			firstRecord(f).putUint16(atCode, uint16(eventTick))
			firstRecord(f)[14] = 200
		}), 20, ErrLength},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Decode(tc.frame)
			require.ErrorIs(t, err, tc.reason)
			var frameError *FrameError
			require.ErrorAs(t, err, &frameError)
			require.Equal(t, tc.offset, frameError.Offset)
		})
	}
}

func FuzzDecode(f *testing.F) {
	var builder frameBuilder
	builder.addStart(1, settingsText)
	builder.add(eventTick, 1)[14] = 3
	f.Add(builder.frame(1, 5))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, frame []byte) {
		batch, err := Decode(frame)
		if err == nil && len(batch.Records)*eventRecordSize > len(frame) {
			t.Errorf("%d records from %d bytes", len(batch.Records), len(frame))
		}
	})
}
