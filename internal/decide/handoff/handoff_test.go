package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// The model: one key in two processes, the old one and its successor, whose messages come in order. An attempt may be
// read by either at any time; a held key may be run or released, a run ends; the old one hands over once, and either
// may die once, in the middle of anything. What a dead process had sent still comes, and the news of its death after
// that.

const (
	oldProcess  = 0
	newProcess  = 1
	maxAttempts = 4 // read by each process
	maxQueued   = 10
	maxRuns     = 2 // a count from which on it does not matter how many
)

type message uint8

const (
	noMessage message = iota
	claimMessage
	grantMessage
	startedMessage
	finishedMessage
	releasedMessage
	ownershipMessage
	deathMessage
)

type process struct {
	key      Key
	role     Role
	dead     bool
	waiting  bool
	running  bool
	attempts uint8
	inbox    [maxQueued]message // from the other process
	queued   uint8
}

// holds says that the process holds or runs the key.
func (p *process) holds() bool { return p.key.State == Local }

// ignorant says that the process lives and knows nothing of the key.
func (p *process) ignorant() bool { return !p.dead && p.key.State == Free }

type model struct {
	processes [2]process
	passed    bool  // the handoff has begun
	runs      uint8 // begun, anywhere
}

func (m *model) send(to int, sent message) {
	receiver := &m.processes[to]
	if receiver.dead {
		return
	}
	if receiver.queued == maxQueued {
		panic("the model's queue is too short")
	}
	receiver.inbox[receiver.queued] = sent
	receiver.queued++
}

// messages are what the actions send to the peer.
var messages = map[Action]message{
	Claim: claimMessage, Grant: grantMessage, NotifyStarted: startedMessage, NotifyFinished: finishedMessage,
	NotifyReleased: releasedMessage,
}

// step has something happen to a key and carries out what is to be done.
func (m *model) step(at int, event Event) {
	stepped := &m.processes[at]
	before := stepped.key.State
	for _, action := range stepped.key.Step(stepped.role, event, stepped.waiting) {
		switch action {
		case Queue:
			stepped.waiting = true
		case AdmitWaiting, Serve, Fail:
			stepped.waiting = false
		case Admit:
		default:
			if stepped.role != Alone {
				m.send(1-at, messages[action])
			}
		}
	}
	if stepped.key.State == Done && before == Free && event == Attempt {
		panic("an attempt made up an end")
	}
}

// next are the models that follow, by what happened.
func (m model) next() map[string]model {
	following := map[string]model{}
	for at := range m.processes {
		m.addSteps(at, following)
	}
	return following
}

// addSteps adds all that may happen at one process.
func (m model) addSteps(at int, following map[string]model) {
	here := m.processes[at]
	who := []string{"old", "new"}[at]
	if here.dead {
		return
	}
	add := func(what string, happen func(*model)) {
		next := m
		happen(&next)
		following[who+" "+what] = next
	}
	if here.attempts < maxAttempts {
		add("reads an attempt", func(next *model) {
			next.processes[at].attempts++
			next.step(at, Attempt)
		})
	}
	if here.holds() && !here.running {
		add("runs", func(next *model) { next.run(at) })
		add("releases", func(next *model) { next.step(at, LocalReleased) })
	}
	if here.running {
		add("ends its run", func(next *model) {
			next.processes[at].running = false
			next.step(at, LocalFinished)
		})
	}
	if at == oldProcess && !m.passed && here.role == Owner {
		add("hands over", func(next *model) {
			next.passed = true
			next.step(at, OwnershipPassed)
			next.processes[at].role = Requester
			next.send(newProcess, ownershipMessage)
		})
	}
	if here.queued > 0 {
		add(fmt.Sprintf("receives %d", here.inbox[0]), func(next *model) { next.receive(at) })
	}
	if !m.processes[1-at].dead { // One death is enough: two leave nobody to do harm.
		add("dies", func(next *model) {
			next.processes[at] = process{dead: true}
			next.send(1-at, deathMessage)
		})
	}
}

// run begins a run, of which an owner tells first.
func (m *model) run(at int) {
	if m.processes[at].role == Owner {
		m.send(1-at, startedMessage)
	}
	m.processes[at].running = true
	m.runs = min(m.runs+1, maxRuns)
}

func (m *model) receive(at int) {
	receiver := &m.processes[at]
	received := receiver.inbox[0]
	copy(receiver.inbox[:], receiver.inbox[1:])
	receiver.inbox[maxQueued-1] = noMessage
	receiver.queued--
	switch received {
	case claimMessage:
		m.step(at, PeerClaimed)
	case grantMessage:
		m.step(at, PeerGranted)
	case startedMessage:
		m.step(at, PeerStarted)
	case finishedMessage:
		m.step(at, PeerFinished)
	case releasedMessage:
		m.step(at, PeerReleased)
	case ownershipMessage:
		receiver.role = Owner
		m.step(at, OwnershipTaken)
	case deathMessage:
		m.step(at, PeerLost)
		receiver.role = Alone
	case noMessage:
		panic("received no message")
	}
}

// violation names the forbidden state that a model is in.
func (m model) violation() string {
	old, successor := m.processes[oldProcess], m.processes[newProcess]
	switch {
	case m.runs > 1:
		return "run twice"
	case !old.dead && !successor.dead && old.holds() && successor.holds():
		return "held or run by both"
	case old.running && !old.holds() || successor.running && !successor.holds():
		return "run without being held"
	case old.queued+successor.queued > 0:
		return ""
	}
	return m.violationAtRest()
}

// violationAtRest names the forbidden state that a model is in which has no message under way.
func (m model) violationAtRest() string {
	old, successor := m.processes[oldProcess], m.processes[newProcess]
	ignorant := old.ignorant() && !successor.running || successor.ignorant() && !old.running
	if m.runs > 0 && ignorant {
		return "an owner that knows nothing of a run"
	}
	busy := old.running || successor.running || old.holds() || successor.holds()
	if !busy && (old.waiting || successor.waiting) {
		return "an attempt that waits for nothing"
	}
	return ""
}

// Guards the rule that a key runs once, and the responses, across an upgrade: no order of events in two processes,
// with the death of either at any moment, leads to a forbidden state.
func TestAllOrders(t *testing.T) {
	start := model{processes: [2]process{{role: Owner}, {role: Requester}}}
	type step struct {
		from model
		what string
	}
	seen, queue := map[model]step{start: {}}, []model{start}
	steps, pairs := 0, map[[2]State]bool{}
	for len(queue) > 0 {
		reached := queue[0]
		queue = queue[1:]
		pairs[[2]State{reached.processes[0].key.State, reached.processes[1].key.State}] = true
		if violation := reached.violation(); violation != "" {
			var trace string
			for at := reached; at != start; at = seen[at].from {
				trace = seen[at].what + "\n" + trace
			}
			t.Fatalf("%s after\n%s%+v", violation, trace, reached)
		}
		for what, next := range reached.next() {
			steps++
			if _, ok := seen[next]; !ok {
				seen[next] = step{reached, what}
				queue = append(queue, next)
			}
		}
	}
	t.Logf("%d models by %d steps, %d pairs of states; forbidden and never reached: run twice, held or run by both, "+
		"run without being held, an owner that knows nothing of a run, an attempt that waits for nothing",
		len(seen), steps, len(pairs))
	require.Greater(t, len(seen), 5_000, "the model does little")
}

// Every state takes every event in every role, and ends in a state.
func TestEveryEventInEveryState(t *testing.T) {
	cases := 0
	for state := range stateCount {
		for event := range eventCount {
			for i := range 12 {
				key := Key{State: state, PeerWaiting: i&1 != 0}
				for _, action := range key.Step(Role(i>>1%3), event, i >= 6) {
					require.LessOrEqual(t, action, NotifyReleased)
				}
				require.Less(t, key.State, stateCount)
				cases++
			}
		}
	}
	t.Logf("%d cases", cases)
}

func TestNames(t *testing.T) {
	tests := map[string]fmt.Stringer{
		"requester": Requester, "indeterminate": Indeterminate, "peer lost": PeerLost, "notify released": NotifyReleased,
		"Role(3)": Requester + 1, "State(6)": stateCount, "Event(11)": eventCount, "Action(10)": NotifyReleased + 1,
	}
	for want, value := range tests {
		require.Equal(t, want, value.String())
	}
}
