package pool

import (
	"fmt"
	"math"
	"strconv"

	"pewterline/internal/protocol/textline"
)

// unknownGauge replaces a gauge whose reported value is not finite. Package control treats negative gauges as unknown.
const unknownGauge = -1

// Kind is the first word of a message.
type Kind uint8

// The messages of the worker pool.
const (
	Bound    Kind = iota + 1 // the connection is bound; missed notices follow
	Finished                 // notice: a run has ended
	Polled                   // the answer to a poll, with the gauges
	Unknown                  // a command was not executed
	Chatter                  // has no meaning, but may use up the number of a notice
	Blocked                  // notice: a run waits for a downstream call
	Verified                 // the answer to a deep health check
)

// String returns the kind's word in the protocol.
func (k Kind) String() string {
	switch k {
	case Bound:
		return "bound"
	case Finished:
		return "finished"
	case Polled:
		return "polled"
	case Unknown:
		return "unknown"
	case Chatter:
		return "chatter"
	case Blocked:
		return "blocked"
	case Verified:
		return "verified"
	}
	return "invalid"
}

// Message is one decoded message of the worker pool. Which fields are set depends on its kind. Result and Call share
// the input's memory.
type Message struct {
	Kind         Kind
	Loaded       bool      // Bound: the pool is LOADED rather than EMPTY
	Milliseconds float64   // Bound: age of the pool; Finished: duration of the run
	Notice       uint64    // Finished, Chatter, Blocked
	ID           string    // Finished, Blocked: the run; Unknown: the ID or tag in the command
	Outcome      Outcome   // Finished; Verified: Pass or Fail
	Result       []byte    // Finished
	Call         []byte    // Blocked: the body of the downstream call
	Tag          string    // Polled, Verified
	Gauges       []float64 // Polled; -1 for each gauge that is not finite
	Command      string    // Unknown: the command's verb
}

// ParseMessage parses the first message in in. n is its length, or 0 while the message is incomplete.
func ParseMessage(in []byte) (m Message, n int, err error) {
	line, n, err := framing().Line(in)
	if err != nil || n == 0 {
		return Message{}, 0, err
	}
	m, bodySize := parseMessageLine(&line)
	if err := line.Err(); err != nil {
		return Message{}, 0, err
	}
	if m.Kind != Finished && m.Kind != Blocked {
		return m, n, nil
	}
	body, n, err := framing().Body(in, n, bodySize)
	if err != nil || n == 0 {
		return Message{}, 0, err
	}
	if m.Kind == Finished {
		m.Result = body
	} else {
		m.Call = body
	}
	return m, n, nil
}

// parseMessageLine parses the line of a message, which includes the size of the body that follows it.
func parseMessageLine(line *textline.Line) (m Message, bodySize int) {
	switch line.Text(0) {
	case "bound":
		return parseBound(line), 0
	case "finished":
		return parseFinished(line)
	case "blocked":
		return parseBlocked(line)
	case "verified":
		return parseVerified(line), 0
	case "polled":
		return parsePolled(line), 0
	case "unknown":
		return parseUnknown(line), 0
	case "chatter":
		return parseChatter(line), 0
	}
	line.Fail("unknown message")
	return Message{}, 0
}

// parseBound parses "bound LOADED|EMPTY AGE_MS".
func parseBound(line *textline.Line) Message {
	line.RequireCount(3)
	m := Message{Kind: Bound, Milliseconds: parseFinite(line, 2)}
	switch line.Text(1) {
	case "LOADED":
		m.Loaded = true
	case "EMPTY":
	default:
		line.Fail("expected LOADED or EMPTY")
	}
	return m
}

// parseFinished parses "finished NOTICE ID OUTCOME MS LENGTH".
func parseFinished(line *textline.Line) (m Message, bodySize int) {
	line.RequireCount(6)
	m = Message{
		Kind:         Finished,
		Notice:       line.Unsigned(1),
		ID:           line.Text(2),
		Outcome:      parseOutcome(line.Text(3)),
		Milliseconds: parseFinite(line, 4),
	}
	if m.Outcome == 0 {
		line.Fail("unknown outcome")
	}
	return m, line.Length(5, maxResult)
}

// parseBlocked parses "blocked NOTICE ID LENGTH".
func parseBlocked(line *textline.Line) (m Message, bodySize int) {
	line.RequireCount(4)
	return Message{Kind: Blocked, Notice: line.Unsigned(1), ID: line.Text(2)}, line.Length(3, maxCall)
}

// parseVerified parses "verified TAG PASS|FAIL".
func parseVerified(line *textline.Line) Message {
	line.RequireCount(3)
	m := Message{Kind: Verified, Tag: line.Text(1), Outcome: parseOutcome(line.Text(2))}
	if m.Outcome != Pass && m.Outcome != Fail {
		line.Fail("unknown outcome")
	}
	return m
}

// parsePolled parses "polled TAG GAUGE...".
func parsePolled(line *textline.Line) Message {
	m := Message{Kind: Polled, Tag: line.Text(1)}
	for i := 2; i < line.Count(); i++ {
		gauge := line.Float(i)
		if !isFinite(gauge) {
			gauge = unknownGauge
		}
		m.Gauges = append(m.Gauges, gauge)
	}
	return m
}

// parseUnknown parses "unknown COMMAND [ID ...]".
func parseUnknown(line *textline.Line) Message {
	m := Message{Kind: Unknown, Command: line.Text(1)}
	if line.Count() > 2 {
		m.ID = line.Text(2)
	}
	return m
}

// parseChatter parses "chatter [NOTICE] ...". Any text may follow "chatter", with or without a number.
func parseChatter(line *textline.Line) Message {
	m := Message{Kind: Chatter}
	if line.Count() > 1 {
		m.Notice, _ = strconv.ParseUint(line.Text(1), 10, 63) // 0 if the word is not a number
	}
	return m
}

// parseFinite parses a word as a finite number. An infinity or NaN would corrupt the running means that include it.
func parseFinite(line *textline.Line, i int) float64 {
	number := line.Float(i)
	if !isFinite(number) {
		line.Fail("expected a finite number")
	}
	return number
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// AppendFinished appends the notice that a run has ended.
func AppendFinished(out []byte, notice uint64, id string, outcome Outcome, ms int, result []byte) []byte {
	out = fmt.Appendf(out, "finished %d %s %s %d %d\r\n", notice, id, outcome, ms, len(result))
	return textline.AppendBody(out, result)
}

// AppendBlocked appends the notice that a run waits for a downstream call. call is the body of the call.
func AppendBlocked(out []byte, notice uint64, id string, call []byte) []byte {
	out = fmt.Appendf(out, "blocked %d %s %d\r\n", notice, id, len(call))
	return textline.AppendBody(out, call)
}

// AppendVerified appends the answer to a deep health check.
func AppendVerified(out []byte, tag string, outcome Outcome) []byte {
	return fmt.Appendf(out, "verified %s %s\r\n", tag, outcome)
}
