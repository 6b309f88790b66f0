// Package fakes has small stand-ins for what the program talks with, on the virtual clock: callers by Thrift and by
// AJP, worker pools, the control plane, strangers and a store of record. They keep to the protocols' pages, and go
// wrong only as a fault says.
package fakes

import (
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

// Environment is what all stand-ins of a world share.
type Environment struct {
	Net           *simnet.Net
	World         *simnet.World
	Settings      control.Settings
	Deployment    Deployment
	Requests      *RequestRegistry
	Registry      *Registry
	TrafficFactor map[string]float64 // of each tenant's traffic, or each class's where there are no tenants; 1 where absent
	Served        map[string]int     // jobs that got their result, by class
	Asked         map[string]int
	WeightServed  float64 // of those served within their aim, and a share of those served late
	WeightAsked   float64
	wall          simnet.WallClock
}

// EnvironmentConfig is what the fakes of a world are built from.
type EnvironmentConfig struct {
	Net        *simnet.Net
	Settings   control.Settings
	Deployment Deployment
	Seed       uint64
}

// NewEnvironment returns an environment with a control plane.
func NewEnvironment(config EnvironmentConfig) *Environment {
	st := &Environment{Net: config.Net, World: config.Net.World(), Settings: config.Settings, Deployment: config.Deployment,
		Requests: &RequestRegistry{tries: map[string]*sent{}}, TrafficFactor: map[string]float64{},
		Served: map[string]int{}, Asked: map[string]int{}}
	st.Registry = newControl(st, st.World.Fork(config.Seed, "control"))
	return st
}

// RequestRegistry knows which tries have been sent where: what a worker pool of the platform knows of the requests.
type RequestRegistry struct {
	tries map[string]*sent
}

type sent struct {
	server string
	class  string
	sum    uint64
	size   float64 // of its work; 0: nobody said
	over   bool    // answered, given up, or its connection is gone
	pool   *Pool   // of the run
	run    *work   // its last; nil: none
}

// Add notes a try that has come to a server, as from an edge; Over that nobody waits for it.
func (b *RequestRegistry) Add(id, server, class string, body []byte) { b.add(id, server, class, body) }

// MarkEnded notes that nobody waits for a try any more.
func (b *RequestRegistry) MarkEnded(id string) { b.over(id) }

func (b *RequestRegistry) add(id, server, class string, body []byte) {
	b.tries[id] = &sent{server: server, class: class, sum: xxhash.Sum64(body)}
}

// waits tells whether the run of a try waits for a call.
func (b *RequestRegistry) waits(id string) bool {
	t := b.tries[id]
	return t != nil && t.run != nil && t.run.blocked && !t.pool.dead
}

func (b *RequestRegistry) over(id string) {
	t := b.tries[id]
	if t == nil {
		return
	}
	t.over = true
	if t.run != nil {
		t.pool.requestOver(t.run)
	}
}

// Registry is the control plane: it lists the servers that report, and tells the callers late.
type Registry struct {
	st      *Environment
	rng     *rand.Rand
	entries []*entry
	callers []*Caller
	muted   microtime.Time
	hidden  map[string]bool // servers that callers are not to use: edges stand before them
}

type entry struct {
	server string
	heard  microtime.Time
	ready  bool
}

const (
	lapse     = 3 * microtime.Second
	pushEvery = 500 * microtime.Millisecond
)

func newControl(st *Environment, rng *rand.Rand) *Registry {
	c := &Registry{st: st, rng: rng}
	n := st.Net.Node("control")
	n.Boot()
	for _, a := range []string{"control/a", "control/b"} {
		if _, err := n.Listen(a, simnet.Listener{Datagram: func(_ string, p []byte) { c.report(string(p)) }}); err != nil {
			panic(err) // nobody else listens there
		}
	}
	st.World.In(0, c.push)
	return c
}

func (c *Registry) entry(server string) *entry {
	for _, e := range c.entries {
		if e.server == server {
			return e
		}
	}
	e := &entry{server: server}
	c.entries = append(c.entries, e)
	return e
}

// List enters a server whose worker pool has come up.
func (c *Registry) List(server string) {
	e := c.entry(server)
	e.heard, e.ready = c.st.World.Now(), true
}

// Hide keeps a server off the list for good.
func (c *Registry) Hide(server string) {
	if c.hidden == nil {
		c.hidden = map[string]bool{}
	}
	c.hidden[server] = true
}

// Unlist drops a server at once, as where its machine is known to be gone.
func (c *Registry) Unlist(server string) { c.entry(server).ready = false }

// SetDown has the control plane be down until a time: nobody hears of changes, and no entry lapses.
func (c *Registry) SetDown(until microtime.Time) { c.muted = max(c.muted, until) }

func (c *Registry) report(text string) {
	var name, word string
	if n, _ := fmt.Sscanf(text, "lease %s %s", &name, &word); n != 2 || c.muted > c.st.World.Now() {
		return
	}
	e := c.entry(name)
	e.heard, e.ready = c.st.World.Now(), word == "Ready"
}

// push tells every caller of the list as it is now, a second or two later.
func (c *Registry) push() {
	now := c.st.World.Now()
	if now >= c.muted {
		var list []string
		for _, e := range c.entries {
			if c.muted > 0 && e.heard < c.muted && e.heard > 0 {
				e.heard = c.muted // it was down for a part of the time
			}
			if e.ready && !c.hidden[e.server] && now < e.heard+lapse {
				list = append(list, e.server)
			}
		}
		for _, k := range c.callers {
			c.st.World.In(microtime.Second+microtime.Time(c.rng.Int64N(int64(microtime.Second))), func() { k.hear(list) })
		}
	}
	c.st.World.In(pushEvery, c.push)
}

// ConnectUnidentified connects n times to a server: some say nothing, some say half of something, some say what is no message.
func (st *Environment) ConnectUnidentified(server string, n int, rng *rand.Rand) {
	node := st.Net.Node("x0")
	if !node.Up() {
		node.Boot()
	}
	for i := range n {
		addr := server + "/" + []string{"thrift", "ajp"}[rng.IntN(2)]
		st.World.In(microtime.Time(i)*5*microtime.Millisecond, func() {
			node.Dial(addr, func(e *simnet.Stream, err error) {
				if err != nil {
					return
				}
				e.SetHandler(silent{})
				switch rng.IntN(3) {
				case 0:
					e.Write([]byte{0, 0, 0, 60, 0x80, 1, 0, 1, 0, 0})
				case 1:
					e.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
				}
				st.World.In(5*microtime.Second, e.Close)
			})
		})
	}
}

// silent reads and does nothing.
type silent struct{}

func (silent) Received(*simnet.Stream, []byte) {}
func (silent) EOF(e *simnet.Stream)            { e.Close() }
func (silent) Reset(*simnet.Stream)            {}
