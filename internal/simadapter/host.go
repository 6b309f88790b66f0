package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"pewterline/control"
	"pewterline/internal/settings"
)

// inputBufferSize is the size of the input buffer, in bytes.
const inputBufferSize = 1 << 16

// Host runs the controllers of the instances of one process. It must not be used concurrently.
type Host struct {
	instances map[uint32]*instance
}

// instance is one simulated server.
type instance struct {
	controller *control.Controller
	gaugeNames []string
	events     []control.Event // of the current batch
}

// NewHost returns a Host without instances.
func NewHost() *Host { return &Host{instances: map[uint32]*instance{}} }

// Serve reads frames and writes one reply to each. It returns nil when the input ends between two frames. An error
// contains the number of the frame; the error of an invalid frame wraps a *FrameError.
func (h *Host) Serve(input io.Reader, output io.Writer) error {
	reader, writer := bufio.NewReaderSize(input, inputBufferSize), bufio.NewWriter(output)
	for number := 0; ; number++ {
		frame, err := readFrame(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", number, err)
		}
		batch, err := Decode(frame)
		if err != nil {
			return fmt.Errorf("frame %d: %w", number, err)
		}
		if _, err := writer.Write(h.HandleBatch(batch).Encode(batch.Number)); err != nil {
			return fmt.Errorf("reply to frame %d: %w", number, err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("reply to frame %d: %w", number, err)
		}
	}
}

// readFrame reads one complete frame. The error is io.EOF if the input has ended before it.
func readFrame(reader *bufio.Reader) ([]byte, error) {
	header := make(record, batchHeaderSize)
	if read, err := io.ReadFull(reader, header); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, frameErrorf(int64(read), "%w: inside a header", ErrTruncated)
		}
		return nil, err
	}
	length := header.uint32(4)
	if length < batchHeaderSize || length > maxFrameSize {
		return nil, frameErrorf(4, "%w: %d is out of range", ErrLength, length)
	}
	// Read through a limit, so that a corrupt length never allocates more than the input holds.
	wanted := int64(length) - batchHeaderSize
	rest, err := io.ReadAll(io.LimitReader(reader, wanted))
	if err != nil {
		return nil, err
	}
	if int64(len(rest)) < wanted {
		return nil, frameErrorf(int64(batchHeaderSize+len(rest)), "%w: inside a frame of %d bytes", ErrTruncated, length)
	}
	return append(header, rest...), nil
}

// HandleBatch passes each instance its events, in their order, and collects the resulting actions. Instances are
// stepped in the order in which the batch first names them.
func (h *Host) HandleBatch(batch Batch) *Reply {
	reply := &Reply{}
	var order []uint32
	for _, rec := range batch.Records {
		switch rec.Kind {
		case RecordInstanceKilled:
			// Earlier events of this batch for the killed instance are dropped with it.
			delete(h.instances, rec.Instance)
		case RecordInstanceStarted:
			h.start(rec.Instance, rec.Started, reply)
			order = append(order, rec.Instance)
		case RecordEvent:
			if h.addEvent(rec) {
				order = append(order, rec.Instance)
			}
		}
	}
	for i, id := range order {
		if !slices.Contains(order[:i], id) {
			h.step(batch.Now, id, reply)
		}
	}
	return reply
}

// addEvent queues an event for its instance. It returns false if the instance is not running.
func (h *Host) addEvent(rec Record) bool {
	target := h.instances[rec.Instance]
	if target == nil {
		return false
	}
	event := rec.Event
	if tick, ok := event.(control.Tick); ok {
		tick.Gauges = settings.ReadGauges(target.gaugeNames, rec.GaugeValues)
		event = tick
	}
	target.events = append(target.events, event)
	return true
}

// start creates the controller of an instance. An error is reported in the reply.
func (h *Host) start(id uint32, started InstanceStarted, reply *Reply) {
	delete(h.instances, id)
	parsed, gaugeNames, err := settings.Parse(started.Settings, started.Seed)
	if err != nil {
		reply.ReportFailure(id, err.Error())
		return
	}
	controller, err := control.New(parsed)
	if err != nil {
		reply.ReportFailure(id, err.Error())
		return
	}
	h.instances[id] = &instance{controller: controller, gaugeNames: gaugeNames}
}

// step passes an instance its queued events. A panic of its controller is reported in the reply, as the wire protocol
// requires, and ends only this instance.
func (h *Host) step(now time.Duration, id uint32, reply *Reply) {
	stepped := h.instances[id]
	if stepped == nil {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			delete(h.instances, id)
			reply.ReportFailure(id, fmt.Sprintf("panic: %v", cause))
		}
	}()
	events := stepped.events
	stepped.events = nil
	for _, action := range stepped.controller.Step(now, events) {
		reply.Append(id, action)
	}
}
