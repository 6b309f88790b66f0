package simadapter

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"pewterline/control"
	"pewterline/internal/settings"
)

// Host carries the instances of one process between the wire and their Controllers.
type Host struct {
	instances map[uint32]*instance
}

type instance struct {
	ctl    *control.Controller
	gauges []string
	events []control.Event
}

// NewHost returns a Host without instances.
func NewHost() *Host { return &Host{instances: map[uint32]*instance{}} }

// Serve answers frames until the input ends between two of them.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<16), bufio.NewWriter(w)
	for n := 0; ; n++ {
		frame, err := readFrame(in)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		b, err := Decode(frame)
		if err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		if _, err := out.Write(h.HandleBatch(b).Encode(b.Number)); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}

func readFrame(in *bufio.Reader) ([]byte, error) {
	head := make([]byte, headerSize)
	if n, err := io.ReadFull(in, head); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, fmt.Errorf("offset %d: input ends inside a header", n)
		}
		return nil, err
	}
	size := binary.LittleEndian.Uint32(head[4:])
	if size < headerSize || size > maxFrameSize {
		return nil, fmt.Errorf("offset 4: length %d is out of range", size)
	}
	// Read through a limit, so that a wrong length never allocates more than what is there.
	rest, err := io.ReadAll(io.LimitReader(in, int64(size-headerSize)))
	if err != nil {
		return nil, err
	}
	if len(rest) < int(size-headerSize) {
		return nil, fmt.Errorf("offset %d: input ends inside a frame of %d bytes", headerSize+len(rest), size)
	}
	return append(head, rest...), nil
}

// HandleBatch hands each instance its events, in their order, and gathers what it does.
func (h *Host) HandleBatch(b Batch) *Reply {
	reply := &Reply{}
	var order []uint32
	for _, rec := range b.Records {
		switch ev := rec.Event.(type) {
		case InstanceKilled:
			// What the old life had not yet been told dies with it.
			delete(h.instances, rec.Instance)
		case InstanceStarted:
			h.start(rec.Instance, ev, reply)
			order = append(order, rec.Instance)
		default:
			in := h.instances[rec.Instance]
			if in == nil {
				continue // an event of a life that is over
			}
			if t, ok := ev.(control.Tick); ok {
				t.Gauges = settings.ReadGauges(in.gauges, rec.GaugeValues)
				in.events = append(in.events, t)
			} else {
				in.events = append(in.events, ev.(control.Event))
			}
			order = append(order, rec.Instance)
		}
	}
	for i, id := range order {
		if !slices.Contains(order[:i], id) {
			h.step(b.Now, id, reply)
		}
	}
	return reply
}

func (h *Host) start(id uint32, ev InstanceStarted, reply *Reply) {
	delete(h.instances, id)
	s, gauges, err := settings.Parse(ev.Settings, ev.Seed)
	if err != nil {
		reply.ReportFailure(id, err.Error())
		return
	}
	ctl, err := control.New(s)
	if err != nil {
		reply.ReportFailure(id, err.Error())
		return
	}
	h.instances[id] = &instance{ctl: ctl, gauges: gauges}
}

// step runs one instance on its events. A panic is reported as the wire's internal error.
func (h *Host) step(now time.Duration, id uint32, reply *Reply) {
	in := h.instances[id]
	if in == nil {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			delete(h.instances, id)
			reply.ReportFailure(id, fmt.Sprintf("panic: %v", p))
		}
	}()
	events := in.events
	in.events = nil
	for _, a := range in.ctl.Step(now, events) {
		reply.Append(id, a)
	}
}
