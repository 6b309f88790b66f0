// Package pool reads and writes the line protocol of the worker pool over byte slices.
package pool

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

const (
	maxLine   = 1 << 10
	maxResult = 4 << 10 // the protocol's; guards against a broken length, which has all that follows wait for its end
)

// ErrLine is wrapped by every error of Parse: the link's stream can no longer be trusted.
var ErrLine = errors.New("pool: broken line")

// Kind is the first word of a message.
type Kind uint8

// The messages of the worker pool.
const (
	Bound Kind = iota + 1
	Finished
	Polled
	Unknown
	Chatter
)

// End says how a run ended.
type End uint8

// The ends of a run.
const (
	Pass End = iota + 1
	Fail
	Killed
	Noop
)

var ends = map[string]End{"PASS": Pass, "FAIL": Fail, "KILLED": Killed, "NOOP": Noop}

// Message is one message of the worker pool; which fields are set depends on its kind. Result shares the
// input's memory.
type Message struct {
	Kind    Kind
	Loaded  bool      // Bound: LOADED rather than EMPTY
	MS      float64   // Bound: age of the pool; Finished: length of the run
	Notice  uint64    // Finished, Chatter
	ID      string    // Finished, Unknown
	End     End       // Finished
	Result  []byte    // Finished
	Tag     string    // Polled
	Gauges  []float64 // Polled
	Command string    // Unknown
}

func broken(line []byte, why string) error {
	return fmt.Errorf("%w: %s in %q", ErrLine, why, line[:min(len(line), 80)])
}

// Parse takes the first message off in. n is 0 while it is not whole.
func Parse(in []byte) (m Message, n int, err error) {
	end := bytes.Index(in[:min(len(in), maxLine)], []byte("\r\n"))
	if end < 0 {
		if len(in) >= maxLine {
			return m, 0, broken(in, "no end")
		}
		return m, 0, nil
	}
	line := in[:end]
	n = end + 2
	words := bytes.Split(line, []byte(" "))
	number := func(i int) float64 {
		v, e := strconv.ParseFloat(string(words[i]), 64)
		if e != nil && err == nil {
			err = broken(line, "no number")
		}
		return v
	}
	whole := func(i int) uint64 {
		v, e := strconv.ParseUint(string(words[i]), 10, 63)
		if e != nil && err == nil {
			err = broken(line, "no whole number")
		}
		return v
	}
	switch word := string(words[0]); {
	case word == "bound" && len(words) == 3:
		m.Kind, m.MS = Bound, number(2)
		switch string(words[1]) {
		case "LOADED":
			m.Loaded = true
		case "EMPTY":
		default:
			return m, 0, broken(line, "unknown state")
		}
	case word == "finished" && len(words) == 6:
		m.Kind, m.Notice, m.ID, m.MS = Finished, whole(1), string(words[2]), number(4)
		m.End = ends[string(words[3])]
		size := whole(5)
		if m.End == 0 || size > maxResult {
			return m, 0, broken(line, "unknown end or length")
		}
		if len(in) < n+int(size)+2 {
			return Message{}, 0, err
		}
		m.Result = in[n : n+int(size)]
		n += int(size)
		if in[n] != '\r' || in[n+1] != '\n' {
			return m, 0, broken(line, "result without its end")
		}
		n += 2
	case word == "polled" && len(words) >= 2:
		m.Kind, m.Tag = Polled, string(words[1])
		for i := range words[2:] {
			m.Gauges = append(m.Gauges, number(i+2))
		}
	case word == "unknown" && len(words) >= 2:
		m.Kind, m.Command = Unknown, string(words[1])
		if len(words) > 2 {
			m.ID = string(words[2])
		}
	case word == "chatter":
		m.Kind = Chatter
		if len(words) > 1 {
			m.Notice, _ = strconv.ParseUint(string(words[1]), 10, 63)
		}
	default:
		return m, 0, broken(line, "unknown message")
	}
	if err != nil {
		return Message{}, 0, err
	}
	return m, n, nil
}

// AppendBind opens a link; notice is the last one that was read.
func AppendBind(out []byte, notice uint64) []byte {
	return fmt.Appendf(out, "bind %d\r\n", notice)
}

// AppendSpawn starts a run.
func AppendSpawn(out []byte, id, class string, body []byte) []byte {
	out = fmt.Appendf(out, "spawn %s %s %d\r\n", id, class, len(body))
	return append(append(out, body...), '\r', '\n')
}

// AppendSuspend stops a run.
func AppendSuspend(out []byte, id string) []byte { return fmt.Appendf(out, "suspend %s\r\n", id) }

// AppendPoll asks for the gauges.
func AppendPoll(out []byte, tag string) []byte { return fmt.Appendf(out, "poll %s\r\n", tag) }
