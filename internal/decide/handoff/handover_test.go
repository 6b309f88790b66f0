package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// The model: one key in two processes, old (0) and new (1), whose messages come in order. A try may be read by either at any
// time; a held key may be run or dropped, a run ends; the old one hands over once, and either may die once, in the middle of
// anything. What a dead process had sent still comes, and the news of its death after that.

const (
	oldP, newP = 0, 1
	triesMost  = 4 // read by each process
	queueMost  = 10
	runsAgain  = 2 // a count from which on it does not matter how many
)

type message uint8

const (
	none message = iota
	claim
	grant
	began
	ended
	freed
	yours
	gone
)

type proc struct {
	key     Key
	role    Role
	dead    bool
	waiting bool
	running bool
	tries   uint8
	in      [queueMost]message // from the other process
	n       uint8
}

type world struct {
	p     [2]proc
	moved bool  // the hand-over has begun
	runs  uint8 // begun, anywhere
}

func (w *world) send(to int, m message) bool {
	q := &w.p[to]
	if q.dead {
		return true
	}
	if int(q.n) == queueMost {
		return false
	}
	q.in[q.n] = m
	q.n++
	return true
}

// step has something happen to a key and carries out what is to be done; "" or what went wrong.
func (w *world) step(i int, e Event) string {
	p := &w.p[i]
	before := p.key.State
	for _, d := range p.key.Step(p.role, e, p.waiting) {
		linked := p.role != Alone
		say := func(m message) {
			if linked && !w.send(1-i, m) {
				panic("the model's queue is too short")
			}
		}
		switch d {
		case Queue:
			p.waiting = true
		case Release, Serve:
			p.waiting = false
		case Fail:
			p.waiting = false
		case Claim:
			say(claim)
		case Grant:
			say(grant)
		case NotifyStarted:
			say(began)
		case NotifyFinished:
			say(ended)
		case NotifyReleased:
			say(freed)
		}
	}
	if p.key.State == Done && before == Free && e == Attempt {
		return "a try made up an end"
	}
	return ""
}

// next are the worlds that follow, by what happened.
func (w world) next() map[string]world {
	out := map[string]world{}
	add := func(name string, f func(*world)) {
		n := w
		f(&n)
		out[name] = n
	}
	for i := range w.p {
		p := w.p[i]
		who := []string{"old", "new"}[i]
		if p.dead {
			continue
		}
		if p.tries < triesMost {
			add(who+" reads a try", func(n *world) { n.p[i].tries++; n.step(i, Attempt) })
		}
		if p.key.State == Local && !p.running {
			add(who+" runs", func(n *world) {
				q := &n.p[i]
				if q.role == Owner && !n.send(1-i, began) { // told before it runs
					panic("the model's queue is too short")
				}
				q.running = true
				n.runs = min(n.runs+1, runsAgain)
			})
			add(who+" drops", func(n *world) { n.step(i, LocalReleased) })
		}
		if p.running {
			add(who+"'s run ends", func(n *world) { n.p[i].running = false; n.step(i, LocalFinished) })
		}
		if i == oldP && !w.moved && p.role == Owner {
			add("old hands over", func(n *world) {
				n.moved = true
				n.step(i, OwnershipPassed)
				n.p[i].role = Requester
				n.send(newP, yours)
			})
		}
		if p.n > 0 {
			add(fmt.Sprintf("%s hears %d", who, p.in[0]), func(n *world) { n.hear(i) })
		}
		if !w.p[1-i].dead { // one death is enough: two leave nobody to do harm
			add(who+" dies", func(n *world) {
				n.p[i] = proc{dead: true}
				n.send(1-i, gone)
			})
		}
	}
	return out
}

func (w *world) hear(i int) {
	p := &w.p[i]
	m := p.in[0]
	copy(p.in[:], p.in[1:])
	p.in[queueMost-1] = none
	p.n--
	switch m {
	case claim:
		w.step(i, PeerClaimed)
	case grant:
		w.step(i, PeerGranted)
	case began:
		w.step(i, PeerStarted)
	case ended:
		w.step(i, PeerFinished)
	case freed:
		w.step(i, PeerReleased)
	case yours:
		p.role = Owner
		w.step(i, OwnershipTaken)
	case gone:
		w.step(i, PeerLost)
		p.role = Alone
	}
}

// wrong names the forbidden state that a world is in.
func (w world) wrong() string {
	a, b := w.p[oldP], w.p[newP]
	switch {
	case w.runs > 1:
		return "run twice"
	case !a.dead && !b.dead && a.key.State == Local && b.key.State == Local:
		return "held or run by both"
	case a.running && a.key.State != Local || b.running && b.key.State != Local:
		return "run without being held"
	case w.runs > 0 && a.n+b.n == 0 && (!a.dead && a.key.State == Free && !b.running || !b.dead && b.key.State == Free && !a.running):
		return "an owner that knows nothing of a run"
	}
	if a.n+b.n == 0 && !a.running && !b.running && a.key.State != Local && b.key.State != Local && (a.waiting || b.waiting) {
		return "a try that waits for nothing"
	}
	return ""
}

// Guards the once-only rule and the answers across an upgrade: no order of events in two processes, with the death of either
// at any moment, leads to a forbidden state.
func TestAllOrders(t *testing.T) {
	start := world{p: [2]proc{{role: Owner}, {role: Requester}}}
	type step struct {
		from world
		what string
	}
	seen, queue := map[world]step{start: {}}, []world{start}
	steps, kinds := 0, map[[2]State]bool{}
	for len(queue) > 0 {
		w := queue[0]
		queue = queue[1:]
		kinds[[2]State{w.p[0].key.State, w.p[1].key.State}] = true
		if bad := w.wrong(); bad != "" {
			var trace string
			for at := w; at != start; at = seen[at].from {
				trace = seen[at].what + "\n" + trace
			}
			t.Fatalf("%s after\n%s%+v", bad, trace, w)
		}
		for what, n := range w.next() {
			steps++
			if _, ok := seen[n]; !ok {
				seen[n] = step{w, what}
				queue = append(queue, n)
			}
		}
	}
	t.Logf("%d worlds by %d steps, %d pairs of states; forbidden and never reached: run twice, held or run by both, run without being held, "+
		"an owner that knows nothing of a run, a try that waits for nothing", len(seen), steps, len(kinds))
	require.Greater(t, len(seen), 5_000, "the model does little")
}

// Every state takes every event in every role, and ends in a state.
func TestEveryEventAtEveryState(t *testing.T) {
	n := 0
	for s := range StateCount {
		for e := range EventCount {
			for i := range 12 {
				k := Key{State: s, PeerWaiting: i&1 != 0}
				for _, d := range k.Step(Role(i>>1%3), e, i >= 6) {
					require.LessOrEqual(t, d, NotifyReleased)
				}
				require.Less(t, k.State, StateCount)
				n++
			}
		}
	}
	t.Logf("%d cases", n)
}
