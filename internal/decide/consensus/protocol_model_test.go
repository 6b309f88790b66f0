package consensus

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/testbed/modelcheck"
)

// retention of all keys in the tests of this package, milliseconds.
const retention = 1000

var maxStates = flag.Int("states", 150_000, "how many states TestAllOrders visits at most, of each model")

// protocolModel is a model: three acceptors of one key, or of two, and two servers that want to run each request.
// An acceptor's reply comes at once or never. What a server has asked acceptors to accept may reach them at any time,
// again and again, or never, whatever became of the attempt. (A late request for a promise would only preempt, and is
// left out.) Servers crash and come back knowing nothing; an acceptor's disk may be lost, and it comes back as another
// incarnation, or, where amnesia is on, as its old self.
type protocolModel struct {
	registers    [3][2]Register // by acceptor and key
	incarnations [3]uint64      // how many disks each acceptor has lost
	proposers    []proposer     // two for each key
	lateAccepts  []Request      // sorted by text; To is whoever it reaches
	diskLosses   int
	crashes      int
	runs         [2]int // by key
	bounds       *protocolBounds
}

type protocolBounds struct {
	attempts, diskLosses, crashes int
	amnesia                       bool
	keys                          int
}

// proposer is a server's part in one key.
type proposer struct {
	server      int
	key         int
	incarnation uint64
	attempts    int
	proposal    *Proposal
	started     bool
	ended       bool
}

var threeAcceptors = []Identity{{0, 1}, {1, 1}, {2, 1}}

// fingerprint is text that is the same for the same states.
type fingerprint []byte

func (f *fingerprint) add(numbers ...uint64) {
	for _, number := range numbers {
		*f = append(strconv.AppendUint(*f, number, 36), ' ')
	}
}

func (f *fingerprint) addBools(values ...bool) {
	for _, value := range values {
		if value {
			f.add(1)
		} else {
			f.add(0)
		}
	}
}

func (f *fingerprint) addBallot(b Ballot) {
	f.add(b.Number, uint64(b.Proposer.ID), b.Proposer.Incarnation)
}

func (f *fingerprint) addValue(v Value) {
	f.add(uint64(v.Kind), uint64(v.Owner), v.Incarnation, uint64(v.AttemptedAt), uint64(len(v.Result)))
}

func (f *fingerprint) addProposal(p *Proposal) {
	f.add(uint64(p.Change.Kind), uint64(p.phase))
	f.addBools(p.done)
	f.add(uint64(p.outcome), p.preemptedBy, uint64(len(p.voters)))
	f.addBallot(p.Ballot)
	f.addBallot(p.newest)
	f.addValue(p.value)
	for _, voter := range p.voters {
		f.add(uint64(voter.ID))
	}
}

// Fingerprint is part of modelcheck.State.
func (m *protocolModel) Fingerprint() string {
	text := make(fingerprint, 0, 256)
	for i, registers := range m.registers {
		text.add(m.incarnations[i])
		for _, register := range registers[:m.bounds.keys] {
			text.addBallot(register.Promised)
			text.addBallot(register.Accepted)
			text.addValue(register.Value)
		}
	}
	for _, p := range m.proposers {
		text.add(p.incarnation, uint64(p.attempts))
		text.addBools(p.started, p.ended)
		if p.proposal != nil {
			text.addProposal(p.proposal)
		}
		text = append(text, ';')
	}
	for _, request := range m.lateAccepts {
		text = append(text, request.Key...)
		text.addBallot(request.Ballot)
		text.addValue(request.Value)
	}
	text.add(uint64(m.diskLosses), uint64(m.crashes), uint64(m.runs[0]), uint64(m.runs[1]))
	return string(text)
}

// Violation is part of modelcheck.State.
func (m *protocolModel) Violation() string {
	if max(m.runs[0], m.runs[1]) > 1 {
		return "run twice"
	}
	for _, p := range m.proposers {
		served := p.proposal != nil && p.proposal.done && p.proposal.outcome == OutcomeSucceeded
		if served && m.runs[p.key] == 0 {
			return "served what never ran"
		}
	}
	return ""
}

// Successors is part of modelcheck.State.
func (m *protocolModel) Successors() []modelcheck.Step {
	var steps protocolSteps
	for i, p := range m.proposers {
		m.addProposerSteps(&steps, i, p)
		m.addReplySteps(&steps, i, p)
	}
	for _, request := range m.lateAccepts {
		for acceptor := range m.registers {
			description := fmt.Sprintf("acceptor %d is asked late to accept %v of key %s: %v",
				acceptor, request.Ballot, request.Key, request.Value)
			steps.add(m, description, func(next *protocolModel) { next.reach(acceptor, request) })
		}
	}
	if m.diskLosses < m.bounds.diskLosses {
		for i := range m.registers {
			steps.add(m, fmt.Sprintf("acceptor %d loses its disk", i), func(next *protocolModel) {
				next.diskLosses++
				next.registers[i] = [2]Register{}
				next.incarnations[i]++
			})
		}
	}
	return steps
}

type protocolSteps []modelcheck.Step

// add adds the state that a change makes of a copy of another one.
func (s *protocolSteps) add(from *protocolModel, description string, change func(*protocolModel)) {
	next := from.clone()
	change(next)
	*s = append(*s, modelcheck.Step{Description: description, State: next})
}

// addProposerSteps adds what a server may do about a key by itself.
func (m *protocolModel) addProposerSteps(steps *protocolSteps, i int, current proposer) {
	change := Change{
		Proposer:    Identity{uint32(10 + current.server), current.incarnation},
		AttemptedAt: int64(current.incarnation),
		Retention:   retention,
	}
	key := fmt.Sprint(current.key)
	switch {
	case current.proposal == nil && current.attempts < m.bounds.attempts:
		steps.add(m, current.name()+" proposes", func(next *protocolModel) {
			next.proposers[i].attempts++
			next.proposers[i].proposal, _ = newProposal(key, threeAcceptors, change, 1)
		})
	case current.proposal != nil && !current.proposal.done && current.attempts < m.bounds.attempts:
		steps.add(m, current.name()+" retries", func(next *protocolModel) {
			next.proposers[i].attempts++
			next.proposers[i].proposal.Retry(uint64(next.proposers[i].attempts))
		})
	case current.granted() && !current.started:
		steps.add(m, current.name()+" runs", func(next *protocolModel) {
			next.proposers[i].started = true
			next.runs[current.key]++
		})
	case current.started && !current.ended && current.proposal.done:
		steps.add(m, current.name()+" run ends", func(next *protocolModel) {
			next.proposers[i].ended = true
			ended := change
			ended.Kind = RecordResult
			ended.Succeeded = true
			ended.Result = "r"
			next.proposers[i].proposal, _ = newProposal(key, threeAcceptors, ended, current.proposal.Ballot.Number+1)
		})
	}
	if current.proposal != nil && m.crashes < m.bounds.crashes {
		steps.add(m, current.name()+" crashes and comes back", func(next *protocolModel) {
			next.crashes++
			next.proposers[i] = proposer{server: current.server, key: current.key, incarnation: current.incarnation + 1}
		})
	}
}

// addReplySteps adds the replies to what a server has asked.
func (m *protocolModel) addReplySteps(steps *protocolSteps, i int, p proposer) {
	if p.proposal == nil || p.proposal.done {
		return
	}
	for acceptor := range m.registers {
		steps.add(m, fmt.Sprintf("acceptor %d replies to %s", acceptor, p.name()), func(next *protocolModel) {
			proposal := next.proposers[i].proposal
			request := Request{
				Key:    proposal.Key,
				Ballot: proposal.Ballot,
				Accept: proposal.phase == phaseAccept,
				Read:   proposal.phase == phaseRead,
				Value:  proposal.value,
			}
			if reply, ok := next.reach(acceptor, request); ok {
				next.keepAccepts(proposal.HandleReply(reply))
			}
		})
	}
}

// granted reports whether the server's last proposal has got it the lease.
func (p proposer) granted() bool {
	return p.proposal != nil && p.proposal.done && p.proposal.outcome == OutcomeLeaseGranted
}

func (p proposer) name() string { return fmt.Sprintf("server %d, key %d,", p.server, p.key) }

// reach has a request come to an acceptor.
func (m *protocolModel) reach(i int, request Request) (Reply, bool) {
	self := Identity{uint32(i), 1 + m.incarnations[i]}
	if m.bounds.amnesia {
		self.Incarnation = 1
	}
	request.To = threeAcceptors[i]
	key := int(request.Key[0] - '0')
	acceptor := NewAcceptor(self, map[string]Register{request.Key: m.registers[i][key]})
	reply, _, ok := acceptor.Handle(request)
	m.registers[i][key] = acceptor.Register(request.Key)
	return reply, ok
}

// keepAccepts keeps what acceptors were asked to accept.
func (m *protocolModel) keepAccepts(requests []Request) {
	if len(requests) == 0 || !requests[0].Accept {
		return
	}
	kept := requests[0]
	kept.To = Identity{}
	m.lateAccepts = append(m.lateAccepts, kept)
	slices.SortFunc(m.lateAccepts, func(a, b Request) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
}

func (m *protocolModel) clone() *protocolModel {
	out := *m
	out.lateAccepts = slices.Clone(m.lateAccepts)
	out.proposers = slices.Clone(m.proposers)
	for i := range out.proposers {
		if proposal := out.proposers[i].proposal; proposal != nil {
			copied := *proposal
			copied.voters = slices.Clone(proposal.voters)
			out.proposers[i].proposal = &copied
		}
	}
	return &out
}

func exploreProtocol(t *testing.T, bounds protocolBounds, maxStates int) modelcheck.Report {
	t.Helper()
	start := &protocolModel{bounds: &bounds}
	for key := range bounds.keys {
		for server := range 2 {
			start.proposers = append(start.proposers, proposer{server: server, key: key, incarnation: 1})
		}
	}
	report := modelcheck.Explore(start, maxStates)
	t.Logf("%+v: %v", bounds, report)
	return report
}

// Guards the once-only rule among several servers: whatever messages are lost, doubled or overtaken, whoever crashes,
// and with a disk lost, no request is run twice, and none is served that did not run.
func TestAllOrders(t *testing.T) {
	for name, bounds := range map[string]protocolBounds{
		"an attempt each":                        {attempts: 1, keys: 1},
		"two attempts each":                      {attempts: 2, keys: 1},
		"an attempt each, a crash":               {attempts: 1, crashes: 1, keys: 1},
		"an attempt each, a lost disk":           {attempts: 1, diskLosses: 1, keys: 1},
		"two keys, an attempt each":              {attempts: 1, keys: 2},
		"two keys, an attempt each, a lost disk": {attempts: 1, keys: 2, diskLosses: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report := exploreProtocol(t, bounds, *maxStates)
			require.Empty(t, report.Violation, "%v", report)
			require.Greater(t, report.States, 1000)
		})
	}
}

// An acceptor whose disk was lost must not vote as its old self: with that, the model finds a request that is run
// twice. So the model can find what it looks for.
func TestAmnesiaIsFound(t *testing.T) {
	report := exploreProtocol(t, protocolBounds{attempts: 1, diskLosses: 1, amnesia: true, keys: 1}, 1_000_000)
	require.Equal(t, "run twice", report.Violation)
}
