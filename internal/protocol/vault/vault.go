// Package vault reads and writes the line protocol of the vault over byte slices.
package vault

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

const (
	maxLine = 1 << 10
	// MaxBody bounds the body of a call and of a reply. The protocol states no bound; a call's body comes from the worker pool,
	// and both are well under this. A longer length is taken for a broken one, as everything behind it would wait for its end.
	MaxBody = 64 << 10
	// MaxWaitMS is the longest wait, in milliseconds, that a call may state: an hour, beyond any deadline.
	MaxWaitMS = 3600_000
	idDigits  = 16
)

// ErrMalformed is wrapped by every error of the parsers: the stream can no longer be trusted.
var ErrMalformed = errors.New("vault: broken line")

// Status is the vault's answer to a call.
type Status uint8

// The statuses.
const (
	Yes       Status = iota + 1 // the call went well; the reply's body follows
	NotNow                      // turned away: the call never ran
	Failed                      // failed, possibly after taking effect
	Overdue                     // out of time, or its run has ended; it may have taken effect
	Pointless                   // no run waits for the call: it never ran
)

var statusWords = map[Status]string{Yes: "yes", NotNow: "notnow", Failed: "failed", Overdue: "overdue", Pointless: "pointless"}

var statuses = func() map[string]Status {
	byWord := make(map[string]Status, len(statusWords))
	for status, word := range statusWords {
		byWord[word] = status
	}
	return byWord
}()

// String is the status's word in the protocol.
func (s Status) String() string { return statusWords[s] }

// Reply is one reply of the vault. Body shares the input's memory.
type Reply struct {
	ID     string
	Status Status
	Body   []byte // Yes
}

// Verb is the first word of a command.
type Verb uint8

// The commands of a log server.
const (
	Ask   Verb = iota + 1 // makes a call
	Unask                 // gives a call up
)

// Command is one command of a log server, as the vault reads it. Body shares the input's memory.
type Command struct {
	Verb   Verb
	ID     string
	WaitMS int    // Ask: how long the log server waits
	Body   []byte // Ask
}

// AppendAsk writes a call; waitMS is how long its reply is waited for.
func AppendAsk(out []byte, id string, waitMS int, body []byte) []byte {
	out = fmt.Appendf(out, "ask %s %d %d\r\n", id, waitMS, len(body))
	return append(append(out, body...), '\r', '\n')
}

// AppendUnask gives a call up.
func AppendUnask(out []byte, id string) []byte {
	return fmt.Appendf(out, "unask %s\r\n", id)
}

// AppendReply writes a reply; only Yes carries a body.
func AppendReply(out []byte, id string, status Status, body []byte) []byte {
	if status != Yes {
		return fmt.Appendf(out, "%s %s\r\n", id, status)
	}
	out = fmt.Appendf(out, "%s %s %d\r\n", id, status, len(body))
	return append(append(out, body...), '\r', '\n')
}

// ParseReply takes the first reply off in. n is 0 while it is not whole.
func ParseReply(in []byte) (r Reply, n int, err error) {
	words, n, err := splitLine(in)
	if err != nil || n == 0 {
		return Reply{}, 0, err
	}
	if len(words) < 2 || !isID(words[0]) {
		return Reply{}, 0, broken(in, "no id and status")
	}
	r = Reply{ID: string(words[0]), Status: statuses[string(words[1])]}
	switch {
	case r.Status == 0:
		return Reply{}, 0, broken(in, "unknown status")
	case r.Status != Yes && len(words) == 2:
		return r, n, nil
	case r.Status != Yes || len(words) != 3:
		return Reply{}, 0, broken(in, "wrong number of words")
	}
	body, size, err := splitBody(in, n, words[2])
	if err != nil || size == 0 {
		return Reply{}, 0, err
	}
	r.Body = body
	return r, size, nil
}

// ParseCommand takes the first command off in. n is 0 while it is not whole.
func ParseCommand(in []byte) (c Command, n int, err error) {
	words, n, err := splitLine(in)
	if err != nil || n == 0 {
		return Command{}, 0, err
	}
	switch verb := string(words[0]); {
	case verb == "unask" && len(words) == 2 && isID(words[1]):
		return Command{Verb: Unask, ID: string(words[1])}, n, nil
	case verb != "ask" || len(words) != 4 || !isID(words[1]):
		return Command{}, 0, broken(in, "unknown command")
	}
	wait, err := strconv.ParseUint(string(words[2]), 10, 31)
	if err != nil || wait == 0 || wait > MaxWaitMS {
		return Command{}, 0, broken(in, "no wait")
	}
	body, size, err := splitBody(in, n, words[3])
	if err != nil || size == 0 {
		return Command{}, 0, err
	}
	return Command{Verb: Ask, ID: string(words[1]), WaitMS: int(wait), Body: body}, size, nil
}

// splitLine splits the first line into its words. n is its length with the line end; 0 while it is not whole.
func splitLine(in []byte) (words [][]byte, n int, err error) {
	end := bytes.Index(in[:min(len(in), maxLine)], []byte("\r\n"))
	if end >= 0 {
		return bytes.Split(in[:end], []byte(" ")), end + 2, nil
	}
	if len(in) >= maxLine {
		return nil, 0, broken(in, "no end")
	}
	return nil, 0, nil
}

// splitBody takes the body behind a line that ends at from. n is the length of both; 0 while the body is not whole.
func splitBody(in []byte, from int, length []byte) (body []byte, n int, err error) {
	size, err := strconv.ParseUint(string(length), 10, 31)
	if err != nil || size > MaxBody {
		return nil, 0, broken(in, "no length")
	}
	end := from + int(size)
	if len(in) < end+2 {
		return nil, 0, nil
	}
	if in[end] != '\r' || in[end+1] != '\n' {
		return nil, 0, broken(in, "body without its end")
	}
	return in[from:end], end + 2, nil
}

// isID tells whether a word has the form of a request's id: 16 hex digits.
func isID(word []byte) bool {
	if len(word) != idDigits {
		return false
	}
	for _, digit := range word {
		lower := digit | 0x20
		if (digit < '0' || digit > '9') && (lower < 'a' || lower > 'f') {
			return false
		}
	}
	return true
}

func broken(line []byte, why string) error {
	return fmt.Errorf("%w: %s in %q", ErrMalformed, why, line[:min(len(line), 80)])
}
