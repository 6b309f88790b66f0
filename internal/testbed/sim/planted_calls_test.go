package sim

import (
	"strings"
	"testing"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/testbed/simnet"
)

// plantedCallBugs are bugs of the calls to the vault. They are planted between the event loop and the network, by
// changing the output of the server.
var plantedCallBugs = []plantedBug{
	{name: "again-after-overdue", wantViolation: "call/made twice", beforeRun: plantAgainAfterOverdue},
	{name: "reply-to-next-run", wantViolation: "call/reply changed, or another's", beforeRun: plantReplyToNextRun},
	{name: "open-at-drain", wantViolation: "call/not given up", beforeRun: plantOpenAtDrain},
}

// isServer reports whether a node is a server, not an edge.
func isServer(node string) bool { return strings.HasPrefix(node, "s") }

// isVaultEvent reports whether an event belongs to a server's connection to the vault.
func isVaultEvent(event simnet.Event) bool {
	return event.Dialer && isServer(event.Node) && strings.HasPrefix(event.Addr, vaultNode+"/")
}

// eachCall passes each call that a server sends with an event to visit.
func eachCall(event simnet.Event, visit func(call vault.Command)) {
	if event.Kind != simnet.Written || !isVaultEvent(event) {
		return
	}
	for _, m := range commands(event.Bytes, vault.ParseCommand) {
		if m.command.Verb == vault.Ask {
			visit(m.command)
		}
	}
}

// plantAgainAfterOverdue repeats each call on the same connection after its "overdue" reply.
func plantAgainAfterOverdue(sim *simulation) {
	const repeatDelay = microtime.Millisecond
	const callTimeoutMS = 1000
	bodies := map[string][]byte{}   // of calls, by request ID
	received := map[uint64][]byte{} // not yet parsed, by connection
	checkInvariants := sim.net.Tap
	sim.net.Tap = func(event simnet.Event) {
		checkInvariants(event)
		eachCall(event, func(call vault.Command) { bodies[call.ID] = append([]byte(nil), call.Body...) })
		if event.Kind != simnet.Arrived || !isVaultEvent(event) {
			return
		}
		received[event.Conn] = append(received[event.Conn], event.Bytes...)
		for {
			reply, size, err := vault.ParseReply(received[event.Conn])
			if size == 0 || err != nil {
				return
			}
			received[event.Conn] = received[event.Conn][size:]
			if reply.Status == vault.Overdue {
				repeatCall := func() { sim.write(event, vault.AppendAsk(nil, reply.ID, callTimeoutMS, bodies[reply.ID])) }
				sim.clock.In(repeatDelay, repeatCall)
			}
		}
	}
}

// write sends bytes that the program did not write, from the event's node over the event's connection, if that is still
// open.
func (s *simulation) write(event simnet.Event, out []byte) {
	for _, stream := range s.net.Node(event.Node).Streams() {
		if stream.ConnID() == event.Conn {
			stream.Write(out)
		}
	}
}

// plantReplyToNextRun supplies each reply to another waiting run of the same server, if there is one.
func plantReplyToNextRun(sim *simulation) {
	waiting := map[string][]string{} // request IDs by server, in the order of their calls
	checkInvariants := sim.net.Tap
	sim.net.Tap = func(event simnet.Event) {
		checkInvariants(event)
		eachCall(event, func(call vault.Command) { waiting[event.Node] = append(waiting[event.Node], call.ID) })
	}
	sim.net.Intercept = func(stream *simnet.Stream, out []byte) []byte {
		if !isServer(stream.Node()) || !strings.HasPrefix(stream.Peer(), "w") {
			return out
		}
		var changed []byte
		for _, m := range commands(out, pool.ParseCommand) {
			if m.command.Verb != pool.Supply {
				changed = append(changed, m.raw...)
				continue
			}
			var receiver string
			receiver, waiting[stream.Node()] = takeOther(waiting[stream.Node()], m.command.ID)
			changed = pool.AppendSupply(changed, receiver, m.command.Body)
		}
		return changed
	}
}

// takeOther returns the first ID that differs from the given one, or the given one if there is no other, and the IDs
// without both.
func takeOther(ids []string, id string) (other string, rest []string) {
	other, rest = id, ids[:0]
	for _, candidate := range ids {
		switch {
		case candidate == id:
		case other == id:
			other = candidate
		default:
			rest = append(rest, candidate)
		}
	}
	return other, rest
}

// plantOpenAtDrain drops cancellations of calls once the server has received the notice to drain.
func plantOpenAtDrain(sim *simulation) {
	sim.net.Intercept = func(stream *simnet.Stream, out []byte) []byte {
		server := sim.instance(stream.Node())
		if server == nil || !server.draining || !isServer(stream.Node()) || stream.Peer() != vaultNode {
			return out
		}
		var changed []byte
		for _, m := range commands(out, vault.ParseCommand) {
			if m.command.Verb == vault.Ask {
				changed = append(changed, m.raw...)
			}
		}
		return changed
	}
}

// The search finds each planted bug within a few hundred scripts, in well under two minutes.
func TestSearchFindsPlantedCallBugs(t *testing.T) {
	search := narrowSearch
	search.Vault = true
	for _, bug := range plantedCallBugs {
		t.Run(bug.name, func(t *testing.T) { bug.requireFound(t, search) })
	}
}

// The invariants detect each planted bug on its kept script, where the server without the bug violates none.
func TestPlantedCallBugsAreDetected(t *testing.T) {
	for _, bug := range plantedCallBugs {
		t.Run(bug.name, bug.requireDetected)
	}
}
