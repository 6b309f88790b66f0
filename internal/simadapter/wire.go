// Package simadapter connects controllers to the platform's simulator: it decodes the simulator's frames into events of
// package control and encodes the actions into frames. cmd/simadapter runs one Host on standard input and output. A
// Host owns the controllers of the instances in its process, which share no state. The package makes no decisions about
// requests and reads no clock; batches contain the simulator's time.
package simadapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"pewterline/control"
	"pewterline/internal/settings"
)

// Sizes in bytes. A frame is little-endian and consists of a header, records of fixed size, and a tail with the texts.
const (
	batchHeaderSize  = 20
	replyHeaderSize  = 12
	eventRecordSize  = 72
	actionRecordSize = 24
	maxFrameSize     = 1 << 28 // Batches have a few megabytes, so a larger length is corrupt.
)

// eventCode is the first field of an event record.
type eventCode uint16

// The event codes, with their names in the simulator's protocol.
const (
	eventCallFinished     eventCode = iota + 1 // call_ended
	eventInstanceKilled                        // killed
	eventRequestArrived                        // job_in
	eventInstanceStarted                       // start
	eventRequestFinished                       // completed
	eventCallNeeded                            // at_call
	eventTick                                  // fired
	eventDrainRequested                        // wind_down
	eventRequestCancelled                      // aborted
)

// actionCode is the first field of an action record.
type actionCode uint16

// The action codes, with their names in the simulator's protocol.
const (
	actionStart                actionCode = iota + 1 // launch
	actionReject                                     // busy
	actionFail                                       // drop_request
	actionPreempt                                    // interrupt
	actionCall                                       // call
	actionSkipCall                                   // bypass
	actionRetainKey                                  // remember
	actionReleaseKey                                 // release_key
	actionReplayResult                               // reuse
	actionSetHealth                                  // readiness
	actionSetLoadSignal                              // signal
	actionCloseIdleConnections                       // close_idle
	actionScheduleTick                               // wake_at
	actionLog                                        // log
	actionReportFailure                              // internal_error
)

// Byte offsets of fields in their record. Each record starts with a code and an instance. Most records continue with a
// request.
const (
	atCode     = 0
	atInstance = 2
	atRequest  = 6
)

// Bits of the marks field of a request.
const (
	markCostHint = 1 // the cost hint is valid
	markRetry    = 2 // a retry or a hedged request
)

// The reasons why a frame is invalid. A *FrameError wraps one of them.
var (
	ErrTruncated      = errors.New("unexpected end of input")
	ErrLength         = errors.New("invalid length")
	ErrClock          = errors.New("clock is not a finite number")
	ErrTailRange      = errors.New("range outside the tail")
	ErrUnknownOutcome = errors.New("unknown outcome")
	ErrUnknownEvent   = errors.New("unknown event code")
)

// FrameError is the error of an invalid frame.
type FrameError struct {
	Offset int64 // of the invalid byte in the frame
	Err    error // wraps one of the reasons above
}

// Error returns the offset and the reason.
func (e *FrameError) Error() string { return fmt.Sprintf("offset %d: %v", e.Offset, e.Err) }

// Unwrap returns the reason.
func (e *FrameError) Unwrap() error { return e.Err }

// frameErrorf returns a *FrameError whose reason wraps the error among the arguments.
func frameErrorf(offset int64, format string, args ...any) error {
	return &FrameError{Offset: offset, Err: fmt.Errorf(format, args...)}
}

// record holds the bytes of one record or header. Its methods read and write fields at byte offsets.
type record []byte

func (r record) uint8(at int) uint8   { return r[at] }
func (r record) uint16(at int) uint16 { return binary.LittleEndian.Uint16(r[at:]) }
func (r record) uint32(at int) uint32 { return binary.LittleEndian.Uint32(r[at:]) }
func (r record) uint64(at int) uint64 { return binary.LittleEndian.Uint64(r[at:]) }

func (r record) float32(at int) float64 { return float64(math.Float32frombits(r.uint32(at))) }
func (r record) float64(at int) float64 { return math.Float64frombits(r.uint64(at)) }

// duration reads a duration in milliseconds.
func (r record) duration(at int) time.Duration { return settings.FromMillis(r.float64(at)) }

func (r record) requestID(at int) control.RequestID { return control.RequestID(r.uint32(at)) }

func (r record) putUint16(at int, value uint16) { binary.LittleEndian.PutUint16(r[at:], value) }
func (r record) putUint32(at int, value uint32) { binary.LittleEndian.PutUint32(r[at:], value) }
func (r record) putUint64(at int, value uint64) { binary.LittleEndian.PutUint64(r[at:], value) }

func (r record) putFloat32(at int, value float64) { r.putUint32(at, math.Float32bits(float32(value))) }
func (r record) putFloat64(at int, value float64) { r.putUint64(at, math.Float64bits(value)) }

// putDuration writes a duration in milliseconds.
func (r record) putDuration(at int, value time.Duration) { r.putFloat64(at, float64(value)/1e6) }

func (r record) putBool(at int, value bool) {
	r[at] = 0
	if value {
		r[at] = 1
	}
}
