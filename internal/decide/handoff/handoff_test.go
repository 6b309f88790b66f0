package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// The model consists of one key in two processes, the old one and its successor, which exchange messages in order. At
// any time, a process may read an attempt, abandon the waiting ones, run or release a key that it holds, finish its
// run, or learn that its run was not started, and the old process may pass the ownership once. At most one process
// crashes, at any time. Its peer still receives the messages that it has sent, and then the loss of the connection.

const (
	oldProcess  = 0
	newProcess  = 1
	maxAttempts = 4 // read by each process
	maxQueued   = 20
	maxRuns     = 2 // higher counts are equivalent, as two are forbidden
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
	peerLostMessage
)

type process struct {
	key      Key
	role     Role
	crashed  bool
	waiting  bool
	running  bool
	attempts uint8
	inbox    [maxQueued]message // from the other process
	queued   uint8
}

// holds reports whether the process may run the key or runs it.
func (p *process) holds() bool { return p.key.State == Local }

// unaware reports whether the process is alive and has no record of the key.
func (p *process) unaware() bool { return !p.crashed && p.key.State == Free }

type model struct {
	processes       [2]process
	ownershipPassed bool  // the old process has passed the ownership
	runs            uint8 // started in either process, at most maxRuns
}

func (m *model) send(to int, sent message) {
	receiver := &m.processes[to]
	if receiver.crashed {
		return
	}
	if receiver.queued == maxQueued {
		panic("the queue of the model is too short")
	}
	receiver.inbox[receiver.queued] = sent
	receiver.queued++
}

// messages maps actions to the messages that they send to the peer.
var messages = map[Action]message{
	Claim: claimMessage, Grant: grantMessage, NotifyStarted: startedMessage, NotifyFinished: finishedMessage,
	NotifyReleased: releasedMessage,
}

// step passes an event to the key of a process and carries out the actions.
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
		panic("an attempt moved a free key to state done")
	}
}

// next returns the states that can follow, by the description of the step to them.
func (m model) next() map[string]model {
	successors := map[string]model{}
	for at := range m.processes {
		m.addSteps(at, successors)
	}
	return successors
}

// addSteps adds all steps that one process can take.
func (m model) addSteps(at int, successors map[string]model) {
	here := m.processes[at]
	processName := []string{"old", "new"}[at]
	if here.crashed {
		return
	}
	add := func(description string, apply func(*model)) {
		next := m
		apply(&next)
		successors[processName+" "+description] = next
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
	if here.waiting {
		add("abandons the waiting attempts", func(next *model) { next.processes[at].waiting = false })
	}
	if here.running {
		add("learns that its run was not started", func(next *model) {
			next.processes[at].running = false
			next.runs--
			next.step(at, LocalReleased)
		})
		add("ends its run", func(next *model) {
			next.processes[at].running = false
			next.step(at, LocalFinished)
		})
	}
	if at == oldProcess && !m.ownershipPassed && here.role == Owner {
		add("passes the ownership", func(next *model) {
			next.ownershipPassed = true
			next.step(at, OwnershipPassed)
			next.processes[at].role = Requester
			next.send(newProcess, ownershipMessage)
		})
	}
	if here.queued > 0 {
		add(fmt.Sprintf("receives %d", here.inbox[0]), func(next *model) { next.receive(at) })
	}
	if !m.processes[1-at].crashed { // One crash is enough: after two, no process is left that could violate a rule.
		add("crashes", func(next *model) {
			next.processes[at] = process{crashed: true}
			next.send(1-at, peerLostMessage)
		})
	}
}

// run starts a run. An owner notifies its peer first.
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
	case peerLostMessage:
		m.step(at, PeerLost)
		receiver.role = Alone
	case noMessage:
		panic("received no message")
	}
}

// violation describes the forbidden state that the model is in, and is empty if it is in none.
func (m model) violation() string {
	old, successor := m.processes[oldProcess], m.processes[newProcess]
	switch {
	case m.runs > 1:
		return "run twice"
	case !old.crashed && !successor.crashed && old.holds() && successor.holds():
		return "held or run by both"
	case old.running && !old.holds() || successor.running && !successor.holds():
		return "run without being held"
	case old.queued+successor.queued > 0:
		return ""
	}
	return m.violationWhenIdle()
}

// violationWhenIdle is violation for the states that are forbidden only while no message is in flight.
func (m model) violationWhenIdle() string {
	old, successor := m.processes[oldProcess], m.processes[newProcess]
	unaware := old.unaware() && !successor.running || successor.unaware() && !old.running
	if m.runs > 0 && unaware {
		return "a process without a record of a run"
	}
	busy := old.running || successor.running || old.holds() || successor.holds()
	if !busy && (old.waiting || successor.waiting) {
		return "an attempt that waits without a holder"
	}
	return ""
}

// Guards against a key that runs twice, and against an attempt that is never answered, during a hot restart: no order
// of events in the two processes, with a crash of either at any time, leads to a forbidden state.
func TestAllOrders(t *testing.T) {
	start := model{processes: [2]process{{role: Owner}, {role: Requester}}}
	type step struct {
		from        model
		description string
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
				trace = seen[at].description + "\n" + trace
			}
			t.Fatalf("%s after\n%s%+v", violation, trace, reached)
		}
		for description, next := range reached.next() {
			steps++
			if _, ok := seen[next]; !ok {
				seen[next] = step{reached, description}
				queue = append(queue, next)
			}
		}
	}
	t.Logf("%d models by %d steps, %d pairs of states; forbidden and never reached: run twice, held or run by both, "+
		"run without being held, a process without a record of a run, an attempt that waits without a holder",
		len(seen), steps, len(pairs))
	require.Greater(t, len(seen), 5_000, "the model reaches too few states")
}

// Every event, in every state and role, results in a valid state and valid actions.
func TestEveryEventInEveryState(t *testing.T) {
	cases := 0
	for state := range stateCount {
		for event := range eventCount {
			for i := range 24 {
				key := Key{State: state, PeerWaiting: i&1 != 0, ClaimPending: i >= 12}
				for _, action := range key.Step(Role(i>>1%3), event, i%12 >= 6) {
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
