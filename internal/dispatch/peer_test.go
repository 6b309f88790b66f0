package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
)

// handoffHarness is an old process and its successor, with the messages between them in order.
type handoffHarness struct {
	old, successor *harness
	messages       []func() // not yet delivered
}

// peerMessages are the messages to one process.
type peerMessages struct {
	link *handoffHarness
	to   *harness
}

func (p peerMessages) send(deliver func()) { p.link.messages = append(p.link.messages, deliver) }

func (p peerMessages) Claim(request KeyedRequest) {
	p.send(func() { p.to.core.PeerClaimed(request) })
}

func (p peerMessages) Grant(request KeyedRequest) {
	p.send(func() { p.to.core.PeerGranted(request) })
}

func (p peerMessages) NotifyStarted(request KeyedRequest) {
	p.send(func() { p.to.core.PeerStarted(request) })
}

func (p peerMessages) NotifyFinished(request KeyedRequest, outcome RunOutcome) {
	p.send(func() { p.to.core.PeerFinished(request, outcome) })
}

func (p peerMessages) NotifyReleased(request KeyedRequest) {
	p.send(func() { p.to.core.PeerReleased(request) })
}

func newHandoffHarness(t *testing.T) *handoffHarness {
	h := &handoffHarness{old: newHarness(t), successor: newHarness(t)}
	h.old.core.Start(h.old.now, 0, false)
	h.successor.core.Start(h.successor.now, 0, false)
	h.old.core.JoinPeer(peerMessages{h, h.successor}, handoff.Owner)
	h.successor.core.JoinPeer(peerMessages{h, h.old}, handoff.Requester)
	return h
}

// settle delivers all messages, and ends turns of both processes until nothing is left to deliver.
func (h *handoffHarness) settle() {
	for {
		h.old.endTurn()
		h.successor.endTurn()
		if len(h.messages) == 0 {
			return
		}
		messages := h.messages
		h.messages = nil
		for _, deliver := range messages {
			deliver()
		}
	}
}

// A repeat that the successor reads waits for the run of the old process, and gets its end.
func TestRepeatAtTheSuccessorWaitsForTheRun(t *testing.T) {
	tests := []struct {
		name    string
		outcome RunOutcome
		want    Response
	}{
		{"succeeded", RunSucceeded, Response{Status: StatusSucceeded, Result: []byte("lot")}},
		{"failed", RunFailed, failed(reasonRunFailed)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			env := newHandoffHarness(t)
			_, id := env.old.try("k")
			env.settle()
			repeat, _ := env.successor.try("k")
			env.settle()
			require.Empty(t, repeat.got)
			env.old.core.RunFinished(id, tc.outcome, tc.want.Result)
			env.settle()
			require.Equal(t, []Response{tc.want}, repeat.got)
			later, _ := env.successor.try("k")
			env.settle()
			require.Equal(t, []Response{tc.want}, later.got, "the successor keeps the end")
			require.Empty(t, env.successor.started)
		})
	}
}

// The successor claims a key that nobody knows of before it runs it.
func TestSuccessorClaimsFreeKey(t *testing.T) {
	env := newHandoffHarness(t)
	response, id := env.successor.try("k")
	require.Empty(t, env.successor.started, "started before the owner has granted it")
	env.settle()
	require.Equal(t, []string{id}, env.successor.started)
	env.successor.core.RunFinished(id, RunSucceeded, []byte("lot"))
	env.settle()
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, response.got)
	repeat, _ := env.old.try("k")
	env.settle()
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, repeat.got)
	require.Empty(t, env.old.started)
}

// A key that was held at the owner, claimed by the successor and not run after all is granted to the successor.
func TestReleasedKeyIsGranted(t *testing.T) {
	env := newHandoffHarness(t)
	_, id := env.old.try("k")
	env.settle()
	_, repeat := env.successor.try("k")
	env.settle()
	env.old.core.RunFinished(id, RunNotStarted, nil)
	env.settle()
	require.Equal(t, []string{repeat}, env.successor.started)
}

// Where the peer is lost, a run that it held may have run: repeats fail, and none is rejected or run until the window
// is over.
func TestPeerLostDuringItsRun(t *testing.T) {
	env := newHandoffHarness(t)
	env.old.try("k")
	env.settle()
	waiting, _ := env.successor.try("k")
	env.settle()
	env.successor.core.PeerLost()
	env.successor.endTurn()
	require.Equal(t, []Response{failed(reasonIndeterminate)}, waiting.got)
	later, _ := env.successor.try("k")
	require.Equal(t, []Response{failed(reasonIndeterminate)}, later.got)
	require.Empty(t, env.successor.started)
	require.Equal(t, handoff.Alone, env.successor.core.Role())

	env.successor.now += 14 * microtime.Second
	_, fresh := env.successor.try("k")
	require.Equal(t, []string{fresh}, env.successor.started, "its window is over")
}

// Once ownership has passed, the old process claims keys and the successor runs them at once.
func TestOwnershipPasses(t *testing.T) {
	env := newHandoffHarness(t)
	env.old.try("held")
	env.settle()
	env.old.core.PassOwnership()
	env.successor.core.TakeOwnership()
	env.settle()
	require.Equal(t, handoff.Requester, env.old.core.Role())
	require.Equal(t, handoff.Owner, env.successor.core.Role())
	require.Equal(t, 1, env.old.core.KeyedRuns())

	_, mine := env.successor.try("new")
	require.Equal(t, []string{mine}, env.successor.started)
	claimed, theirs := env.old.try("other")
	require.Len(t, env.old.started, 1, "the old process asks first")
	env.settle()
	require.Equal(t, theirs, env.old.started[1])
	require.Empty(t, claimed.got)
}

// A successor hears of what has run before it joined.
func TestAnnouncedKeys(t *testing.T) {
	env := newHandoffHarness(t)
	env.old.core.JoinPeer(nil, handoff.Alone)
	_, id := env.old.try("finished")
	env.old.core.RunFinished(id, RunSucceeded, []byte("lot"))
	env.old.try("running")
	env.old.core.JoinPeer(peerMessages{env, env.successor}, handoff.Owner)
	require.Len(t, env.old.core.Keys(), 2)
	for _, key := range env.old.core.Keys() {
		env.old.core.AnnounceKey(key)
	}
	env.settle()
	finished, _ := env.successor.try("finished")
	running, _ := env.successor.try("running")
	env.successor.endTurn()
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, finished.got)
	require.Empty(t, running.got)
	require.Empty(t, env.successor.started)
}

// Whoever waits for a peer that says nothing is answered just before the deadline, once.
func TestParkedUntilTheDeadline(t *testing.T) {
	env := newHandoffHarness(t)
	parked, _ := env.successor.try("k")
	due := env.successor.core.NextWakeup()
	env.successor.now = env.successor.now + 4*microtime.Second - parkedResponseLead
	require.LessOrEqual(t, due, env.successor.now)
	env.successor.endTurn()
	require.Equal(t, []Response{expired()}, parked.got)
	env.settle()
	require.Len(t, parked.got, 1)
	require.Zero(t, env.successor.core.OpenRequests())
}
