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
	vaultNode = "v0"
	// meanCallTime is what a call takes on average.
	meanCallTime = 30 * microtime.Millisecond
	// vaultIdleTimeout is how long a connection stays open without a call.
	vaultIdleTimeout = 10 * microtime.Second
	// maxShuffleDelay is for how long a reply is held back that is to come in another order.
	maxShuffleDelay = 80 * microtime.Millisecond
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

// String is the fault's name.
func (f VaultFault) String() string {
	names := [vaultFaults]string{"refuses", "fails", "overruns", "breaks", "shuffles", "strays", "silent"}
	if f >= vaultFaults {
		return fmt.Sprintf("VaultFault(%d)", uint8(f))
	}
	return names[f]
}

// Vault is the store that all servers of a world call, on a node of its own. It does each call in a while of its
// own, and replies as the calls end.
type Vault struct {
	env       *Environment
	rng       *rand.Rand
	node      *simnet.Node
	listeners []*simnet.Listener // none while it is down
	slowdown  float64
	until     [vaultFaults]microtime.Time
	chance    [vaultFaults]float64
	replies   uint64                // made so far
	calls     map[string]*vaultCall // in flight, by request ID
}

// vaultLink is one connection of a server's.
type vaultLink struct {
	vault  *Vault
	stream *simnet.Stream
	in     []byte // read and not yet whole
	open   int    // calls in flight
	idle   *simnet.Timer
}

// vaultCall is one call in flight.
type vaultCall struct {
	id    string
	link  *vaultLink
	body  []byte
	timer *simnet.Timer
}

// NewVault starts the vault; it listens at two addresses.
func NewVault(env *Environment, seed uint64) *Vault {
	started := &Vault{
		env:      env,
		rng:      env.World.Fork(seed, vaultNode),
		node:     env.Net.Node(vaultNode),
		slowdown: 1,
		calls:    map[string]*vaultCall{},
	}
	started.node.Boot()
	started.listen()
	return started
}

func (v *Vault) listen() {
	for _, address := range []string{vaultNode + "/a", vaultNode + "/b"} {
		v.listeners = append(v.listeners, mustListen(v.node, address, simnet.Listener{Accept: v.accept}))
	}
}

// accept takes a new connection.
func (v *Vault) accept(stream *simnet.Stream) simnet.Handler {
	link := &vaultLink{vault: v, stream: stream}
	link.rest()
	return link
}

// Down has it refuse connections until a time; those that it has break at once.
func (v *Vault) Down(until microtime.Time) {
	for _, listener := range v.listeners {
		listener.Close()
	}
	alreadyDown := len(v.listeners) == 0
	v.listeners = nil
	for _, stream := range slices.Clone(v.node.Streams()) {
		stream.Reset()
	}
	if !alreadyDown { // else the first fault's end brings it back
		v.env.World.At(until, v.listen)
	}
}

// Slow has calls that start from now on take so many times as long.
func (v *Vault) Slow(factor float64) { v.slowdown = factor }

// Fault has something go wrong with a chance until a time.
func (v *Vault) Fault(fault VaultFault, chance float64, until microtime.Time) {
	v.until[fault] = until
	v.chance[fault] = chance
}

// faulty draws whether a fault is at work now.
func (v *Vault) faulty(fault VaultFault) bool {
	return v.env.World.Now() < v.until[fault] && v.rng.Float64() < v.chance[fault]
}

// end takes a call out of flight.
func (v *Vault) end(ended *vaultCall) {
	ended.timer.Stop()
	ended.link.open--
	delete(v.calls, ended.id)
}

// rest closes the connection once it has been idle for a while.
func (l *vaultLink) rest() {
	l.idle.Stop()
	l.idle = nil
	if l.open == 0 && l.stream.IsOpen() {
		l.idle = l.vault.env.World.In(vaultIdleTimeout, l.stream.Close)
	}
}

// EOF is part of simnet.Handler.
func (l *vaultLink) EOF(stream *simnet.Stream) {
	stream.Close()
	l.Reset(stream)
}

// Reset is part of simnet.Handler: the end of a connection gives up every call on it.
func (l *vaultLink) Reset(*simnet.Stream) {
	l.idle.Stop()
	for _, call := range l.vault.calls {
		if call.link == l {
			l.vault.end(call) // the order of the map does not matter, as each ends by itself
		}
	}
}

// Received is part of simnet.Handler.
func (l *vaultLink) Received(stream *simnet.Stream, in []byte) {
	l.in = append(l.in, in...)
	for stream.IsOpen() {
		command, size, err := vault.ParseCommand(l.in)
		if err != nil { // the invariant checker sees it too
			stream.Close()
			l.Reset(stream)
		}
		if size == 0 {
			break
		}
		if command.Verb == vault.Ask {
			l.ask(command)
		} else if call := l.vault.calls[command.ID]; call != nil && call.link == l {
			l.vault.end(call)
		}
		l.in = l.in[:copy(l.in, l.in[size:])]
	}
	l.rest()
}

// ask takes a call. A second one for the same request gives up the first.
func (l *vaultLink) ask(command vault.Command) {
	owner := l.vault
	if first := owner.calls[command.ID]; first != nil {
		owner.end(first)
		first.link.rest()
	}
	call := &vaultCall{id: command.ID, link: l, body: slices.Clone(command.Body)}
	owner.calls[call.id] = call
	l.open++
	took := microtime.Time(float64(meanCallTime) * owner.slowdown * (0.2 + 0.8*owner.rng.ExpFloat64()))
	status := vault.Yes
	switch {
	case !owner.env.Requests.awaitsCall(call.id):
		status = vault.Pointless
		took = 0
	case owner.faulty(VaultRefuses):
		status = vault.NotNow
		took = 0
	case owner.faulty(VaultFails):
		status = vault.Failed
	case owner.faulty(VaultOverruns):
		status = vault.Overdue
	case owner.faulty(VaultSilent):
		return
	}
	if owner.faulty(VaultShuffles) {
		took += randomUpTo(owner.rng, maxShuffleDelay)
	}
	call.timer = owner.env.World.In(took, func() { l.reply(call, status) })
}

// reply ends a call.
func (l *vaultLink) reply(call *vaultCall, status vault.Status) {
	owner := l.vault
	owner.end(call)
	if status == vault.Yes && !owner.env.Requests.awaitsCall(call.id) {
		status = vault.Overdue // its run has ended meanwhile
	}
	owner.replies++
	body := fmt.Appendf(nil, "reply %d to %016x\r\n", owner.replies, xxhash.Sum64(call.body))
	reply := vault.AppendReply(nil, call.id, status, body)
	switch {
	case owner.faulty(VaultBreaks):
		l.stream.CutAfter(1 + owner.rng.IntN(len(reply)-1))
	case owner.faulty(VaultStrays) && owner.rng.IntN(2) == 0:
		reply = append(reply, reply...)
	case owner.faulty(VaultStrays):
		stray := vault.AppendReply(nil, fmt.Sprintf("%016x", owner.rng.Uint64()), vault.Yes, []byte("for nobody"))
		reply = append(stray, reply...)
	}
	l.stream.Write(reply)
	l.rest()
}
