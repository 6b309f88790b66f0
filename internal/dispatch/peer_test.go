package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
)

// handoffHarness holds an old process, its successor, and a queue of the messages between them.
type handoffHarness struct {
	old, successor *harness
	messages       []func() // each delivers one message; in the order in which they were sent
}

// peerMessages queues the messages to one process.
type peerMessages struct {
	env *handoffHarness
	to  *harness
}

func (p peerMessages) send(deliver func()) { p.env.messages = append(p.env.messages, deliver) }

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

func newHandoffHarness(t testingT) *handoffHarness {
	h := &handoffHarness{old: newHarness(t), successor: newHarness(t)}
	h.old.core.Start(h.old.now, 0, false)
	h.successor.core.Start(h.successor.now, 0, false)
	h.old.core.JoinPeer(peerMessages{h, h.successor}, handoff.Owner)
	h.successor.core.JoinPeer(peerMessages{h, h.old}, handoff.Requester)
	return h
}

// advance moves the clocks of both processes.
func (h *handoffHarness) advance(by microtime.Time) {
	h.old.now += by
	h.successor.now += by
}

// settle alternately ends a turn of both processes and delivers their messages, until no message is left.
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

// If the successor receives a repeat of a request that is running in the old process, the repeat waits for that run and
// gets its result.
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
			_, id := env.old.submitKeyed("k")
			env.settle()
			repeat, _ := env.successor.submitKeyed("k")
			env.settle()
			require.Empty(t, repeat.responses)
			env.old.core.RunFinished(id, tc.outcome, tc.want.Result)
			env.settle()
			require.Equal(t, []Response{tc.want}, repeat.responses)
			later, _ := env.successor.submitKeyed("k")
			env.settle()
			require.Equal(t, []Response{tc.want}, later.responses, "the successor keeps the result")
			require.Empty(t, env.successor.started)
		})
	}
}

// Before the successor runs a key that neither process knows, it claims the key from the owner.
func TestSuccessorClaimsFreeKey(t *testing.T) {
	env := newHandoffHarness(t)
	response, id := env.successor.submitKeyed("k")
	require.Empty(t, env.successor.started, "started before the owner has granted the claim")
	env.settle()
	require.Equal(t, []string{id}, env.successor.started)
	env.successor.core.RunFinished(id, RunSucceeded, []byte("lot"))
	env.settle()
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, response.responses)
	repeat, _ := env.old.submitKeyed("k")
	env.settle()
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, repeat.responses)
	require.Empty(t, env.old.started)
}

// If the successor has claimed a key and the owner's own run of that key turns out not to have started, the owner
// grants the key to the successor.
func TestKeyNotRunByOwnerIsGranted(t *testing.T) {
	env := newHandoffHarness(t)
	_, id := env.old.submitKeyed("k")
	env.settle()
	_, repeat := env.successor.submitKeyed("k")
	env.settle()
	env.old.core.RunFinished(id, RunNotStarted, nil)
	env.settle()
	require.Equal(t, []string{repeat}, env.successor.started)
}

// If the peer is lost while it runs a key, the run may have taken effect. Until the end of the retention window,
// repeats therefore fail; they are neither rejected nor run.
func TestPeerLostDuringItsRun(t *testing.T) {
	env := newHandoffHarness(t)
	env.old.submitKeyed("k")
	env.settle()
	waiting, _ := env.successor.submitKeyed("k")
	env.settle()
	env.successor.core.PeerLost()
	env.successor.endTurn()
	require.Equal(t, []Response{failed(reasonIndeterminate)}, waiting.responses)
	later, _ := env.successor.submitKeyed("k")
	require.Equal(t, []Response{failed(reasonIndeterminate)}, later.responses)
	require.Empty(t, env.successor.started)
	require.Equal(t, handoff.Alone, env.successor.core.Role())

	env.successor.now += 14 * microtime.Second
	_, fresh := env.successor.submitKeyed("k")
	require.Equal(t, []string{fresh}, env.successor.started, "not run after the retention window")
}

// After ownership has passed to the successor, the old process must claim each key before it runs it, whereas the
// successor runs keys without a claim.
func TestOwnershipPasses(t *testing.T) {
	env := newHandoffHarness(t)
	env.old.submitKeyed("held")
	env.settle()
	env.old.core.PassOwnership()
	env.successor.core.TakeOwnership()
	env.settle()
	require.Equal(t, handoff.Requester, env.old.core.Role())
	require.Equal(t, handoff.Owner, env.successor.core.Role())
	require.Equal(t, 1, env.old.core.KeyedRuns())

	_, successorRun := env.successor.submitKeyed("new")
	require.Equal(t, []string{successorRun}, env.successor.started)
	claimed, oldRun := env.old.submitKeyed("other")
	require.Len(t, env.old.started, 1, "the old process must not run a key before its claim is granted")
	env.settle()
	require.Equal(t, oldRun, env.old.started[1])
	require.Empty(t, claimed.responses)
}

// Guards against a second run in the successor: it keeps the entry of a run for 20 ms longer than the retention window,
// and the old process runs the key again in that time. The successor must know of that run.
func TestSuccessorLearnsOfRunAfterTheWindow(t *testing.T) {
	env := newHandoffHarness(t)
	_, first := env.successor.submitKeyed("k")
	env.settle()
	env.successor.core.RunFinished(first, RunSucceeded, []byte("first"))
	env.settle()
	env.advance(13*microtime.Second + 10*microtime.Millisecond)
	_, second := env.old.submitKeyed("k")
	require.Equal(t, []string{second}, env.old.started)
	env.old.core.RunFinished(second, RunSucceeded, []byte("second"))
	env.settle()
	env.old.core.PassOwnership()
	env.successor.core.TakeOwnership()
	env.settle()
	env.advance(20 * microtime.Millisecond)
	repeat, _ := env.successor.submitKeyed("k")
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("second")}}, repeat.responses)
	require.Equal(t, []string{first}, env.successor.started)
}

// After the successor has joined, the old process announces the keys that have run or are running.
func TestAnnouncedKeys(t *testing.T) {
	env := newHandoffHarness(t)
	env.old.core.JoinPeer(nil, handoff.Alone)
	_, id := env.old.submitKeyed("finished")
	env.old.core.RunFinished(id, RunSucceeded, []byte("lot"))
	env.old.submitKeyed("running")
	env.old.core.JoinPeer(peerMessages{env, env.successor}, handoff.Owner)
	require.Len(t, env.old.core.Keys(), 2)
	for _, key := range env.old.core.Keys() {
		env.old.core.AnnounceKey(key)
	}
	env.settle()
	finished, _ := env.successor.submitKeyed("finished")
	running, _ := env.successor.submitKeyed("running")
	env.successor.endTurn()
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, finished.responses)
	require.Empty(t, running.responses)
	require.Empty(t, env.successor.started)
}

// A request that is parked for a peer that does not answer gets one response, just before its deadline.
func TestParkedRequestExpires(t *testing.T) {
	env := newHandoffHarness(t)
	parked, _ := env.successor.submitKeyed("k")
	due := env.successor.core.NextWakeup()
	env.successor.now = env.successor.now + 4*microtime.Second - parkedResponseLead
	require.LessOrEqual(t, due, env.successor.now)
	env.successor.endTurn()
	require.Equal(t, []Response{expired()}, parked.responses)
	env.settle()
	require.Len(t, parked.responses, 1)
	require.Zero(t, env.successor.core.OpenRequests())
}
