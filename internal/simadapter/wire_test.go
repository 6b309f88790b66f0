package simadapter

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
	"time"

	"pewterline/control"
	"pewterline/internal/settings"
)

const settingsText = `{"classes": [{"name": "a", "aim_ms": 1000, "hard_limit_ms": 4000, "worth": 1, "effect": "free"},
 {"name": "b", "aim_ms": 1500.5, "hard_limit_ms": 4000, "worth": 3, "effect": "guarded", "window_ms": 9000}],
 "limits": {"retry_after": true, "max_retry_after_ms": 700}, "layer": 1, "some_new_key": [1, 2],
 "extra": {"cores": 4, "memory_kb": 1000, "key_kb": 2, "run_factor": 8, "stop_mode": "freeze", "say": "floor",
 "downstream": "tier", "class_calls": [false, true], "gauges": ["mem_used", "cpu_busy"]}, "rules": {"ramp_time_ms": 5000}}`

// frame builds a batch of our own making.
type frame struct{ recs, tail []byte }

func (f *frame) add(code uint16, inst uint32) []byte {
	f.recs = append(f.recs, make([]byte, eventSize)...)
	r := f.recs[len(f.recs)-eventSize:]
	binary.LittleEndian.PutUint16(r, code)
	binary.LittleEndian.PutUint32(r[2:], inst)
	return r
}

func (f *frame) start(inst uint32, text string) {
	r := f.add(evStart, inst)
	binary.LittleEndian.PutUint32(r[14:], uint32(len(f.tail)))
	binary.LittleEndian.PutUint32(r[18:], uint32(len(text)))
	f.tail = append(f.tail, text...)
}

func (f *frame) bytes(number uint32, ms float64) []byte {
	h := make([]byte, headerSize)
	binary.LittleEndian.PutUint32(h, number)
	binary.LittleEndian.PutUint32(h[4:], uint32(headerSize+len(f.recs)+len(f.tail)))
	binary.LittleEndian.PutUint64(h[8:], math.Float64bits(ms))
	binary.LittleEndian.PutUint32(h[16:], uint32(len(f.recs)/eventSize))
	return append(append(h, f.recs...), f.tail...)
}

func serve(t *testing.T, in []byte) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	err := NewHost().Serve(bytes.NewReader(in), &out)
	return out.Bytes(), err
}

func TestSettings(t *testing.T) {
	s, gauges, err := settings.Parse([]byte(settingsText), 9)
	if err != nil {
		t.Fatal(err)
	}
	b := s.Classes[1]
	if s.Seed != 9 || s.Cores != 4 || s.Preemption != control.PreemptSuspend || s.LoadSignal != control.LoadSignalThreshold ||
		s.Dependency != control.DependencyTier || s.MaxRetryAfter != 700*time.Millisecond || s.WarmUpTime != 5*time.Second {
		t.Errorf("settings %+v", s)
	}
	if b.LatencyObjective != 1500500*time.Microsecond || b.Idempotency != control.IdempotentByKey || !b.MakesCalls || b.RetentionWindow != 9*time.Second {
		t.Errorf("class %+v", b)
	}
	if g := settings.ReadGauges(gauges, []float64{0.25, 0.5}); g.Memory != 0.25 || g.CPUUtilization != 0.5 || g.Runnable != -1 {
		t.Errorf("gauges %+v", g)
	}
	for _, bad := range []string{`{`, strings.Replace(settingsText, "freeze", "melt", 1), strings.Replace(settingsText, "guarded", "x", 1)} {
		if _, _, err := settings.Parse([]byte(bad), 1); err == nil {
			t.Error("no error for settings that make no sense")
		}
	}
}

// A request is run in the reply to the batch that brings it; a stop and a start in one batch leave nothing behind.
func TestServe(t *testing.T) {
	var f frame
	f.start(3, settingsText)
	job := f.add(evJobIn, 3)
	binary.LittleEndian.PutUint32(job[6:], 77)
	binary.LittleEndian.PutUint32(job[40:], math.Float32bits(1))
	var g frame
	g.add(evKilled, 3)
	g.start(3, settingsText)
	done := g.add(evCompleted, 3)
	binary.LittleEndian.PutUint32(done[6:], 77)
	done[10] = 10
	out, err := serve(t, append(f.bytes(1, 5), g.bytes(2, 10)...))
	if err != nil {
		t.Fatal(err)
	}
	size := binary.LittleEndian.Uint32(out[8:])
	if !hasAction(out[:size], acLaunch, 77) {
		t.Error("the request was not run")
	}
	if second := out[size:]; binary.LittleEndian.Uint32(second) != 2 || hasAction(second, acLaunch, 77) {
		t.Error("the second life knows the first one's request")
	}
}

func hasAction(reply []byte, code uint16, id uint32) bool {
	n := int(binary.LittleEndian.Uint32(reply[4:]))
	for i := range n {
		r := reply[replyHeader+i*actionSize:]
		if binary.LittleEndian.Uint16(r) == code && binary.LittleEndian.Uint32(r[6:]) == id {
			return true
		}
	}
	return false
}

func TestMalformed(t *testing.T) {
	var f frame
	f.start(1, settingsText)
	good := f.bytes(1, 5)
	change := func(at int, v uint32) []byte {
		b := bytes.Clone(good)
		binary.LittleEndian.PutUint32(b[at:], v)
		return b
	}
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"cut inside a header": {good[:7], "offset 7"},
		"cut inside a frame":  {good[:50], "offset 50"},
		"length too small":    {change(4, 3), "offset 4"},
		"length huge":         {change(4, math.MaxUint32), "offset 4"},
		"count":               {change(16, 1e9), "offset 16"},
		"tail offset":         {change(headerSize+14, 1e9), "offset 20"},
		"event code":          {change(headerSize, 99), "unknown event code"},
	} {
		if _, err := serve(t, c.in); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", name, err, c.want)
		}
	}
	if _, err := serve(t, nil); err != nil {
		t.Errorf("end of input between frames: %v", err)
	}
}

// Settings that make no sense and a panic both come back as the wire's internal error.
func TestInternalError(t *testing.T) {
	var f frame
	f.start(1, `{"classes": []}`)
	out, err := serve(t, f.bytes(1, 0))
	if err != nil || binary.LittleEndian.Uint16(out[replyHeader:]) != acInternal {
		t.Errorf("%v, %v", out, err)
	}
	h := NewHost()
	h.instances[5] = &instance{events: []control.Event{control.Tick{}}} // no controller: the step panics
	reply := &Reply{}
	h.step(0, 5, reply)
	if binary.LittleEndian.Uint16(reply.records) != acInternal || !strings.Contains(string(reply.tail), "panic") {
		t.Error("a panic is not reported")
	}
}

func TestActions(t *testing.T) {
	var w Reply
	w.Append(4, control.Reject{ID: 9, NoRetry: true, RetryAfter: 250 * time.Millisecond})
	w.Append(4, control.Log{Text: "why"})
	out := w.Encode(8)
	r := rec(out[replyHeader:])
	if r.u16(0) != acBusy || r.u32(2) != 4 || r.u32(6) != 9 || r.u8(10) != 1 || r.f64(11) != 250 {
		t.Errorf("refusal %x", out)
	}
	if int(binary.LittleEndian.Uint32(out[8:])) != len(out) || string(out[len(out)-3:]) != "why" {
		t.Errorf("frame %x", out)
	}
}

func FuzzDecode(f *testing.F) {
	var g frame
	g.start(1, settingsText)
	g.add(evFired, 1)[14] = 3
	f.Add(g.bytes(1, 5))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, in []byte) {
		b, err := Decode(in)
		if err == nil && len(b.Records)*eventSize > len(in) {
			t.Errorf("%d records from %d bytes", len(b.Records), len(in))
		}
	})
}
