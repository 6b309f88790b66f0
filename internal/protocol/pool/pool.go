// Package pool reads and writes the line protocol of the worker pool over byte slices.
package pool

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
)

const (
	maxLine   = 1 << 10
	maxResult = 4 << 10 // the protocol's; guards against a broken length, which has all that follows wait for its end
	// maxCall bounds the body of a call and of the reply to it. The protocol states none; the vault's parser has the same.
	maxCall = 64 << 10
	// unknownGauge stands for a gauge that is told as no finite number. The decision module takes negative ones for not known.
	unknownGauge = -1
)

// ErrMalformed is wrapped by every error of Parse: the link's stream can no longer be trusted.
var ErrMalformed = errors.New("pool: broken line")

// Kind is the first word of a message.
type Kind uint8

// The messages of the worker pool.
const (
	Bound Kind = iota + 1
	Finished
	Polled
	Unknown
	Chatter
	Blocked
	Verified
)

// Outcome says how a run ended.
type Outcome uint8

// The ends of a run.
const (
	Pass Outcome = iota + 1
	Fail
	Killed
	Noop
)

var ends = map[string]Outcome{"PASS": Pass, "FAIL": Fail, "KILLED": Killed, "NOOP": Noop}

// Message is one message of the worker pool; which fields are set depends on its kind. Result shares the
// input's memory.
type Message struct {
	Kind         Kind
	Loaded       bool      // Bound: LOADED rather than EMPTY
	Milliseconds float64   // Bound: age of the pool; Finished: length of the run
	Notice       uint64    // Finished, Chatter, Blocked
	ID           string    // Finished, Unknown, Blocked
	Outcome      Outcome   // Finished; Verified: Pass or Fail
	Result       []byte    // Finished
	Call         []byte    // Blocked: the body of the call that the run waits for
	Tag          string    // Polled, Verified
	Gauges       []float64 // Polled; -1 where the pool told no finite number
	Command      string    // Unknown
}

// isFinite guards the means that a number is counted into: one that is not finite would stay in them for good.
func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

func broken(line []byte, why string) error {
	return fmt.Errorf("%w: %s in %q", ErrMalformed, why, line[:min(len(line), 80)])
}

// ParseMessage takes the first message off in. n is 0 while it is not whole.
func ParseMessage(in []byte) (m Message, n int, err error) {
	end := bytes.Index(in[:min(len(in), maxLine)], []byte("\r\n"))
	if end < 0 {
		if len(in) >= maxLine {
			return Message{}, 0, broken(in, "no end")
		}
		return Message{}, 0, nil
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
	span := func(i int) float64 {
		v := number(i)
		if !isFinite(v) && err == nil {
			err = broken(line, "no span of time")
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
		m.Kind, m.Milliseconds = Bound, span(2)
		switch string(words[1]) {
		case "LOADED":
			m.Loaded = true
		case "EMPTY":
		default:
			return Message{}, 0, broken(line, "unknown state")
		}
	case word == "finished" && len(words) == 6:
		m.Kind, m.Notice, m.ID, m.Milliseconds = Finished, whole(1), string(words[2]), span(4)
		m.Outcome = ends[string(words[3])]
		size := whole(5)
		if m.Outcome == 0 || size > maxResult {
			return Message{}, 0, broken(line, "unknown end or length")
		}
		var bodyErr error
		if m.Result, n, bodyErr = splitBody(in, n, int(size)); n == 0 {
			return Message{}, 0, errors.Join(err, bodyErr)
		}
	case word == "blocked" && len(words) == 4:
		m.Kind, m.Notice, m.ID = Blocked, whole(1), string(words[2])
		size := whole(3)
		if size > maxCall {
			return Message{}, 0, broken(line, "length")
		}
		var bodyErr error
		if m.Call, n, bodyErr = splitBody(in, n, int(size)); n == 0 {
			return Message{}, 0, errors.Join(err, bodyErr)
		}
	case word == "verified" && len(words) == 3:
		m.Kind, m.Tag, m.Outcome = Verified, string(words[1]), ends[string(words[2])]
		if m.Outcome != Pass && m.Outcome != Fail {
			return Message{}, 0, broken(line, "unknown end")
		}
	case word == "polled" && len(words) >= 2:
		m.Kind, m.Tag = Polled, string(words[1])
		for i := range words[2:] {
			gauge := number(i + 2)
			if !isFinite(gauge) {
				gauge = unknownGauge
			}
			m.Gauges = append(m.Gauges, gauge)
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
		return Message{}, 0, broken(line, "unknown message")
	}
	if err != nil {
		return Message{}, 0, err
	}
	return m, n, nil
}

// splitBody takes a body of size bytes that begins at from, and its line end. n is where it ends; 0 while it is not whole.
func splitBody(in []byte, from, size int) (body []byte, n int, err error) {
	end := from + size
	if len(in) < end+2 {
		return nil, 0, nil
	}
	if in[end] != '\r' || in[end+1] != '\n' {
		return nil, 0, broken(in, "body without its end")
	}
	return in[from:end], end + 2, nil
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

// AppendSupply hands a run the reply to the call that it waits for.
func AppendSupply(out []byte, id string, reply []byte) []byte {
	out = fmt.Appendf(out, "supply %s %d\r\n", id, len(reply))
	return append(append(out, reply...), '\r', '\n')
}

// AppendVerify asks for the work of a deep health check.
func AppendVerify(out []byte, tag string) []byte { return fmt.Appendf(out, "verify %s\r\n", tag) }
