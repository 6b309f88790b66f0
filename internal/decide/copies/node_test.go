package copies

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"pewterline/internal/micro"
)

// cluster is a group on a simulated network and simulated disks: messages are late, lost or doubled, halves are cut off from
// each other, nodes die and come back with what they had made durable, or without it and as another life.
type cluster struct {
	rng     *rand.Rand
	now     micro.Time
	nodes   []*sim
	members []Member
	net     []sending
	cut     map[int]bool // on the one side of a partition
	history []porcupine.Operation
	runs    map[string]int
	results map[string]string
	known   int
}

type sim struct {
	*Node
	disk map[string]Slot
	due  micro.Time
	asks map[uint64]*call // changes under way, by id
	dead bool
	born uint64
	gone bool // its disk is lost, and no member asks its new life
}

type call struct {
	key    string
	change Change
	began  micro.Time
}

type sending struct {
	at       micro.Time
	from, to int
	m        any
	who      Member
}

type input struct {
	key    string
	change Change
}

type output struct {
	known   bool
	verdict Verdict
	result  string
}

func newCluster(t *testing.T, seed uint64, n int) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 9)), cut: map[int]bool{}, runs: map[string]int{}, results: map[string]string{}}
	for i := range n {
		c.members = append(c.members, Member{uint32(i), 1})
	}
	for i := range n {
		c.nodes = append(c.nodes, &sim{disk: map[string]Slot{}})
		c.boot(t, i, c.members[i])
	}
	return c
}

func (c *cluster) boot(t *testing.T, i int, self Member) {
	s, slots := c.nodes[i], map[string]Slot{}
	for k, v := range s.disk {
		slots[k] = v
	}
	var err error
	s.born++
	s.Node, err = NewNode(self, s.born, Config{Copies: 3, Wait: 20_000, Most: 300_000, Keys: 8}, c.members, slots, c.rng.Uint64(), xxhash.Sum64String)
	require.NoError(t, err)
	s.asks, s.dead = map[uint64]*call{}, false
}

// flush does what a node is ready for. It may die after each step of it.
func (c *cluster) flush(i int) {
	s := c.nodes[i]
	r := s.Ready()
	for _, k := range r.Save {
		s.disk[k.Key] = k.Slot
	}
	for _, q := range r.Requests {
		c.post(i, int(q.To.ID), q, s.Self)
	}
	for to, rs := range r.Replies {
		for _, q := range rs {
			c.post(i, int(to.ID), q, s.Self)
		}
	}
	for _, q := range r.Results {
		a := s.asks[q.ID]
		delete(s.asks, q.ID)
		out := output{known: q.Known, verdict: q.Verdict, result: q.Value.Result}
		end := c.now
		if !q.Known { // it may take effect at any time from now on
			end = math.MaxInt64
		} else {
			c.known++
		}
		c.history = append(c.history, porcupine.Operation{ClientId: len(c.history), Input: input{a.key, a.change}, Output: out, Call: int64(a.began), Return: int64(end)})
		if q.Known && q.Verdict == Run && !a.change.Settle {
			c.runs[a.key]++
			c.begin(i, a.key, Change{Settle: true, Try: q.Value.Try, At: a.change.At, Window: window, Passed: true, Result: fmt.Sprintf("%s by %v", a.key, s.Self)})
		}
	}
}

func (c *cluster) post(from, to int, m any, who Member) {
	if c.cut[from] != c.cut[to] || from != to && c.rng.IntN(12) == 0 {
		return
	}
	for n := 1 + c.rng.IntN(12)/11; n > 0; n-- {
		late := micro.Time(1)
		if from != to {
			late = 200 + micro.Time(c.rng.Int64N(8000))
			if c.rng.IntN(40) == 0 {
				late += micro.Time(c.rng.Int64N(200_000)) // hangs, and comes all at once with others
			}
		}
		c.net = append(c.net, sending{c.now + late, from, to, m, who})
	}
}

func (c *cluster) begin(i int, key string, change Change) {
	s := c.nodes[i]
	id, err := s.Begin(c.now, key, change)
	if err != nil {
		return
	}
	if change.Self = s.Process; !change.Settle {
		change.Try = id
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

func (c *cluster) step(t *testing.T, wipes *int) {
	c.now += 500
	for i := 0; i < len(c.net); i++ {
		m := c.net[i]
		if m.at > c.now {
			continue
		}
		c.net = slices.Delete(c.net, i, i+1)
		i--
		if s := c.nodes[m.to]; !s.dead && c.cut[m.from] == c.cut[m.to] {
			switch k := m.m.(type) {
			case Request:
				s.Asked(m.who, k)
			case Reply:
				if k.Ballot.By == s.Process {
					s.Heard(c.now, k)
				}
			}
			s.due = 0
		}
	}
	for i, s := range c.nodes {
		if !s.dead && c.now >= s.due {
			s.due = s.Tick(c.now)
			c.flush(i)
		}
	}
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
			if *wipes > 0 && c.rng.IntN(3) == 0 { // the machine is lost with its disk: its place stays empty
				*wipes--
				s.disk, s.gone = map[string]Slot{}, true
			}
		}
	case 3, 4, 5:
		if s := c.nodes[i]; s.dead {
			self := s.Self // its old self, unless its disk is gone
			if s.gone {
				self.Life++
			}
			c.boot(t, i, self)
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
		return !o.known || o.verdict == verdict && (verdict != Serve || o.result == v.Result), v
	},
}

// Guards the promise of a group: through losses, doubles, delays, partitions, deaths and a disk lost, no intake runs twice in its
// window, and all that callers were told of a key fits one order of what happened.
func TestGroupIsLinearizable(t *testing.T) {
	runs, known, served := 0, 0, 0
	for seed := range uint64(300) {
		c, wipes := newCluster(t, seed, 5), 1
		for n := range 4000 {
			if n < 3000 && c.rng.IntN(25) == 0 {
				if i := c.rng.IntN(len(c.nodes)); !c.nodes[i].dead {
					c.begin(i, fmt.Sprintf("lot %d", c.rng.IntN(12)), Change{At: int64(c.rng.IntN(300)), Window: window})
				}
			}
			c.step(t, &wipes)
		}
		for i, s := range c.nodes {
			if !s.dead {
				c.lost(i)
			}
		}
		for key, n := range c.runs {
			require.Equal(t, 1, n, "seed %d: %s", seed, key)
			runs++
		}
		for _, o := range c.history {
			if out := o.Output.(output); out.known && out.verdict == Serve {
				served++
			}
		}
		known += c.known
		if got := porcupine.CheckOperationsTimeout(once, c.history, time.Minute); got != porcupine.Ok {
			t.Fatalf("seed %d: the history fits no order: %v", seed, got)
		}
	}
	t.Logf("%d runs, %d known verdicts, %d of them served", runs, known, served)
	require.Greater(t, runs, 300)
	require.Greater(t, served, 1000)
}

func TestConfig(t *testing.T) {
	good := Config{Copies: 3, Wait: 10, Most: 100, Keys: 1}
	require.NoError(t, good.Check())
	for _, f := range []func(*Config){func(c *Config) { c.Copies = 2 }, func(c *Config) { c.Wait = 0 }, func(c *Config) { c.Most = 15 }, func(c *Config) { c.Keys = 0 }} {
		c := good
		f(&c)
		require.Error(t, c.Check())
	}
	_, err := NewNode(Member{}, 1, good, nil, nil, 1, xxhash.Sum64String)
	require.ErrorContains(t, err, "too few")
	n, err := NewNode(Member{0, 1}, 1, good, []Member{{0, 1}, {1, 1}, {2, 1}}, nil, 1, xxhash.Sum64String)
	require.NoError(t, err)
	_, err = n.Begin(0, "k", Change{Window: 1})
	require.NoError(t, err)
	_, err = n.Begin(0, "j", Change{Window: 1})
	require.ErrorIs(t, err, ErrBusy)
	require.Equal(t, micro.Time(10), n.Tick(0))
	require.Equal(t, micro.Never, n.Tick(100))
	require.Equal(t, []Result{{ID: 1, Key: "k"}}, n.Ready().Results, "nobody answered: it is not known")
}
