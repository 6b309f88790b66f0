// Package simadapter turns the frames of the operators' simulator into control's events and its actions into frames.
package simadapter

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"pewterline/control"
	"pewterline/internal/settings"
)

const (
	headerSize   = 20
	replyHeader  = 12
	eventSize    = 72
	actionSize   = 24
	maxFrameSize = 1 << 28 // a frame is "megabytes"; anything near this is a corrupt length
)

// The event codes of the wire.
const (
	evCallEnded = 1
	evKilled    = 2
	evJobIn     = 3
	evStart     = 4
	evCompleted = 5
	evAtCall    = 6
	evFired     = 7
	evWindDown  = 8
	evAborted   = 9
)

// The action codes of the wire.
const (
	acLaunch    = 1
	acBusy      = 2
	acDrop      = 3
	acInterrupt = 4
	acCall      = 5
	acBypass    = 6
	acRemember  = 7
	acRelease   = 8
	acReuse     = 9
	acReadiness = 10
	acSignal    = 11
	acCloseIdle = 12
	acWake      = 13
	acLog       = 14
	acInternal  = 15
)

// InstanceStarted and Killed are the events of an instance's life, which the host handles itself.
type (
	// InstanceStarted begins the life of an instance; Settings is its start-up text.
	InstanceStarted struct {
		Seed     uint64
		Settings []byte
	}
	// InstanceKilled ends it at once.
	InstanceKilled struct{}
)

// Record is one event for one instance: a control.Event, a Start or a Killed. Load is set on ticks only.
type Record struct {
	Instance    uint32
	Event       any
	GaugeValues []float64
}

// Batch is one decoded frame.
type Batch struct {
	Number  uint32
	Now     time.Duration
	Records []Record
}

func toMillis(d time.Duration) float64 { return float64(d) / 1e6 }

// rec reads the fields of one record, or appends them; positions are the wire's.
type rec []byte

func (r rec) u8(at int) uint8    { return r[at] }
func (r rec) u16(at int) uint16  { return binary.LittleEndian.Uint16(r[at:]) }
func (r rec) u32(at int) uint32  { return binary.LittleEndian.Uint32(r[at:]) }
func (r rec) u64(at int) uint64  { return binary.LittleEndian.Uint64(r[at:]) }
func (r rec) f32(at int) float64 { return float64(math.Float32frombits(r.u32(at))) }
func (r rec) f64(at int) float64 { return math.Float64frombits(r.u64(at)) }
func (r rec) id(at int) control.RequestID {
	return control.RequestID(r.u32(at))
}
func (r rec) ms(at int) time.Duration { return settings.FromMillis(r.f64(at)) }

// Decode reads one whole frame. Every error names the fault and its offset.
func Decode(frame []byte) (Batch, error) {
	if len(frame) < headerSize {
		return Batch{}, fmt.Errorf("offset 0: frame of %d bytes is shorter than its header", len(frame))
	}
	h := rec(frame)
	if n := h.u32(4); int64(n) != int64(len(frame)) {
		return Batch{}, fmt.Errorf("offset 4: length %d does not fit a frame of %d bytes", n, len(frame))
	}
	count := int64(h.u32(16))
	if headerSize+count*eventSize > int64(len(frame)) {
		return Batch{}, fmt.Errorf("offset 16: %d records do not fit a frame of %d bytes", count, len(frame))
	}
	if ms := h.f64(8); math.IsNaN(ms) || math.IsInf(ms, 0) {
		return Batch{}, fmt.Errorf("offset 8: clock is not a number")
	}
	b := Batch{Number: h.u32(0), Now: h.ms(8), Records: make([]Record, 0, count)}
	tail := frame[headerSize+count*eventSize:]
	for i := int64(0); i < count; i++ {
		at := headerSize + i*eventSize
		r, err := decodeRecord(rec(frame[at:at+eventSize]), tail)
		if err != nil {
			return Batch{}, fmt.Errorf("offset %d: %w", at, err)
		}
		b.Records = append(b.Records, r)
	}
	return b, nil
}

func decodeRecord(r rec, tail []byte) (Record, error) {
	out := Record{Instance: r.u32(2)}
	switch code := r.u16(0); code {
	case evStart:
		text, err := slice(tail, r.u32(14), r.u32(18))
		if err != nil {
			return out, err
		}
		out.Event = InstanceStarted{Seed: r.u64(6), Settings: text}
	case evKilled:
		out.Event = InstanceKilled{}
	case evJobIn:
		out.Event = decodeJob(r)
	case evCompleted:
		o, err := outcome(r.u8(10))
		out.Event = control.RequestFinished{ID: r.id(6), Outcome: o, Took: r.ms(11)}
		return out, err
	case evCallEnded:
		o, err := outcome(r.u8(18))
		out.Event = control.CallFinished{ID: r.id(6), Outcome: o, Took: r.ms(10)}
		return out, err
	case evAtCall:
		out.Event = control.CallNeeded{ID: r.id(6)}
	case evAborted:
		out.Event = control.RequestCancelled{ID: r.id(6)}
	case evWindDown:
		out.Event = control.DrainRequested{StopAt: r.ms(6)}
	case evFired:
		n := int(r.u8(14))
		if 15+4*n > len(r) {
			return out, fmt.Errorf("%d gauges do not fit a record", n)
		}
		for i := range n {
			out.GaugeValues = append(out.GaugeValues, r.f32(15+4*i))
		}
		out.Event = control.Tick{Token: r.u64(6)}
	default:
		return out, fmt.Errorf("unknown event code %d", code)
	}
	return out, nil
}

func decodeJob(r rec) control.RequestArrived {
	marks := r.u8(48)
	a := control.RequestArrived{
		ID: r.id(6), Class: int(r.u16(10)), Tenant: int(r.u32(12)), Key: r.u64(16), Deadline: r.ms(24),
		QueuedKB: r.f32(40), Rank: r.f32(44), Retry: marks&2 != 0, Caller: r.u32(49), Age: r.ms(53),
		Original: r.id(61),
	}
	if marks&1 != 0 {
		a.CostHint = r.ms(32)
	}
	return a
}

func slice(tail []byte, off, n uint32) ([]byte, error) {
	if int64(off)+int64(n) > int64(len(tail)) {
		return nil, fmt.Errorf("tail range %d+%d is outside a tail of %d bytes", off, n, len(tail))
	}
	return tail[off : off+n], nil
}

func outcome(code uint8) (control.Outcome, error) {
	if code < 10 || code > 80 || code%10 != 0 {
		return 0, fmt.Errorf("unknown outcome %d", code)
	}
	return control.Outcome(code/10 - 1), nil // the wire counts 10, 20, ... in control's order
}

// Reply gathers the actions that answer one batch.
type Reply struct {
	records []byte
	tail    []byte
	count   uint32
}

func (w *Reply) add(code uint16, inst uint32) rec {
	at := len(w.records)
	w.records = append(w.records, make([]byte, actionSize)...)
	w.count++
	r := w.records[at:]
	binary.LittleEndian.PutUint16(r, code)
	binary.LittleEndian.PutUint32(r[2:], inst)
	return r
}

func putF64(r rec, at int, f float64) { binary.LittleEndian.PutUint64(r[at:], math.Float64bits(f)) }

func putMS(r rec, at int, d time.Duration) { putF64(r, at, toMillis(d)) }

func (w *Reply) withID(code uint16, inst uint32, id control.RequestID) rec {
	r := w.add(code, inst)
	binary.LittleEndian.PutUint32(r[6:], uint32(id))
	return r
}

func (w *Reply) withText(code uint16, inst uint32, text string) {
	r := w.add(code, inst)
	binary.LittleEndian.PutUint32(r[6:], uint32(len(w.tail)))
	binary.LittleEndian.PutUint32(r[10:], uint32(len(text)))
	w.tail = append(w.tail, text...)
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// ReportFailure reports that the code of an instance has failed.
func (w *Reply) ReportFailure(inst uint32, text string) { w.withText(acInternal, inst, text) }

// Append appends one action of an instance.
func (w *Reply) Append(inst uint32, a control.Action) {
	switch a := a.(type) {
	case control.Start:
		w.withID(acLaunch, inst, a.ID)
	case control.Reject:
		r := w.withID(acBusy, inst, a.ID)
		r[10] = flag(a.NoRetry)
		putMS(r, 11, a.RetryAfter)
	case control.Fail:
		w.withID(acDrop, inst, a.ID)
	case control.Preempt:
		w.withID(acInterrupt, inst, a.ID)
	case control.Call:
		putMS(w.withID(acCall, inst, a.ID), 10, a.Timeout)
	case control.SkipCall:
		w.withID(acBypass, inst, a.ID)
	case control.RetainKey:
		putMS(w.withID(acRemember, inst, a.ID), 10, a.TTL)
	case control.ReleaseKey:
		w.withID(acRelease, inst, a.ID)
	case control.ReplayResult:
		w.withID(acReuse, inst, a.ID)
	case control.SetHealth:
		r := w.add(acReadiness, inst)
		r[6], r[7] = flag(a.Healthy), flag(a.Cached)
	case control.SetLoadSignal:
		binary.LittleEndian.PutUint32(w.add(acSignal, inst)[6:], math.Float32bits(float32(a.Value)))
	case control.CloseIdleConnections:
		putMS(w.add(acCloseIdle, inst), 6, a.IdleTimeout)
	case control.ScheduleTick:
		r := w.add(acWake, inst)
		putMS(r, 6, a.After)
		binary.LittleEndian.PutUint64(r[14:], a.Token)
	case control.Log:
		w.withText(acLog, inst, a.Text)
	}
}

// Encode is the whole reply to the batch of that number.
func (w *Reply) Encode(number uint32) []byte {
	size := replyHeader + len(w.records) + len(w.tail)
	out := make([]byte, replyHeader, size)
	binary.LittleEndian.PutUint32(out, number)
	binary.LittleEndian.PutUint32(out[4:], w.count)
	binary.LittleEndian.PutUint32(out[8:], uint32(size))
	return append(append(out, w.records...), w.tail...)
}
