package sim

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/testbed/simnet"
)

// sabotage is a bug that is planted between the program and the network: what the program writes is changed on its way, and the
// program itself has no part in it.
type sabotage struct {
	name  string // of its kept script
	want  string // key of the violation that tells of it
	plant func(*simulation)
}

var sabotages = []sabotage{
	{"again-after-overdue", "call/made twice", plantAgainAfterOverdue},
	{"reply-to-next-run", "call/reply changed, or another's", plantReplyToNextRun},
	{"open-at-drain", "call/not given up", plantOpenAtDrain},
}

// toVault and toPool tell what an end of a server's is connected to.
func toVault(v simnet.Event) bool {
	return v.Dialer && v.Node[0] == 's' && strings.HasPrefix(v.Addr, "v0/")
}

func toPool(e *simnet.Stream) bool { return e.Node()[0] == 's' && e.Peer()[0] == 'w' }

// plantAgainAfterOverdue makes each call again, on the same connection, once "overdue" has come for it.
func plantAgainAfterOverdue(l *simulation) {
	bodies, read := map[string][]byte{}, map[uint64][]byte{}
	tap := l.net.Tap
	l.net.Tap = func(v simnet.Event) {
		tap(v)
		switch {
		case !toVault(v):
		case v.Kind == simnet.Written:
			for _, c := range commands(v.Bytes, vault.ParseCommand) {
				if c.command.Verb == vault.Ask {
					bodies[c.command.ID] = append([]byte(nil), c.command.Body...)
				}
			}
		case v.Kind == simnet.Arrived:
			read[v.Conn] = append(read[v.Conn], v.Bytes...)
			for {
				r, n, err := vault.ParseReply(read[v.Conn])
				if n == 0 || err != nil {
					return
				}
				read[v.Conn] = read[v.Conn][n:]
				if r.Status == vault.Overdue {
					l.clock.In(microtime.Millisecond, func() { l.write(v, vault.AppendAsk(nil, r.ID, 1000, bodies[r.ID])) })
				}
			}
		}
	}
}

// write has a server's end of a connection, where it is still open, send what the program did not.
func (l *simulation) write(v simnet.Event, p []byte) {
	for _, e := range l.net.Node(v.Node).Streams() {
		if e.ConnID() == v.Conn {
			e.Write(p)
		}
	}
}

// plantReplyToNextRun supplies a reply to another run of the server's that waits, where there is one.
func plantReplyToNextRun(l *simulation) {
	waiting := map[string][]string{} // by server, in the order in which they came to wait
	tap := l.net.Tap
	l.net.Tap = func(v simnet.Event) {
		tap(v)
		if v.Kind == simnet.Written && toVault(v) {
			for _, c := range commands(v.Bytes, vault.ParseCommand) {
				if c.command.Verb == vault.Ask {
					waiting[v.Node] = append(waiting[v.Node], c.command.ID)
				}
			}
		}
	}
	l.net.Intercept = func(e *simnet.Stream, p []byte) []byte {
		if !toPool(e) {
			return p
		}
		var out []byte
		for _, c := range commands(p, pool.ParseCommand) {
			if c.command.Verb != pool.Supply {
				out = append(out, c.raw...)
				continue
			}
			to, rest := c.command.ID, waiting[e.Node()][:0]
			for _, id := range waiting[e.Node()] {
				switch {
				case id != c.command.ID && to == c.command.ID:
					to = id
				case id != c.command.ID:
					rest = append(rest, id)
				}
			}
			waiting[e.Node()] = rest
			out = pool.AppendSupply(out, to, c.command.Body)
		}
		return out
	}
}

// plantOpenAtDrain keeps back what gives a call up, once the server has had the notice to leave.
func plantOpenAtDrain(l *simulation) {
	l.net.Intercept = func(e *simnet.Stream, p []byte) []byte {
		s := l.instance(e.Node())
		if s == nil || !s.draining || e.Node()[0] != 's' || e.Peer() != "v0" {
			return p
		}
		var out []byte
		for _, c := range commands(p, vault.ParseCommand) {
			if c.command.Verb == vault.Ask {
				out = append(out, c.raw...)
			}
		}
		return out
	}
}

// message is a parsed command with its bytes.
type message[T any] struct {
	command T
	raw     []byte
}

// commands parses what the program writes at once: whole commands.
func commands[T any](p []byte, parse func([]byte) (T, int, error)) (out []message[T]) {
	for len(p) > 0 {
		c, n, err := parse(p)
		if err != nil || n == 0 {
			panic("lab: the program wrote half a command")
		}
		out = append(out, message[T]{c, p[:n]})
		p = p[n:]
	}
	return out
}

// The hunt finds each sabotage within a few hundred scripts, which is well under two minutes.
func TestHuntFindsSabotage(t *testing.T) {
	for _, bug := range sabotages {
		h := Search{FirstSeed: 1, LastSeed: 300, Profile: "worst", Servers: 2, Proxies: 3, Length: 8 * microtime.Second, Vault: true, Jobs: 2, MaxFindings: 1, beforeRun: bug.plant}
		p, err := h.Run()
		require.NoError(t, err)
		require.NotEmpty(t, p.Findings, bug.name)
		require.Equal(t, bug.want, p.Findings[0].Violation.Key(), "%s: %s", bug.name, p.Findings[0].Violation)
		t.Logf("%s: script %d, after %v", bug.name, p.Findings[0].Run, p.Findings[0].After)
		if folder := os.Getenv("LAB_SABOTAGE"); folder != "" { // writes the kept scripts anew
			least, v, err := shrinking{maxPlays: 1000, options: Options{StopAtFirst: true, beforeRun: bug.plant}}.run(p.Findings[0].Script)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(folder+"/"+bug.name+".txt", []byte("# "+v.Key()+"\n"+least.String()), 0o644))
		}
	}
}

// On its kept script each sabotage is seen, and the program without it keeps its rules.
func TestSabotageIsSeen(t *testing.T) {
	for _, bug := range sabotages {
		s := read(t, "testdata/sabotage/"+bug.name+".txt")
		out, err := Play(s, Options{})
		require.NoError(t, err)
		clean(t, s, out)
		out, err = Play(s, Options{StopAtFirst: true, beforeRun: bug.plant})
		require.NoError(t, err)
		require.NotEmpty(t, out.Violations, bug.name)
		require.Equal(t, bug.want, out.Violations[0].Key(), out.Violations[0].String())
	}
}
