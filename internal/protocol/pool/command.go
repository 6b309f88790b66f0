package pool

import (
	"bytes"
	"fmt"
	"strconv"
)

// Order is the first word of a log server's command.
type Order uint8

// The commands of a log server.
const (
	Bind Order = iota + 1
	Spawn
	Suspend
	Poll
)

// Command is one command of a log server, as the worker pool reads it. Body shares the input's memory.
type Command struct {
	Order  Order
	Notice uint64 // Bind
	ID     string // Spawn, Suspend
	Class  string // Spawn
	Body   []byte // Spawn
	Tag    string // Poll
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
		c.Order = Bind
		if c.Notice, err = strconv.ParseUint(string(words[1]), 10, 63); err != nil {
			return Command{}, 0, broken(line, "no whole number")
		}
	case word == "spawn" && len(words) == 4:
		c.Order, c.ID, c.Class = Spawn, string(words[1]), string(words[2])
		size, err := strconv.ParseUint(string(words[3]), 10, 31)
		if err != nil || size > maxResult {
			return Command{}, 0, broken(line, "no length")
		}
		if len(in) < n+int(size)+2 {
			return Command{}, 0, nil
		}
		c.Body = in[n : n+int(size)]
		n += int(size)
		if in[n] != '\r' || in[n+1] != '\n' {
			return Command{}, 0, broken(line, "body without its end")
		}
		n += 2
	case word == "suspend" && len(words) == 2:
		c.Order, c.ID = Suspend, string(words[1])
	case word == "poll" && len(words) == 2:
		c.Order, c.Tag = Poll, string(words[1])
	default:
		return Command{}, 0, broken(line, "unknown command")
	}
	return c, n, nil
}

var endWords = map[End]string{Pass: "PASS", Fail: "FAIL", Killed: "KILLED", Noop: "NOOP"}

// AppendFinished writes the notice of a run's end.
func AppendFinished(out []byte, notice uint64, id string, end End, ms int, result []byte) []byte {
	out = fmt.Appendf(out, "finished %d %s %s %d %d\r\n", notice, id, endWords[end], ms, len(result))
	return append(append(out, result...), '\r', '\n')
}
