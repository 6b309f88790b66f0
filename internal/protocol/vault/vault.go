// Package vault is the codec of the vault's line protocol. Package vaultclient encodes commands and parses replies; the
// vaults in tests do the reverse. It works on byte slices, does no I/O and keeps no state between calls. The format is
// specified on the operators' page on the vault.
package vault

import (
	"errors"
	"fmt"
	"strconv"

	"pewterline/internal/protocol/textline"
)

const (
	maxLine = 1 << 10
	// MaxBody is the limit on the bodies of calls and replies, in bytes. The protocol states none; real bodies are far
	// smaller. A larger length is malformed, because a corrupted length would make the parser wait for a body that
	// never arrives.
	MaxBody = 64 << 10
	// MaxWaitMS is the longest wait that a call may state, in milliseconds: an hour, which is longer than any deadline.
	MaxWaitMS = 3600_000
	// idDigits is the length of a request ID in hex digits.
	idDigits = 16
)

// ErrMalformed is wrapped by every parse error. The stream cannot be parsed any further after it.
var ErrMalformed = errors.New("vault: malformed line")

// framing returns the framing parameters of the protocol.
func framing() textline.Framing {
	return textline.Framing{MaxLine: maxLine, Malformed: ErrMalformed}
}

// Status is the status of a reply, named after its word in the protocol.
type Status uint8

// The statuses of replies.
const (
	Yes       Status = iota + 1 // the call succeeded; the reply's body follows
	NotNow                      // rejected: the call never ran
	Failed                      // the call failed, possibly after taking effect
	Overdue                     // the call's deadline has passed or its run has ended; it may have taken effect
	Pointless                   // no run waits for the call: it never ran
)

// String returns the status's word in the protocol.
func (s Status) String() string {
	switch s {
	case Yes:
		return "yes"
	case NotNow:
		return "notnow"
	case Failed:
		return "failed"
	case Overdue:
		return "overdue"
	case Pointless:
		return "pointless"
	}
	return ""
}

// parseStatus returns the status for a word, or 0 if the word is unknown.
func parseStatus(word string) Status {
	for status := Yes; status <= Pointless; status++ {
		if status.String() == word {
			return status
		}
	}
	return 0
}

// Reply is one decoded reply of the vault. Body shares the input's memory.
type Reply struct {
	ID     string
	Status Status
	Body   []byte // if the status is Yes
}

// Verb is the first word of a command.
type Verb uint8

// The commands of a log server.
const (
	Ask   Verb = iota + 1 // makes a call
	Unask                 // abandons a call
)

// String returns the verb's word in the protocol.
func (v Verb) String() string {
	switch v {
	case Ask:
		return "ask"
	case Unask:
		return "unask"
	}
	return ""
}

// Command is one decoded command of a log server. Body shares the input's memory.
type Command struct {
	Verb   Verb
	ID     string
	WaitMS int    // Ask: how long the log server waits, in milliseconds
	Body   []byte // Ask
}

// AppendAsk appends the command that makes a call. waitMS is how long the log server waits for the reply, in
// milliseconds.
func AppendAsk(out []byte, id string, waitMS int, body []byte) []byte {
	out = fmt.Appendf(out, "ask %s %d %d\r\n", id, waitMS, len(body))
	return textline.AppendBody(out, body)
}

// AppendUnask appends the command that abandons a call.
func AppendUnask(out []byte, id string) []byte { return fmt.Appendf(out, "unask %s\r\n", id) }

// AppendReply appends a reply. Only Yes has a body.
func AppendReply(out []byte, id string, status Status, body []byte) []byte {
	if status != Yes {
		return fmt.Appendf(out, "%s %s\r\n", id, status)
	}
	out = fmt.Appendf(out, "%s %s %d\r\n", id, status, len(body))
	return textline.AppendBody(out, body)
}

// ParseReply parses the first reply in in. n is its length, or 0 while the reply is incomplete.
func ParseReply(in []byte) (r Reply, n int, err error) {
	line, n, err := framing().Line(in)
	if err != nil || n == 0 {
		return Reply{}, 0, err
	}
	r, bodySize := parseReplyLine(&line)
	if err := line.Err(); err != nil {
		return Reply{}, 0, err
	}
	if r.Status != Yes {
		return r, n, nil
	}
	if r.Body, n, err = framing().Body(in, n, bodySize); err != nil || n == 0 {
		return Reply{}, 0, err
	}
	return r, n, nil
}

// parseReplyLine parses "ID STATUS", or "ID yes LENGTH" with the size of the body that follows.
func parseReplyLine(line *textline.Line) (r Reply, bodySize int) {
	r = Reply{ID: parseRequestID(line, 0), Status: parseStatus(line.Text(1))}
	switch r.Status {
	case 0:
		line.Fail("unknown status")
	case Yes:
		line.RequireCount(3)
		bodySize = line.Length(2, MaxBody)
	default:
		line.RequireCount(2)
	}
	return r, bodySize
}

// ParseCommand parses the first command in in. n is its length, or 0 while the command is incomplete.
func ParseCommand(in []byte) (c Command, n int, err error) {
	line, n, err := framing().Line(in)
	if err != nil || n == 0 {
		return Command{}, 0, err
	}
	c, bodySize := parseCommandLine(&line)
	if err := line.Err(); err != nil {
		return Command{}, 0, err
	}
	if c.Verb != Ask {
		return c, n, nil
	}
	if c.Body, n, err = framing().Body(in, n, bodySize); err != nil || n == 0 {
		return Command{}, 0, err
	}
	return c, n, nil
}

// parseCommandLine parses "unask ID", or "ask ID WAIT_MS LENGTH" with the size of the body that follows.
func parseCommandLine(line *textline.Line) (c Command, bodySize int) {
	switch line.Text(0) {
	case "unask":
		line.RequireCount(2)
		return Command{Verb: Unask, ID: parseRequestID(line, 1)}, 0
	case "ask":
		line.RequireCount(4)
		c = Command{Verb: Ask, ID: parseRequestID(line, 1), WaitMS: parseWaitMS(line, 2)}
		return c, line.Length(3, MaxBody)
	}
	line.Fail("unknown command")
	return Command{}, 0
}

// parseWaitMS parses a word as a wait, in milliseconds.
func parseWaitMS(line *textline.Line, i int) int {
	wait, err := strconv.ParseUint(line.Text(i), 10, 31)
	if err != nil || wait == 0 || wait > MaxWaitMS {
		line.Fail("expected a wait in milliseconds within the limit")
		return 0
	}
	return int(wait)
}

// parseRequestID returns a word that must be a request ID, which is 16 hex digits.
func parseRequestID(line *textline.Line, i int) string {
	word := line.Bytes(i)
	if len(word) != idDigits {
		line.Fail("expected a request ID of 16 hex digits")
	}
	for _, digit := range word {
		lower := digit | 0x20
		if (digit < '0' || digit > '9') && (lower < 'a' || lower > 'f') {
			line.Fail("expected a request ID of 16 hex digits")
		}
	}
	return string(word)
}
