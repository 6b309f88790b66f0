package fakes

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/testbed/simnet"
)

const (
	callTime  = 30 * microtime.Millisecond // of a call, on average
	vaultIdle = 10 * microtime.Second      // a connection that is idle for so long is closed
	holdBack  = 80 * microtime.Millisecond // replies that are shuffled are held back for up to this
)

// VaultFault is something that a vault can be told to do wrong for a while.
type VaultFault uint8

// The faults of a vault.
const (
	VaultRefuses  VaultFault = iota // calls are turned away
	VaultFails                      // calls end in failed
	VaultOverruns                   // calls end in overdue
	VaultBreaks                     // the connection breaks in the middle of a reply
	VaultShuffles                   // replies are held back, so that they come in another order
	VaultStrays                     // replies come twice, or with one for nobody's call
	VaultSilent                     // calls are taken and never replied to
	vaultFaults
)

// Vault is the store that all servers of a world call, on the node v0. It does each call in a while of its own, and replies as the
// calls end.
type Vault struct {
	st     *Environment
	rng    *rand.Rand
	node   *simnet.Node
	lis    []*simnet.Listener
	slow   float64
	until  [vaultFaults]microtime.Time
	chance [vaultFaults]float64
	made   uint64
	calls  map[string]*vaultCall // in hand, by id
	Calls  map[vault.Status]int  // replies, by status
}

// vaultLink is one connection of a server's.
type vaultLink struct {
	v    *Vault
	e    *simnet.Stream
	in   []byte
	open int // calls in hand
	idle *simnet.Timer
}

// vaultCall is one call in hand.
type vaultCall struct {
	id    string
	link  *vaultLink
	body  []byte
	timer *simnet.Timer
}

// NewVault starts the vault; it listens at v0/a and v0/b.
func NewVault(st *Environment, seed uint64) *Vault {
	v := &Vault{st: st, rng: st.World.Fork(seed, "v0"), node: st.Net.Node("v0"), slow: 1, calls: map[string]*vaultCall{}, Calls: map[vault.Status]int{}}
	v.node.Boot()
	v.listen()
	return v
}

func (v *Vault) listen() {
	for _, address := range []string{"v0/a", "v0/b"} {
		accept := func(e *simnet.Stream) simnet.Handler {
			link := &vaultLink{v: v, e: e}
			link.rest()
			return link
		}
		lis, err := v.node.Listen(address, simnet.Listener{Accept: accept})
		if err != nil {
			panic(err) // its addresses are its own
		}
		v.lis = append(v.lis, lis)
	}
}

// Down has it refuse connections until a time; those that it has break at once.
func (v *Vault) Down(until microtime.Time) {
	for _, lis := range v.lis {
		lis.Close()
	}
	down := len(v.lis) == 0
	v.lis = nil
	for _, e := range slices.Clone(v.node.Streams()) {
		e.Reset()
	}
	if !down { // else the first fault's end brings it back
		v.st.World.At(until, v.listen)
	}
}

// Slow has calls that start from now on take so many times as long.
func (v *Vault) Slow(factor float64) { v.slow = factor }

// Fault has something go wrong with a chance until a time.
func (v *Vault) Fault(fault VaultFault, chance float64, until microtime.Time) {
	v.until[fault], v.chance[fault] = until, chance
}

func (v *Vault) faulty(fault VaultFault) bool {
	return v.st.World.Now() < v.until[fault] && v.rng.Float64() < v.chance[fault]
}

// rest closes the link once it has been idle for a while.
func (l *vaultLink) rest() {
	l.idle.Stop()
	l.idle = nil
	if l.open == 0 && l.e.IsOpen() {
		l.idle = l.v.st.World.In(vaultIdle, l.e.Close)
	}
}

// EOF is part of simnet.Handler.
func (l *vaultLink) EOF(e *simnet.Stream) {
	e.Close()
	l.Reset(e)
}

// Reset is part of simnet.Handler: the end of a connection gives up every call on it.
func (l *vaultLink) Reset(*simnet.Stream) {
	l.idle.Stop()
	for _, c := range l.v.calls {
		if c.link == l {
			l.v.end(c) // in any order: each by itself
		}
	}
}

// Received is part of simnet.Handler.
func (l *vaultLink) Received(e *simnet.Stream, in []byte) {
	l.in = append(l.in, in...)
	for e.IsOpen() {
		c, n, err := vault.ParseCommand(l.in)
		if err != nil { // the rules see it too
			e.Close()
			l.Reset(e)
		}
		if n == 0 {
			break
		}
		if c.Verb == vault.Ask {
			l.ask(c)
		} else if open := l.v.calls[c.ID]; open != nil && open.link == l {
			l.v.end(open)
		}
		l.in = l.in[:copy(l.in, l.in[n:])]
	}
	l.rest()
}

// end takes a call out of hand.
func (v *Vault) end(c *vaultCall) {
	c.timer.Stop()
	c.link.open--
	delete(v.calls, c.id)
}

// ask takes a call. A second one for the same request gives up the first.
func (l *vaultLink) ask(command vault.Command) {
	v := l.v
	if first := v.calls[command.ID]; first != nil {
		v.end(first)
		first.link.rest()
	}
	c := &vaultCall{id: command.ID, link: l, body: slices.Clone(command.Body)}
	v.calls[c.id] = c
	l.open++
	took := microtime.Time(float64(callTime) * v.slow * (0.2 + 0.8*v.rng.ExpFloat64()))
	status := vault.Yes
	switch {
	case !v.st.Requests.waits(c.id):
		status, took = vault.Pointless, 0
	case v.faulty(VaultRefuses):
		status, took = vault.NotNow, 0
	case v.faulty(VaultFails):
		status = vault.Failed
	case v.faulty(VaultOverruns):
		status = vault.Overdue
	case v.faulty(VaultSilent):
		return
	}
	if v.faulty(VaultShuffles) {
		took += microtime.Time(v.rng.Int64N(int64(holdBack)))
	}
	c.timer = v.st.World.In(took, func() { l.reply(c, status) })
}

// reply ends a call.
func (l *vaultLink) reply(c *vaultCall, status vault.Status) {
	v := l.v
	v.end(c)
	if status == vault.Yes && !v.st.Requests.waits(c.id) {
		status = vault.Overdue // its run has ended meanwhile
	}
	v.made++
	v.Calls[status]++
	out := vault.AppendReply(nil, c.id, status, fmt.Appendf(nil, "reply %d to %016x\r\n", v.made, xxhash.Sum64(c.body)))
	switch {
	case v.faulty(VaultBreaks):
		l.e.CutAfter(1 + v.rng.IntN(len(out)-1))
	case v.faulty(VaultStrays) && v.rng.IntN(2) == 0:
		out = append(out, out...)
	case v.faulty(VaultStrays):
		stray := vault.AppendReply(nil, fmt.Sprintf("%016x", v.rng.Uint64()), vault.Yes, []byte("for nobody"))
		out = append(stray, out...)
	}
	l.e.Write(out)
	l.rest()
}
