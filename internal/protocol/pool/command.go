package pool

import (
	"bytes"
	"fmt"
	"strconv"
)

// Verb is the first word of a log server's command.
type Verb uint8

// The commands of a log server.
const (
	Bind Verb = iota + 1
	Spawn
	Suspend
	Poll
	Supply
	Verify
)

// Command is one command of a log server, as the worker pool reads it. Body shares the input's memory.
type Command struct {
	Verb   Verb
	Notice uint64 // Bind
	ID     string // Spawn, Suspend, Supply
	Class  string // Spawn
	Body   []byte // Spawn; Supply: the reply to a call
	Tag    string // Poll, Verify
}

// ParseCommand takes the first command off in. n is 0 while it is not whole.
func ParseCommand(in []byte) (c Command, n int, err error) {
	end := bytes.Index(in[:min(len(in), maxLine)], []byte("\r\n"))
	if end < 0 {
		if len(in) >= maxLine {
			return c, 0, broken(in, "no end")
		}
		return c, 0, nil
	}
	line := in[:end]
	n = end + 2
	words := bytes.Split(line, []byte(" "))
	switch word := string(words[0]); {
	case word == "bind" && len(words) == 2:
		c.Verb = Bind
		if c.Notice, err = strconv.ParseUint(string(words[1]), 10, 63); err != nil {
			return Command{}, 0, broken(line, "no whole number")
		}
	case word == "spawn" && len(words) == 4:
		c.Verb, c.ID, c.Class = Spawn, string(words[1]), string(words[2])
		size, err := strconv.ParseUint(string(words[3]), 10, 31)
		if err != nil || size > maxResult {
			return Command{}, 0, broken(line, "no length")
		}
		if c.Body, n, err = splitBody(in, n, int(size)); n == 0 {
			return Command{}, 0, err
		}
	case word == "supply" && len(words) == 3:
		c.Verb, c.ID = Supply, string(words[1])
		size, err := strconv.ParseUint(string(words[2]), 10, 31)
		if err != nil || size > maxCall {
			return Command{}, 0, broken(line, "no length")
		}
		if c.Body, n, err = splitBody(in, n, int(size)); n == 0 {
			return Command{}, 0, err
		}
	case word == "suspend" && len(words) == 2:
		c.Verb, c.ID = Suspend, string(words[1])
	case word == "poll" && len(words) == 2:
		c.Verb, c.Tag = Poll, string(words[1])
	case word == "verify" && len(words) == 2:
		c.Verb, c.Tag = Verify, string(words[1])
	default:
		return Command{}, 0, broken(line, "unknown command")
	}
	return c, n, nil
}

var endWords = map[Outcome]string{Pass: "PASS", Fail: "FAIL", Killed: "KILLED", Noop: "NOOP"}

// AppendFinished writes the notice of a run's end.
func AppendFinished(out []byte, notice uint64, id string, end Outcome, ms int, result []byte) []byte {
	out = fmt.Appendf(out, "finished %d %s %s %d %d\r\n", notice, id, endWords[end], ms, len(result))
	return append(append(out, result...), '\r', '\n')
}

// AppendBlocked writes the notice that a run waits for a call with this body.
func AppendBlocked(out []byte, notice uint64, id string, call []byte) []byte {
	out = fmt.Appendf(out, "blocked %d %s %d\r\n", notice, id, len(call))
	return append(append(out, call...), '\r', '\n')
}

// AppendVerified writes the answer to a deep health check.
func AppendVerified(out []byte, tag string, end Outcome) []byte {
	return fmt.Appendf(out, "verified %s %s\r\n", tag, endWords[end])
}
