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

// retention is how long each key is retained in the tests of this package, in milliseconds.
const retention = 1000

var maxStates = flag.Int("states", 150_000, "maximum number of states of each model that TestAllOrders visits")

// protocolModel models three acceptors of one or two keys, and two servers that try to run the request of each key.
//
// An acceptor replies at once or never. An accept request may reach an acceptor at any time and any number of times,
// even after the attempt that sent it has ended. Late prepare requests are not modelled, as they could only preempt a
// proposal. A server that crashes restarts without any state. An acceptor that loses its disk restarts with a new
// incarnation number, or with its former one if amnesia is set.
type protocolModel struct {
	registers    [3][2]Register // by acceptor and key
	incarnations [3]uint64      // how often each acceptor has lost its disk
	proposers    []proposer     // two for each key
	lateAccepts  []Request      // sorted by their text; To is unset, as each may reach any acceptor
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

// proposer is the state of a server as the proposer of one key.
type proposer struct {
	server      int
	key         int
	incarnation uint64
	attempts    int
	proposal    *Proposal
	runStarted  bool
	runEnded    bool
}

var threeAcceptors = []Identity{{0, 1}, {1, 1}, {2, 1}}

// fingerprint is a text form of a state. Two states are equal if their fingerprints are equal.
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

// Fingerprint implements modelcheck.State.
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
		text.addBools(p.runStarted, p.runEnded)
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

// Violation implements modelcheck.State.
func (m *protocolModel) Violation() string {
	if max(m.runs[0], m.runs[1]) > 1 {
		return "run twice"
	}
	for _, p := range m.proposers {
		served := p.proposal != nil && p.proposal.done && p.proposal.outcome == OutcomeSucceeded
		if served && m.runs[p.key] == 0 {
			return "result served for a request that never ran"
		}
	}
	return ""
}

// Successors implements modelcheck.State.
func (m *protocolModel) Successors() []modelcheck.Step {
	var steps protocolSteps
	for i, p := range m.proposers {
		m.addProposerSteps(&steps, i, p)
		m.addReplySteps(&steps, i, p)
	}
	for _, request := range m.lateAccepts {
		for acceptor := range m.registers {
			description := fmt.Sprintf("acceptor %d receives a late accept request: ballot %v, key %s, value %v",
				acceptor, request.Ballot, request.Key, request.Value)
			steps.add(m, description, func(next *protocolModel) { next.deliver(acceptor, request) })
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

// add appends a step whose next state is a copy of from with change applied.
func (s *protocolSteps) add(from *protocolModel, description string, change func(*protocolModel)) {
	next := from.clone()
	change(next)
	*s = append(*s, modelcheck.Step{Description: description, State: next})
}

// addProposerSteps adds the steps of a proposer that do not depend on a reply.
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
	case current.leaseGranted() && !current.runStarted:
		steps.add(m, current.name()+" runs", func(next *protocolModel) {
			next.proposers[i].runStarted = true
			next.runs[current.key]++
		})
	case current.runStarted && !current.runEnded && current.proposal.done:
		steps.add(m, current.name()+" ends its run", func(next *protocolModel) {
			next.proposers[i].runEnded = true
			ended := change
			ended.Kind = RecordResult
			ended.Succeeded = true
			ended.Result = "r"
			next.proposers[i].proposal, _ = newProposal(key, threeAcceptors, ended, current.proposal.Ballot.Number+1)
		})
	}
	if current.proposal != nil && m.crashes < m.bounds.crashes {
		steps.add(m, current.name()+" crashes and restarts", func(next *protocolModel) {
			next.crashes++
			next.proposers[i] = proposer{server: current.server, key: current.key, incarnation: current.incarnation + 1}
		})
	}
}

// addReplySteps adds the steps in which an acceptor replies to the proposer's current request.
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
			if reply, ok := next.deliver(acceptor, request); ok {
				next.addLateAccepts(proposal.HandleReply(reply))
			}
		})
	}
}

// leaseGranted reports whether the proposer's last proposal has acquired the lease.
func (p proposer) leaseGranted() bool {
	return p.proposal != nil && p.proposal.done && p.proposal.outcome == OutcomeLeaseGranted
}

func (p proposer) name() string { return fmt.Sprintf("server %d, key %d,", p.server, p.key) }

// deliver passes a request to an acceptor and returns the reply, if there is one.
func (m *protocolModel) deliver(i int, request Request) (Reply, bool) {
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

// addLateAccepts adds the accept request of an attempt to those that may be delivered late. The requests to the
// individual acceptors differ only in To, so the first stands for all.
func (m *protocolModel) addLateAccepts(requests []Request) {
	if len(requests) == 0 || !requests[0].Accept {
		return
	}
	late := requests[0]
	late.To = Identity{}
	m.lateAccepts = append(m.lateAccepts, late)
	slices.SortFunc(m.lateAccepts, func(a, b Request) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
}

func (m *protocolModel) clone() *protocolModel {
	cloned := *m
	cloned.lateAccepts = slices.Clone(m.lateAccepts)
	cloned.proposers = slices.Clone(m.proposers)
	for i := range cloned.proposers {
		if proposal := cloned.proposers[i].proposal; proposal != nil {
			copied := *proposal
			copied.voters = slices.Clone(proposal.voters)
			cloned.proposers[i].proposal = &copied
		}
	}
	return &cloned
}

func exploreProtocol(t *testing.T, bounds protocolBounds, maxStates int) modelcheck.Report {
	t.Helper()
	initial := &protocolModel{bounds: &bounds}
	for key := range bounds.keys {
		for server := range 2 {
			initial.proposers = append(initial.proposers, proposer{server: server, key: key, incarnation: 1})
		}
	}
	report := modelcheck.Explore(initial, maxStates)
	t.Logf("%+v: %v", bounds, report)
	return report
}

// Guards against two faults: a request that runs twice, and a result that is served although the request never ran. The
// model covers every order of messages, lost, duplicated and delayed messages, crashes of servers, and a lost disk.
func TestAllOrders(t *testing.T) {
	for name, bounds := range map[string]protocolBounds{
		"one attempt each":                          {attempts: 1, keys: 1},
		"two attempts each":                         {attempts: 2, keys: 1},
		"one attempt each, one crash":               {attempts: 1, crashes: 1, keys: 1},
		"one attempt each, one lost disk":           {attempts: 1, diskLosses: 1, keys: 1},
		"two keys, one attempt each":                {attempts: 1, keys: 2},
		"two keys, one attempt each, one lost disk": {attempts: 1, keys: 2, diskLosses: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report := exploreProtocol(t, bounds, *maxStates)
			require.Empty(t, report.Violation, "%v", report)
			require.Greater(t, report.States, 1000)
		})
	}
}

// Guards against a model that cannot find violations. If an acceptor votes as its former incarnation after the loss of
// its disk, a request can run twice, and the model must find this.
func TestAmnesiaIsFound(t *testing.T) {
	report := exploreProtocol(t, protocolBounds{attempts: 1, diskLosses: 1, amnesia: true, keys: 1}, 1_000_000)
	require.Equal(t, "run twice", report.Violation)
}
