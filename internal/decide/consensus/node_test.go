package consensus

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// cluster is a group on a simulated network and simulated disks: messages are late, lost or doubled, halves are cut off from
// each other, nodes die and come back with what they had made durable, or without it and as another life, which takes its old
// self's place; members come and go.
type cluster struct {
	t *testing.T
	// override takes the place of deliver, for a planted bug; nil: there is none.
	override func(*cluster, *sim, sending)
	rng      *rand.Rand
	now      microtime.Time
	nodes    []*sim
	net      []sending
	cut      map[int]bool // on the one side of a partition
	history  []porcupine.Operation
	runs     map[string]int
	known    int
	lossy    bool
	wipes    int
	changes  int
}

type sim struct {
	*Node
	disk  map[string]Register
	group Membership
	due   microtime.Time
	hello microtime.Time
	asks  map[uint64]*call // changes under way, by id
	dead  bool
	born  uint64
	lives uint64
}

type call struct {
	key    string
	change Change
	began  microtime.Time
}

type sending struct {
	at       microtime.Time
	from, to int
	m        any
	who      Identity
}

type input struct {
	key    string
	change Change
}

type output struct {
	known   bool
	verdict Outcome
	result  string
}

// hello says which epoch a server goes by, as every frame of a link does.
type hello uint64

func peer(id int, life uint64) Member { return Member{Identity{uint32(id), life}, fmt.Sprint("n", id)} }

// newCluster is a group of members and some servers that are not of it.
func newCluster(t *testing.T, seed uint64, copies, size, spares int) *cluster {
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 9)), cut: map[int]bool{}, runs: map[string]int{}, lossy: true}
	g := Membership{ClusterID: 7, Epoch: 1, ReplicationFactor: copies}
	for i := range size {
		g.Current = append(g.Current, peer(i+1, 1))
	}
	for i := range size + spares {
		s := &sim{disk: map[string]Register{}, lives: 1}
		if i < size {
			s.group = g
		}
		c.nodes = append(c.nodes, s)
		c.boot(t, i)
	}
	return c
}

func (c *cluster) boot(t *testing.T, i int) {
	s := c.nodes[i]
	var err error
	s.born++
	s.Node, err = NewNode(Identity{uint32(i + 1), s.lives}, s.born, Config{AttemptTimeout: 20_000, ProposalTimeout: 300_000, MaxInFlight: 8, RepairRate: 300, MaxRepairs: 4}, s.group, maps.Clone(s.disk), c.rng.Uint64(), xxhash.Sum64String)
	require.NoError(t, err)
	s.asks, s.dead, s.due = map[uint64]*call{}, false, 0
}

// flush does what a node is ready for.
func (c *cluster) flush(i int) {
	s := c.nodes[i]
	r := s.Ready()
	if r.Membership != nil {
		s.group = *r.Membership
	}
	for _, k := range r.Registers {
		s.disk[k.Key] = k.Register
	}
	for _, q := range r.Requests {
		c.post(i, int(q.To.ID)-1, q, s.ProposerID)
	}
	for _, q := range r.Replies {
		c.post(i, int(q.To.ID)-1, q.Reply, s.AcceptorID)
	}
	for _, id := range r.Notify {
		c.post(i, int(id)-1, s.Membership(), s.AcceptorID)
	}
	for _, m := range r.TransferAcks {
		for to := range c.nodes {
			c.post(i, to, m, s.AcceptorID)
		}
	}
	for _, q := range r.Results {
		a := s.asks[q.ID]
		delete(s.asks, q.ID)
		out := output{known: q.Known, verdict: q.Outcome, result: q.Value.Result}
		end := c.now
		if !q.Known { // it may take effect at any time from now on
			end = math.MaxInt64
		} else {
			c.known++
		}
		c.history = append(c.history, porcupine.Operation{ClientId: len(c.history), Input: input{a.key, a.change}, Output: out, Call: int64(a.began), Return: int64(end)})
		if q.Known && q.Outcome == OutcomeLeaseGranted && a.change.Kind == AcquireLease {
			c.runs[a.key]++
			c.begin(i, a.key, Change{Kind: RecordResult, Attempt: q.Value.Attempt, AttemptedAt: a.change.AttemptedAt, Retention: window, Succeeded: true, Result: fmt.Sprintf("%s by %v", a.key, s.ProposerID)})
		}
	}
}

func (c *cluster) post(from, to int, m any, who Identity) {
	if c.cut[from] != c.cut[to] || from != to && c.lossy && c.rng.IntN(12) == 0 {
		return
	}
	for n := 1 + c.rng.IntN(12)/11; n > 0; n-- {
		late := microtime.Time(1)
		if from != to {
			late = 200 + microtime.Time(c.rng.Int64N(8000))
			if c.lossy && c.rng.IntN(40) == 0 {
				late += microtime.Time(c.rng.Int64N(200_000)) // hangs, and comes all at once with others
			}
		}
		c.net = append(c.net, sending{c.now + late, from, to, m, who})
	}
}

func (c *cluster) begin(i int, key string, change Change) {
	s := c.nodes[i]
	id, err := s.Propose(c.now, key, change)
	if err != nil {
		return
	}
	if change.Proposer = s.ProposerID; change.Kind == AcquireLease {
		change.Attempt = id
	}
	s.asks[id] = &call{key, change, c.now}
	s.due = 0
}

// lost ends what a dead node had under way: it may have taken effect, or may yet.
func (c *cluster) lost(i int) {
	for _, a := range c.nodes[i].asks {
		c.history = append(c.history, porcupine.Operation{ClientId: len(c.history), Input: input{a.key, a.change}, Output: output{}, Call: int64(a.began), Return: math.MaxInt64})
	}
	c.nodes[i].dead = true
}

// newest is the newest group that any server has on its disk.
func (c *cluster) newest() (g Membership) {
	for _, s := range c.nodes {
		if s.group.Epoch > g.Epoch {
			g = s.group
		}
	}
	return g
}

// missing counts the members whose disk was lost and whose place is not taken yet.
func (c *cluster) missing() (n int) {
	lost := map[uint32]bool{}
	for _, p := range c.newest().Members() {
		if c.nodes[p.ID-1].lives != p.Incarnation && !lost[p.ID] {
			lost[p.ID] = true
			n++
		}
	}
	return n
}

// deliver hands a message to its receiver.
func (c *cluster) deliver(s *sim, m sending) {
	switch k := m.m.(type) {
	case Request:
		s.HandleRequest(m.who, k)
	case Reply:
		if k.Ballot.Proposer == s.ProposerID {
			s.HandleReply(c.now, k)
		}
	case Membership:
		require.NoError(c.t, s.AdoptMembership(c.now, k))
	case TransferAck:
		s.HandleTransferAck(k)
	case hello:
		if uint64(k) < s.Membership().Epoch {
			c.post(m.to, m.from, s.Membership(), s.AcceptorID)
		}
	}
}

func (c *cluster) step(t *testing.T) {
	c.now += 500
	for i := 0; i < len(c.net); i++ {
		m := c.net[i]
		if m.at > c.now {
			continue
		}
		c.net = slices.Delete(c.net, i, i+1)
		i--
		if s := c.nodes[m.to]; !s.dead && c.cut[m.from] == c.cut[m.to] {
			if c.override != nil {
				c.override(c, s, m)
			} else {
				c.deliver(s, m)
			}
			s.due = 0
		}
	}
	for i, s := range c.nodes {
		if !s.dead && c.now >= s.hello {
			s.hello = c.now + 50_000
			to := c.rng.IntN(len(c.nodes))
			c.post(i, to, hello(s.Membership().Epoch), s.AcceptorID)
			s.SetReachable(uint32(to+1), c.rng.IntN(3) > 0)
		}
		if !s.dead && c.now >= s.due {
			s.due = s.Tick(c.now)
			c.flush(i)
		}
	}
}

// wipe has a machine lost with its disk.
func (c *cluster) wipe(i int) {
	s := c.nodes[i]
	c.wipes++
	s.disk, s.group = map[string]Register{}, Membership{}
	s.lives++
}

// spoil has something go wrong, now and then: no more than the copies can take.
func (c *cluster) spoil(t *testing.T) {
	g := c.newest()
	switch i := c.rng.IntN(len(c.nodes)); c.rng.IntN(400) {
	case 0: // a partition, or its end
		if len(c.cut) > 0 {
			clear(c.cut)
		} else {
			c.cut[i], c.cut[(i+1)%len(c.nodes)] = true, true
		}
	case 1, 2:
		if s := c.nodes[i]; !s.dead {
			c.lost(i)
			if c.missing() < g.ToleratedFailures() && len(g.Next) == 0 { // the machine is lost with its disk
				c.wipe(i)
			}
		}
	case 3, 4, 5, 6:
		if s := c.nodes[i]; s.dead {
			c.boot(t, i)
		}
	case 7: // an operator adds or removes one
		if s := c.nodes[i]; !s.dead {
			next := slices.Clone(s.Membership().Current)
			who := c.rng.IntN(len(c.nodes))
			if at := slices.IndexFunc(next, func(p Member) bool { return int(p.ID) == who+1 }); at < 0 {
				next = append(next, peer(who+1, c.nodes[who].lives))
			} else if len(next) > g.ReplicationFactor && c.missing() == 0 {
				next = slices.Delete(next, at, at+1)
			}
			if s.ProposeMembership(c.now, next, "an operator") == nil {
				c.changes++
			}
		}
	}
}

// once is what an intake may look like to its callers, one after the other.
var once = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range h {
			k := o.Input.(input).key
			by[k] = append(by[k], o)
		}
		var out [][]porcupine.Operation
		for _, k := range by {
			out = append(out, k)
		}
		return out
	},
	Init: func() any { return Value{} },
	Step: func(state, in, out any) (bool, any) {
		v, verdict := in.(input).change.Apply(state.(Value))
		o := out.(output)
		return !o.known || o.verdict == verdict && (verdict != OutcomeSucceeded || o.result == v.Result), v
	},
}

var seedsMost = flag.Int("seeds", 300, "how many seeds TestGroupIsLinearizable plays")

// Guards the promise of a group: through losses, doubles, delays, partitions, deaths, two disks lost or more and changes of members,
// no intake runs twice in its window, and all that callers were told of a key fits one order of what happened. Once faults end,
// each change of members does too.
func TestGroupIsLinearizable(t *testing.T) {
	var mu sync.Mutex
	var total struct{ runs, known, served, wipes, changes, epochs int }
	t.Run("seeds", func(t *testing.T) {
		for w := range 6 {
			t.Run(fmt.Sprint(w), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(w); seed < uint64(*seedsMost); seed += 6 {
					c, wrong := playGroup(t, seed, nil)
					require.Empty(t, wrong, "seed %d", seed)
					mu.Lock()
					for range c.runs {
						total.runs++
					}
					for _, o := range c.history {
						if out := o.Output.(output); out.known && out.verdict == OutcomeSucceeded {
							total.served++
						}
					}
					total.known, total.wipes, total.changes, total.epochs = total.known+c.known, total.wipes+c.wipes, total.changes+c.changes, total.epochs+int(c.newest().Epoch)
					mu.Unlock()
				}
			})
		}
	})
	t.Logf("%d seeds: %+v", *seedsMost, total)
	require.Greater(t, total.runs, *seedsMost)
	require.Greater(t, total.served, 2**seedsMost)
	require.Greater(t, total.changes, *seedsMost/2)
}

// playGroup plays a group from a seed; it returns what is wrong, if anything is.
func playGroup(t *testing.T, seed uint64, override func(*cluster, *sim, sending)) (*cluster, string) {
	copies := 3 + 2*int(seed%2)
	c := newCluster(t, seed, copies, copies+int(seed/2%3), 2)
	c.override = override
	load := func(n int) {
		if c.rng.IntN(25) == 0 {
			if i := c.rng.IntN(len(c.nodes)); !c.nodes[i].dead {
				act := []ChangeKind{AcquireLease, AcquireLease, ReadValue}[c.rng.IntN(3)]
				c.begin(i, fmt.Sprintf("lot %d", n/300*12+c.rng.IntN(12)), Change{Kind: act, AttemptedAt: int64(c.rng.IntN(300)), Retention: window})
			}
		}
		c.step(t)
	}
	for n := range 2500 {
		load(n)
		c.spoil(t)
	}
	if wrong := c.settle(t); wrong != "" {
		return c, wrong
	}
	// Two disks more are lost, one after the other, each as soon as the place of the one before is taken: what was not brought on by
	// then is lost with it.
	for range 2 {
		g := c.newest()
		i := int(g.Current[c.rng.IntN(len(g.Current))].ID) - 1
		c.lost(i)
		c.wipe(i)
		c.boot(t, i)
		if wrong := c.rest(t, func() bool { return len(c.newest().Next) == 0 && c.missing() == 0 }); wrong != "" {
			return c, wrong
		}
	}
	for n := range 300 { // all that was there before is asked for again
		load(n / 3 * 25)
	}
	if wrong := c.settle(t); wrong != "" {
		return c, wrong
	}
	for key, n := range c.runs {
		if n != 1 {
			return c, fmt.Sprintf("%s was run %d times", key, n)
		}
	}
	for i, s := range c.nodes {
		if !s.dead {
			c.lost(i)
		}
	}
	if got := porcupine.CheckOperationsTimeout(once, c.history, time.Minute); got != porcupine.Ok {
		return c, fmt.Sprintf("the history fits no order: %v", got)
	}
	return c, ""
}

// settle ends all faults, and has the group come to rest: no change under way, and all that is held at all its holders.
func (c *cluster) settle(t *testing.T) (wrong string) {
	clear(c.cut)
	c.lossy = false
	for i, s := range c.nodes {
		if s.dead {
			c.boot(t, i)
		}
	}
	still := func() bool {
		g := c.newest()
		for _, p := range g.Current {
			s := c.nodes[p.ID-1]
			if left, _ := s.RepairProgress(); left > 0 || s.InFlight() > 0 || s.Membership().Epoch != g.Epoch {
				return false
			}
		}
		return len(g.Next) == 0 && c.missing() == 0
	}
	return c.rest(t, still)
}

// rest has time pass until the group is still.
func (c *cluster) rest(t *testing.T, still func() bool) string {
	for n := 0; !still(); n++ {
		if n > 60_000 { // half a minute of its time
			return fmt.Sprintf("the group does not come to rest: %v", c.newest())
		}
		c.step(t)
	}
	return ""
}

func TestConfig(t *testing.T) {
	good := Config{AttemptTimeout: 10, ProposalTimeout: 100, MaxInFlight: 1, RepairRate: 1, MaxRepairs: 1}
	require.NoError(t, good.Validate())
	for _, f := range []func(*Config){func(c *Config) { c.RepairRate = 0 }, func(c *Config) { c.AttemptTimeout = 0 }, func(c *Config) { c.ProposalTimeout = 15 }, func(c *Config) { c.MaxInFlight = 0 }} {
		c := good
		f(&c)
		require.Error(t, c.Validate())
	}
	n, err := NewNode(Identity{1, 1}, 1, good, Membership{}, nil, 1, xxhash.Sum64String)
	require.NoError(t, err)
	_, err = n.Propose(0, "k", Change{Retention: 1})
	require.ErrorIs(t, err, ErrNoMembership)
	three := []Member{peer(1, 1), peer(2, 1), peer(3, 1)}
	require.NoError(t, n.Bootstrap(0, Membership{ClusterID: 7, ReplicationFactor: 3, Current: three}))
	require.ErrorIs(t, n.Bootstrap(0, Membership{ClusterID: 8, ReplicationFactor: 3, Current: three}), ErrInvalidChange, "there is one")
	require.ErrorIs(t, n.AdoptMembership(0, Membership{ClusterID: 8, Epoch: 9, ReplicationFactor: 3, Current: three}), ErrInvalidMembership, "a stranger's")
	require.Equal(t, []uint32{2, 3}, n.Ready().Notify)
	_, err = n.Propose(0, "k", Change{Retention: 1})
	require.NoError(t, err)
	_, err = n.Propose(0, "j", Change{Retention: 1})
	require.ErrorIs(t, err, ErrTooManyInFlight)
	require.Equal(t, microtime.Time(10), n.Tick(0))
	n.Tick(100)
	require.Equal(t, []Result{{ID: 1, Key: "k"}}, n.Ready().Results, "nobody answered: it is not known")
	require.ErrorIs(t, n.ProposeMembership(100, three[:1], ""), ErrInvalidChange, "two at once")
	require.ErrorIs(t, n.ProposeMembership(100, three, ""), ErrInvalidChange, "none at all")
	require.NoError(t, n.ProposeMembership(100, three[:2], ""))
	require.ErrorIs(t, n.ProposeMembership(100, three[1:], ""), ErrChangeInProgress)
}

// A group is its text.
func TestGroupText(t *testing.T) {
	for _, g := range []Membership{
		{ClusterID: 1, Epoch: 2, ReplicationFactor: 3, Current: []Member{peer(1, 5), peer(2, 6)}, Reason: "a \"why\" | of words\n"},
		{ClusterID: 1 << 63, Epoch: 1 << 40, ReplicationFactor: 5, Current: []Member{peer(1, 5)}, Next: []Member{peer(1, 5), peer(9, 1<<63)}, ForcedAt: 99},
	} {
		got, err := ParseMembership(g.String())
		require.NoError(t, err)
		require.Equal(t, g, got)
	}
	for _, text := range []string{"", "1 2 3 0 | 1 | | \"\"", "1 2 4 0 | 1 1 a | | \"\"", "1 2 3 0 | 1 1 a 1 2 b | | \"\"", "1 2 3 0 | x 1 a | | \"\"", "1 2 3 0 | 1 1 a | | no"} {
		_, err := ParseMembership(text)
		require.ErrorIs(t, err, ErrInvalidMembership, text)
	}
}

// Guards what runs after an operator went on without a majority: nothing of which nothing is known, until a window has passed.
func TestForced(t *testing.T) {
	c := newCluster(t, 1, 3, 3, 0)
	c.lossy = false
	for i := range 40 {
		c.begin(i%3, fmt.Sprint("lot ", i), Change{AttemptedAt: int64(100 + i), Retention: window})
		for range 200 {
			c.step(t)
		}
	}
	require.Len(t, c.runs, 40)
	for _, i := range []int{1, 2} {
		c.lost(i)
	}
	s := c.nodes[0]
	require.ErrorIs(t, s.ForceMembership(c.now, []uint32{2, 3}, 5000, "two lost"), ErrInvalidChange, "not without itself")
	require.NoError(t, s.ForceMembership(c.now, []uint32{1}, 5000, "two lost"))
	ask := func(key string, at int64) Result {
		id, err := s.Propose(c.now, key, Change{AttemptedAt: at, Retention: window})
		require.NoError(t, err)
		for {
			s.Tick(c.now)
			r := s.Ready()
			for _, q := range r.Requests {
				s.HandleRequest(s.ProposerID, q)
			}
			for _, q := range s.Ready().Replies {
				s.HandleReply(c.now, q.Reply)
			}
			for _, q := range r.Results {
				if q.ID == id {
					return q
				}
			}
			c.now += 500
		}
	}
	require.Equal(t, OutcomeSucceeded, ask("lot 3", 200).Outcome, "its copy is there")
	require.Equal(t, OutcomeIndeterminate, ask("new", 5999).Outcome)
	require.Equal(t, OutcomeIndeterminate, ask("lot 3", 4000).Outcome, "a later run of it may be lost")
	require.Equal(t, OutcomeLeaseGranted, ask("new", 6000).Outcome)
}
