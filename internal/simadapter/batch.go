package simadapter

import (
	"fmt"
	"math"
	"time"

	"pewterline/control"
)

// Batch is one decoded frame: the events at one point in time.
type Batch struct {
	Number  uint32
	Now     time.Duration // the simulator's clock
	Records []Record
}

// RecordKind is the kind of a Record.
type RecordKind uint8

// The kinds of records.
const (
	RecordEvent           RecordKind = iota // an event for the controller of an instance
	RecordInstanceStarted                   // an instance starts
	RecordInstanceKilled                    // an instance is killed and loses its state
)

// String returns the name of the kind.
func (k RecordKind) String() string {
	switch k {
	case RecordEvent:
		return "event"
	case RecordInstanceStarted:
		return "instance started"
	case RecordInstanceKilled:
		return "instance killed"
	}
	return "unknown kind"
}

// Record is one event of one instance.
type Record struct {
	Instance    uint32
	Kind        RecordKind
	Started     InstanceStarted // set for RecordInstanceStarted
	Event       control.Event   // set for RecordEvent; the gauges of a Tick are in GaugeValues
	GaugeValues []float64       // set for a Tick, in the order of the names in the settings
}

// InstanceStarted starts an instance. A running instance of the same number is replaced.
type InstanceStarted struct {
	Seed     uint64
	Settings []byte // the settings text
}

// Decode decodes one complete frame. Its errors are of type *FrameError.
func Decode(frame []byte) (Batch, error) {
	if len(frame) < batchHeaderSize {
		return Batch{}, frameErrorf(0, "%w: a frame of %d bytes is shorter than its header", ErrTruncated, len(frame))
	}
	header := record(frame)
	if length := header.uint32(4); int64(length) != int64(len(frame)) {
		return Batch{}, frameErrorf(4, "%w: %d does not fit a frame of %d bytes", ErrLength, length, len(frame))
	}
	count := int64(header.uint32(16))
	tailStart := batchHeaderSize + count*eventRecordSize
	if tailStart > int64(len(frame)) {
		return Batch{}, frameErrorf(16, "%w: %d records do not fit a frame of %d bytes", ErrLength, count, len(frame))
	}
	if clock := header.float64(8); math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, &FrameError{Offset: 8, Err: ErrClock}
	}
	batch := Batch{Number: header.uint32(0), Now: header.duration(8), Records: make([]Record, 0, count)}
	tail := frame[tailStart:]
	for offset := int64(batchHeaderSize); offset < tailStart; offset += eventRecordSize {
		decoded, err := decodeRecord(record(frame[offset:offset+eventRecordSize]), tail)
		if err != nil {
			return Batch{}, &FrameError{Offset: offset, Err: err}
		}
		batch.Records = append(batch.Records, decoded)
	}
	return batch, nil
}

// decodeRecord decodes one event record.
func decodeRecord(fields record, tail []byte) (decoded Record, err error) {
	decoded.Instance = fields.uint32(atInstance)
	switch code := eventCode(fields.uint16(atCode)); code {
	case eventInstanceStarted:
		decoded.Kind = RecordInstanceStarted
		decoded.Started, err = decodeInstanceStarted(fields, tail)
	case eventInstanceKilled:
		decoded.Kind = RecordInstanceKilled
	case eventRequestArrived:
		decoded.Event = decodeRequestArrived(fields)
	case eventRequestFinished:
		decoded.Event, err = decodeRequestFinished(fields)
	case eventCallFinished:
		decoded.Event, err = decodeCallFinished(fields)
	case eventCallNeeded:
		decoded.Event = control.CallNeeded{ID: fields.requestID(atRequest)}
	case eventRequestCancelled:
		decoded.Event = control.RequestCancelled{ID: fields.requestID(atRequest)}
	case eventDrainRequested:
		decoded.Event = control.DrainRequested{StopAt: fields.duration(6)}
	case eventTick:
		decoded.Event = control.Tick{Token: fields.uint64(6)}
		decoded.GaugeValues, err = decodeGaugeValues(fields)
	default:
		err = fmt.Errorf("%w %d", ErrUnknownEvent, code)
	}
	return decoded, err
}

func decodeInstanceStarted(fields record, tail []byte) (InstanceStarted, error) {
	start, length := int64(fields.uint32(14)), int64(fields.uint32(18))
	if start+length > int64(len(tail)) {
		return InstanceStarted{}, fmt.Errorf("%w: %d+%d of %d bytes", ErrTailRange, start, length, len(tail))
	}
	return InstanceStarted{Seed: fields.uint64(6), Settings: tail[start : start+length]}, nil
}

func decodeRequestArrived(fields record) control.RequestArrived {
	marks := fields.uint8(48)
	event := control.RequestArrived{
		ID:         fields.requestID(atRequest),
		Class:      int(fields.uint16(10)),
		Tenant:     int(fields.uint32(12)),
		SubjectKey: fields.uint64(16),
		Deadline:   fields.duration(24),
		QueuedKB:   fields.float32(40),
		Rank:       fields.float32(44),
		Retry:      marks&markRetry != 0,
		Caller:     fields.uint32(49),
		Age:        fields.duration(53),
		Original:   fields.requestID(61),
	}
	if marks&markCostHint != 0 {
		event.CostHint = fields.duration(32)
	}
	return event
}

func decodeRequestFinished(fields record) (control.Event, error) {
	outcome, err := decodeOutcome(fields.uint8(10))
	return control.RequestFinished{ID: fields.requestID(atRequest), Outcome: outcome, Took: fields.duration(11)}, err
}

func decodeCallFinished(fields record) (control.Event, error) {
	outcome, err := decodeOutcome(fields.uint8(18))
	return control.CallFinished{ID: fields.requestID(atRequest), Outcome: outcome, Took: fields.duration(10)}, err
}

// decodeOutcome decodes an outcome. The wire numbers the outcomes 10, 20, ... in the order of package control.
func decodeOutcome(code uint8) (control.Outcome, error) {
	if code < 10 || code > 80 || code%10 != 0 {
		return 0, fmt.Errorf("%w %d", ErrUnknownOutcome, code)
	}
	return control.Outcome(code/10 - 1), nil
}

func decodeGaugeValues(fields record) ([]float64, error) {
	const atCount, atValues, valueSize = 14, 15, 4
	count := int(fields.uint8(atCount))
	if atValues+valueSize*count > len(fields) {
		return nil, fmt.Errorf("%w: %d gauges do not fit a record", ErrLength, count)
	}
	var values []float64
	for i := range count {
		values = append(values, fields.float32(atValues+valueSize*i))
	}
	return values, nil
}
