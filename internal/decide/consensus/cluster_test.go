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

// cluster is a number of nodes on a simulated network and simulated disks. Messages are late, lost or doubled, parts
// are cut off from each other, servers crash and come back with what they had made durable, or without it and as
// another incarnation, which takes its old self's place. Members come and go.
type cluster struct {
	t             *testing.T
	rng           *rand.Rand
	now           microtime.Time
	servers       []*server
	network       []message
	partitioned   map[int]bool // the servers on the one side of a partition
	lossy         bool
	history       []porcupine.Operation
	runs          map[string]int // by key
	known         int            // results that were known
	diskLosses    int
	memberChanges int
	// deliver hands a message to a server: handle, or a planted bug around it.
	deliver delivery
}

type delivery func(*cluster, *server, message)

// server is a node, its disk and its callers.
type server struct {
	*Node
	registers    map[string]Register // on the disk
	durable      Membership          // on the disk
	nextTick     microtime.Time
	nextHello    microtime.Time
	calls        map[uint64]call // in flight, by the ID of the proposal
	crashed      bool
	process      uint64 // incarnation of the process
	incarnations uint64 // of the disk
}

// call is a change that a caller waits for.
type call struct {
	key    string
	change Change
	began  microtime.Time
}

// message is one on its way. from and to are indexes of servers.
type message struct {
	at       microtime.Time
	from, to int
	content  any
	sender   Identity
}

// input and output are those of the operations of a history.
type input struct {
	key    string
	change Change
}

type output struct {
	known   bool
	outcome Outcome
	result  string
}

// hello says which epoch a server goes by, as every frame of a link does.
type hello uint64

func member(id int, incarnation uint64) Member {
	return Member{Identity{uint32(id), incarnation}, fmt.Sprint("n", id)}
}

// newCluster returns a cluster of members and of some servers that are not members.
func newCluster(t *testing.T, seed uint64, replicas, members, spares int) *cluster {
	t.Helper()
	sim := &cluster{
		t:           t,
		rng:         rand.New(rand.NewPCG(seed, 9)),
		partitioned: map[int]bool{},
		runs:        map[string]int{},
		lossy:       true,
		deliver:     (*cluster).handle,
	}
	first := Membership{ClusterID: 7, Epoch: 1, ReplicationFactor: replicas}
	for i := range members {
		first.Current = append(first.Current, member(i+1, 1))
	}
	for i := range members + spares {
		s := &server{registers: map[string]Register{}, incarnations: 1}
		if i < members {
			s.durable = first
		}
		sim.servers = append(sim.servers, s)
		sim.boot(i)
	}
	return sim
}

// boot starts a process with what its disk holds.
func (c *cluster) boot(i int) {
	booted := c.servers[i]
	booted.process++
	var err error
	booted.Node, err = NewNode(NodeOptions{
		Acceptor:           Identity{uint32(i + 1), booted.incarnations},
		ProcessIncarnation: booted.process,
		Config: Config{
			AttemptTimeout:  20_000,
			ProposalTimeout: 300_000,
			MaxInFlight:     8,
			RepairRate:      300,
			MaxRepairs:      4,
		},
		Membership: booted.durable,
		Registers:  maps.Clone(booted.registers),
		Seed:       c.rng.Uint64(),
		Hash:       xxhash.Sum64String,
	})
	require.NoError(c.t, err)
	booted.calls = map[uint64]call{}
	booted.crashed = false
	booted.nextTick = 0
}

// flush does what a node is ready for.
func (c *cluster) flush(i int) {
	from := c.servers[i]
	ready := from.Ready()
	if ready.Membership != nil {
		from.durable = *ready.Membership
	}
	for _, saved := range ready.Registers {
		from.registers[saved.Key] = saved.Register
	}
	for _, request := range ready.Requests {
		c.post(i, int(request.To.ID)-1, request, from.ProposerID)
	}
	for _, reply := range ready.Replies {
		c.post(i, int(reply.To.ID)-1, reply.Reply, from.AcceptorID)
	}
	for _, id := range ready.Notify {
		c.post(i, int(id)-1, from.Membership(), from.AcceptorID)
	}
	for _, ack := range ready.TransferAcks {
		for to := range c.servers {
			c.post(i, to, ack, from.AcceptorID)
		}
	}
	for _, result := range ready.Results {
		c.take(i, result)
	}
}

// take notes a result in the history. A lease leads to a run at once, and that to its end.
func (c *cluster) take(i int, result Result) {
	at := c.servers[i]
	ended := at.calls[result.ID]
	delete(at.calls, result.ID)
	end := c.now
	if result.Known {
		c.known++
	} else { // it may take effect at any time from now on
		end = math.MaxInt64
	}
	c.note(ended, output{known: result.Known, outcome: result.Outcome, result: result.Value.Result}, end)
	if result.Known && result.Outcome == OutcomeLeaseGranted && ended.change.Kind == AcquireLease {
		c.runs[ended.key]++
		c.propose(i, ended.key, Change{
			Kind:        RecordResult,
			Attempt:     result.Value.Attempt,
			AttemptedAt: ended.change.AttemptedAt,
			Retention:   retention,
			Succeeded:   true,
			Result:      fmt.Sprintf("%s by %v", ended.key, at.ProposerID),
		})
	}
}

func (c *cluster) note(ended call, out output, end microtime.Time) {
	c.history = append(c.history, porcupine.Operation{
		ClientId: len(c.history),
		Input:    input{ended.key, ended.change},
		Output:   out,
		Call:     int64(ended.began),
		Return:   int64(end),
	})
}

// post puts a message on the network, which may lose, delay or double it.
func (c *cluster) post(from, to int, content any, sender Identity) {
	if c.partitioned[from] != c.partitioned[to] || from != to && c.lossy && c.rng.IntN(12) == 0 {
		return
	}
	for copies := 1 + c.rng.IntN(12)/11; copies > 0; copies-- {
		delay := microtime.Time(1)
		if from != to {
			delay = 200 + microtime.Time(c.rng.Int64N(8000))
			if c.lossy && c.rng.IntN(40) == 0 {
				delay += microtime.Time(c.rng.Int64N(200_000)) // hangs, and comes all at once with others
			}
		}
		c.network = append(c.network, message{c.now + delay, from, to, content, sender})
	}
}

func (c *cluster) propose(i int, key string, change Change) {
	at := c.servers[i]
	id, err := at.Propose(c.now, key, change)
	if err != nil {
		return
	}
	change.Proposer = at.ProposerID
	if change.Kind == AcquireLease {
		change.Attempt = id
	}
	at.calls[id] = call{key, change, c.now}
	at.nextTick = 0
}

// crash ends what a server had in flight: it may have taken effect, or may yet.
func (c *cluster) crash(i int) {
	for _, lost := range c.servers[i].calls {
		c.note(lost, output{}, math.MaxInt64)
	}
	c.servers[i].crashed = true
}

// loseDisk has a machine that crashed come back without its disk.
func (c *cluster) loseDisk(i int) {
	c.diskLosses++
	c.servers[i].registers = map[string]Register{}
	c.servers[i].durable = Membership{}
	c.servers[i].incarnations++
}

// newest returns the newest membership that any server has on its disk.
func (c *cluster) newest() (newest Membership) {
	for _, s := range c.servers {
		if s.durable.Epoch > newest.Epoch {
			newest = s.durable
		}
	}
	return newest
}

// missing counts the members whose disk was lost and whose place is not taken yet.
func (c *cluster) missing() int {
	lost := map[uint32]bool{}
	for _, m := range c.newest().Members() {
		if c.servers[m.ID-1].incarnations != m.Incarnation {
			lost[m.ID] = true
		}
	}
	return len(lost)
}

// handle is how a server takes a message.
func (c *cluster) handle(receiver *server, arrived message) {
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
	case hello:
		if uint64(content) < receiver.Membership().Epoch {
			c.post(arrived.to, arrived.from, receiver.Membership(), receiver.AcceptorID)
		}
	}
}

// step has half a millisecond pass.
func (c *cluster) step() {
	c.now += 500
	for i := 0; i < len(c.network); i++ {
		arrived := c.network[i]
		if arrived.at > c.now {
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
		if !s.crashed && c.now >= s.nextHello {
			s.nextHello = c.now + 50_000
			to := c.rng.IntN(len(c.servers))
			c.post(i, to, hello(s.Membership().Epoch), s.AcceptorID)
			s.SetReachable(uint32(to+1), c.rng.IntN(3) > 0)
		}
		if !s.crashed && c.now >= s.nextTick {
			s.nextTick = s.Tick(c.now)
			c.flush(i)
		}
	}
}

// injectFault has something go wrong now and then: no more than the replicas can take.
func (c *cluster) injectFault() {
	newest := c.newest()
	i := c.rng.IntN(len(c.servers))
	victim := c.servers[i]
	switch c.rng.IntN(400) {
	case 0: // a partition, or its end
		if len(c.partitioned) > 0 {
			clear(c.partitioned)
		} else {
			c.partitioned[i] = true
			c.partitioned[(i+1)%len(c.servers)] = true
		}
	case 1, 2:
		if !victim.crashed {
			c.crash(i)
			if c.missing() < newest.ToleratedFailures() && len(newest.Next) == 0 {
				c.loseDisk(i)
			}
		}
	case 3, 4, 5, 6:
		if victim.crashed {
			c.boot(i)
		}
	case 7:
		if !victim.crashed {
			c.changeMembers(victim, newest)
		}
	}
}

// changeMembers has an operator add or remove a member.
func (c *cluster) changeMembers(at *server, newest Membership) {
	next := slices.Clone(at.Membership().Current)
	i := c.rng.IntN(len(c.servers))
	place := slices.IndexFunc(next, func(m Member) bool { return int(m.ID) == i+1 })
	switch {
	case place < 0:
		next = append(next, member(i+1, c.servers[i].incarnations))
	case len(next) > newest.ReplicationFactor && c.missing() == 0:
		next = slices.Delete(next, place, place+1)
	}
	if at.ProposeMembership(c.now, next, "an operator") == nil {
		c.memberChanges++
	}
}

// settle ends all faults, and has the cluster come to rest: no change in progress, and all keys at all their replicas.
func (c *cluster) settle() (problem string) {
	clear(c.partitioned)
	c.lossy = false
	for i, s := range c.servers {
		if s.crashed {
			c.boot(i)
		}
	}
	return c.waitFor(func() bool {
		newest := c.newest()
		for _, m := range newest.Current {
			s := c.servers[m.ID-1]
			left, _ := s.RepairProgress()
			if left > 0 || s.InFlight() > 0 || s.Membership().Epoch != newest.Epoch {
				return false
			}
		}
		return len(newest.Next) == 0 && c.missing() == 0
	})
}

// waitFor has time pass until the cluster is at rest.
func (c *cluster) waitFor(atRest func() bool) (problem string) {
	const steps = 60_000 // half a minute of the cluster's time
	for n := 0; !atRest(); n++ {
		if n > steps {
			return fmt.Sprintf("the cluster does not come to rest: %v", c.newest())
		}
		c.step()
	}
	return ""
}
