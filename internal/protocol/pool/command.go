package pool

import (
	"fmt"

	"pewterline/internal/protocol/textline"
)

// Verb is the first word of a log server's command.
type Verb uint8

// The commands of a log server.
const (
	Bind    Verb = iota + 1 // opens a connection
	Spawn                   // starts a run
	Suspend                 // stops a run
	Poll                    // requests the gauges
	Supply                  // passes a run the reply to its downstream call
	Verify                  // requests a deep health check
)

// String returns the verb's word in the protocol.
func (v Verb) String() string {
	switch v {
	case Bind:
		return "bind"
	case Spawn:
		return "spawn"
	case Suspend:
		return "suspend"
	case Poll:
		return "poll"
	case Supply:
		return "supply"
	case Verify:
		return "verify"
	}
	return "invalid"
}

// Command is one decoded command of a log server. Body shares the input's memory.
type Command struct {
	Verb   Verb
	Notice uint64 // Bind: the number of the last notice that was received
	ID     string // Spawn, Suspend, Supply
	Class  string // Spawn
	Body   []byte // Spawn: the request's body; Supply: the reply to a call
	Tag    string // Poll, Verify
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
	if c.Verb != Spawn && c.Verb != Supply {
		return c, n, nil
	}
	if c.Body, n, err = framing().Body(in, n, bodySize); err != nil || n == 0 {
		return Command{}, 0, err
	}
	return c, n, nil
}

// parseCommandLine parses the line of a command, which includes the size of the body that follows it.
func parseCommandLine(line *textline.Line) (c Command, bodySize int) {
	switch line.Text(0) {
	case "bind":
		line.RequireCount(2)
		c = Command{Verb: Bind, Notice: line.Unsigned(1)}
	case "spawn":
		line.RequireCount(4)
		c = Command{Verb: Spawn, ID: line.Text(1), Class: line.Text(2)}
		bodySize = line.Length(3, maxResult)
	case "supply":
		line.RequireCount(3)
		c = Command{Verb: Supply, ID: line.Text(1)}
		bodySize = line.Length(2, maxCall)
	case "suspend":
		line.RequireCount(2)
		c = Command{Verb: Suspend, ID: line.Text(1)}
	case "poll":
		line.RequireCount(2)
		c = Command{Verb: Poll, Tag: line.Text(1)}
	case "verify":
		line.RequireCount(2)
		c = Command{Verb: Verify, Tag: line.Text(1)}
	default:
		line.Fail("unknown command")
	}
	return c, bodySize
}

// AppendBind appends the command that opens a connection. notice is the number of the last notice that was received.
func AppendBind(out []byte, notice uint64) []byte {
	return fmt.Appendf(out, "bind %d\r\n", notice)
}

// AppendSpawn appends the command that starts a run.
func AppendSpawn(out []byte, id, class string, body []byte) []byte {
	out = fmt.Appendf(out, "spawn %s %s %d\r\n", id, class, len(body))
	return textline.AppendBody(out, body)
}

// AppendSuspend appends the command that stops a run.
func AppendSuspend(out []byte, id string) []byte { return fmt.Appendf(out, "suspend %s\r\n", id) }

// AppendPoll appends the command that requests the gauges.
func AppendPoll(out []byte, tag string) []byte { return fmt.Appendf(out, "poll %s\r\n", tag) }

// AppendSupply appends the command that passes a run the reply to its downstream call.
func AppendSupply(out []byte, id string, reply []byte) []byte {
	out = fmt.Appendf(out, "supply %s %d\r\n", id, len(reply))
	return textline.AppendBody(out, reply)
}

// AppendVerify appends the command that requests a deep health check.
func AppendVerify(out []byte, tag string) []byte { return fmt.Appendf(out, "verify %s\r\n", tag) }
