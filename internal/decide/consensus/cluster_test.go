package consensus

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// cluster simulates nodes, their network and their disks. Messages are delayed, lost or duplicated, and partitions
// separate servers. A server that crashes restarts either with its disk or, as a new incarnation that replaces the
// former one, without it. Members are added and removed.
type cluster struct {
	t             *testing.T
	rng           *rand.Rand
	now           microtime.Time
	servers       []*server
	network       []message
	partitioned   map[int]bool // the servers on one side of a partition, by index
	lossy         bool
	history       []porcupine.Operation
	runs          map[string]int // number of runs, by key
	knownResults  int            // number of results with Known set
	diskLosses    int
	memberChanges int
	// deliver delivers a message to a server. It is handleMessage, or a planted bug that wraps it.
	deliver deliverFunc
}

type deliverFunc func(*cluster, *server, message)

// server is a node with its disk and the calls of its callers.
type server struct {
	*Node
	diskRegisters      map[string]Register // on the disk
	diskMembership     Membership          // on the disk; the zero value if there is none
	nextTick           microtime.Time
	nextNotice         microtime.Time
	calls              map[uint64]call // in flight, by the ID of the proposal
	crashed            bool
	processIncarnation uint64 // of the proposer: incremented with each start
	diskIncarnation    uint64 // of the acceptor: incremented when the disk is lost
}

// call is a change whose caller waits for the result.
type call struct {
	key       string
	change    Change
	startedAt microtime.Time
}

// message is a message in flight. from and to are indexes of servers.
type message struct {
	deliverAt microtime.Time
	from, to  int
	content   any
	sender    Identity
}

// input and output are the input and the output of an operation in a history.
type input struct {
	key    string
	change Change
}

type output struct {
	known   bool
	outcome Outcome
	result  string
}

// epochNotice notifies a server of the sender's epoch, as every frame between real servers does.
type epochNotice uint64

func member(id int, incarnation uint64) Member {
	return Member{Identity{uint32(id), incarnation}, fmt.Sprint("n", id)}
}

// newCluster returns a cluster with as many servers as members and spares. The spares are not members yet.
func newCluster(t *testing.T, seed uint64, replicas, members, spares int) *cluster {
	t.Helper()
	sim := &cluster{
		t:           t,
		rng:         rand.New(rand.NewPCG(seed, 9)),
		partitioned: map[int]bool{},
		runs:        map[string]int{},
		lossy:       true,
		deliver:     (*cluster).handleMessage,
	}
	initial := Membership{ClusterID: 7, Epoch: 1, ReplicationFactor: replicas}
	for i := range members {
		initial.Current = append(initial.Current, member(i+1, 1))
	}
	for i := range members + spares {
		s := &server{diskRegisters: map[string]Register{}, diskIncarnation: 1}
		if i < members {
			s.diskMembership = initial
		}
		sim.servers = append(sim.servers, s)
		sim.startServer(i)
	}
	return sim
}

// startServer starts the process of a server with the contents of its disk.
func (c *cluster) startServer(i int) {
	started := c.servers[i]
	started.processIncarnation++
	var err error
	started.Node, err = NewNode(NodeOptions{
		Acceptor:           Identity{uint32(i + 1), started.diskIncarnation},
		ProcessIncarnation: started.processIncarnation,
		Config: Config{
			AttemptTimeout:  20_000,
			ProposalTimeout: 300_000,
			MaxInFlight:     8,
			RepairRate:      300,
			MaxRepairs:      4,
		},
		Membership: started.diskMembership,
		Registers:  maps.Clone(started.diskRegisters),
		Seed:       c.rng.Uint64(),
		Hash:       xxhash.Sum64String,
	})
	require.NoError(c.t, err)
	started.calls = map[uint64]call{}
	started.crashed = false
	started.nextTick = 0
}

// handleReady carries out what a node's Ready returns.
func (c *cluster) handleReady(i int) {
	source := c.servers[i]
	ready := source.Ready()
	if ready.Membership != nil {
		source.diskMembership = *ready.Membership
	}
	for _, saved := range ready.Registers {
		source.diskRegisters[saved.Key] = saved.Register
	}
	for _, request := range ready.Requests {
		c.send(i, int(request.To.ID)-1, request, source.ProposerID)
	}
	for _, reply := range ready.Replies {
		c.send(i, int(reply.To.ID)-1, reply.Reply, source.AcceptorID)
	}
	for _, id := range ready.Notify {
		c.send(i, int(id)-1, source.Membership(), source.AcceptorID)
	}
	for _, ack := range ready.TransferAcks {
		for to := range c.servers {
			c.send(i, to, ack, source.AcceptorID)
		}
	}
	for _, result := range ready.Results {
		c.handleResult(i, result)
	}
}

// handleResult records a result in the history. If it grants a lease, the request runs at once and succeeds, and the
// server proposes to record the result of that run.
func (c *cluster) handleResult(i int, result Result) {
	source := c.servers[i]
	completed := source.calls[result.ID]
	delete(source.calls, result.ID)
	end := c.now
	if result.Known {
		c.knownResults++
	} else { // the change may take effect at any later time
		end = math.MaxInt64
	}
	c.recordOperation(completed, output{known: result.Known, outcome: result.Outcome, result: result.Value.Result}, end)
	if result.Known && result.Outcome == OutcomeLeaseGranted && completed.change.Kind == AcquireLease {
		c.runs[completed.key]++
		c.propose(i, completed.key, Change{
			Kind:        RecordResult,
			Attempt:     result.Value.Attempt,
			AttemptedAt: completed.change.AttemptedAt,
			Retention:   retention,
			Succeeded:   true,
			Result:      fmt.Sprintf("%s by %v", completed.key, source.ProposerID),
		})
	}
}

func (c *cluster) recordOperation(ended call, out output, end microtime.Time) {
	c.history = append(c.history, porcupine.Operation{
		ClientId: len(c.history),
		Input:    input{ended.key, ended.change},
		Output:   out,
		Call:     int64(ended.startedAt),
		Return:   int64(end),
	})
}

// send puts a message on the network, which may lose, delay or duplicate it.
func (c *cluster) send(from, to int, content any, sender Identity) {
	if c.partitioned[from] != c.partitioned[to] || from != to && c.lossy && c.rng.IntN(12) == 0 {
		return
	}
	for copies := 1 + c.rng.IntN(12)/11; copies > 0; copies-- {
		delay := microtime.Time(1)
		if from != to {
			delay = 200 + microtime.Time(c.rng.Int64N(8000))
			if c.lossy && c.rng.IntN(40) == 0 {
				delay += microtime.Time(c.rng.Int64N(200_000)) // a stall, after which messages arrive in a burst
			}
		}
		c.network = append(c.network, message{c.now + delay, from, to, content, sender})
	}
}

func (c *cluster) propose(i int, key string, change Change) {
	target := c.servers[i]
	id, err := target.Propose(c.now, key, change)
	if err != nil {
		return
	}
	change.Proposer = target.ProposerID
	if change.Kind == AcquireLease {
		change.Attempt = id
	}
	target.calls[id] = call{key, change, c.now}
	target.nextTick = 0
}

// crash stops a server. Its calls in flight end with an unknown result, as their changes may take effect at any time.
func (c *cluster) crash(i int) {
	for _, interrupted := range c.servers[i].calls {
		c.recordOperation(interrupted, output{}, math.MaxInt64)
	}
	c.servers[i].crashed = true
}

// loseDisk deletes the disk of a server that has crashed. Its next start is as another incarnation of the acceptor.
func (c *cluster) loseDisk(i int) {
	c.diskLosses++
	c.servers[i].diskRegisters = map[string]Register{}
	c.servers[i].diskMembership = Membership{}
	c.servers[i].diskIncarnation++
}

// newestMembership returns the newest membership that any server has on its disk.
func (c *cluster) newestMembership() (newest Membership) {
	for _, s := range c.servers {
		if s.diskMembership.Epoch > newest.Epoch {
			newest = s.diskMembership
		}
	}
	return newest
}

// unreplacedMembers counts the members that have lost their disk and are not replaced by their new incarnation yet.
func (c *cluster) unreplacedMembers() int {
	lost := map[uint32]bool{}
	for _, m := range c.newestMembership().Members() {
		if c.servers[m.ID-1].diskIncarnation != m.Incarnation {
			lost[m.ID] = true
		}
	}
	return len(lost)
}

// handleMessage passes a message to the node of a server.
func (c *cluster) handleMessage(receiver *server, arrived message) {
	switch content := arrived.content.(type) {
	case Request:
		receiver.HandleRequest(arrived.sender, content)
	case Reply:
		if content.Ballot.Proposer == receiver.ProposerID {
			receiver.HandleReply(c.now, content)
		}
	case Membership:
		require.NoError(c.t, receiver.AdoptMembership(c.now, content))
	case TransferAck:
		receiver.HandleTransferAck(content)
	case epochNotice:
		if uint64(content) < receiver.Membership().Epoch {
			c.send(arrived.to, arrived.from, receiver.Membership(), receiver.AcceptorID)
		}
	}
}

// step advances the time by half a millisecond, delivers the messages that are due and calls the nodes that are due.
func (c *cluster) step() {
	c.now += 500
	for i := 0; i < len(c.network); i++ {
		arrived := c.network[i]
		if arrived.deliverAt > c.now {
			continue
		}
		c.network = slices.Delete(c.network, i, i+1)
		i--
		receiver := c.servers[arrived.to]
		if !receiver.crashed && c.partitioned[arrived.from] == c.partitioned[arrived.to] {
			c.deliver(c, receiver, arrived)
			receiver.nextTick = 0
		}
	}
	for i, s := range c.servers {
		if !s.crashed && c.now >= s.nextNotice {
			s.nextNotice = c.now + 50_000
			to := c.rng.IntN(len(c.servers))
			c.send(i, to, epochNotice(s.Membership().Epoch), s.AcceptorID)
			s.SetReachable(uint32(to+1), c.rng.IntN(3) > 0)
		}
		if !s.crashed && c.now >= s.nextTick {
			s.nextTick = s.Tick(c.now)
			c.handleReady(i)
		}
	}
}

// maybeInjectFault may start or end a random fault or change the members. It never loses more disks than the replicas
// tolerate.
func (c *cluster) maybeInjectFault() {
	newest := c.newestMembership()
	i := c.rng.IntN(len(c.servers))
	victim := c.servers[i]
	switch c.rng.IntN(400) {
	case 0: // a partition starts or ends
		if len(c.partitioned) > 0 {
			clear(c.partitioned)
		} else {
			c.partitioned[i] = true
			c.partitioned[(i+1)%len(c.servers)] = true
		}
	case 1, 2:
		if !victim.crashed {
			c.crash(i)
			if c.unreplacedMembers() < newest.ToleratedFailures() && len(newest.Next) == 0 {
				c.loseDisk(i)
			}
		}
	case 3, 4, 5, 6:
		if victim.crashed {
			c.startServer(i)
		}
	case 7:
		if !victim.crashed {
			c.changeMembers(victim, newest)
		}
	}
}

// changeMembers proposes to add or remove a member, as an operator would.
func (c *cluster) changeMembers(target *server, newest Membership) {
	next := slices.Clone(target.Membership().Current)
	i := c.rng.IntN(len(c.servers))
	index := slices.IndexFunc(next, func(m Member) bool { return int(m.ID) == i+1 })
	switch {
	case index < 0:
		next = append(next, member(i+1, c.servers[i].diskIncarnation))
	case len(next) > newest.ReplicationFactor && c.unreplacedMembers() == 0:
		next = slices.Delete(next, index, index+1)
	}
	if target.ProposeMembership(c.now, next, "an operator") == nil {
		c.memberChanges++
	}
}

// recoverFromFaults ends all faults and waits until no change is in progress and all keys are at all their replicas.
func (c *cluster) recoverFromFaults() (problem string) {
	clear(c.partitioned)
	c.lossy = false
	for i, s := range c.servers {
		if s.crashed {
			c.startServer(i)
		}
	}
	return c.waitFor(func() bool {
		newest := c.newestMembership()
		for _, m := range newest.Current {
			s := c.servers[m.ID-1]
			left, _ := s.RepairProgress()
			if left > 0 || s.InFlight() > 0 || s.Membership().Epoch != newest.Epoch {
				return false
			}
		}
		return len(newest.Next) == 0 && c.unreplacedMembers() == 0
	})
}

// waitFor advances the time until a condition is met. It returns a problem if that takes too long.
func (c *cluster) waitFor(condition func() bool) (problem string) {
	const maxSteps = 60_000 // 30 s of simulated time
	for steps := 0; !condition(); steps++ {
		if steps > maxSteps {
			return fmt.Sprintf("condition not met within the time limit: newest membership %v", c.newestMembership())
		}
		c.step()
	}
	return ""
}
