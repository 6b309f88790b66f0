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
	// meanCallTime is the average duration of a call.
	meanCallTime = 30 * microtime.Millisecond
	// vaultIdleTimeout is how long a connection stays open without calls.
	vaultIdleTimeout = 10 * microtime.Second
	// maxShuffleDelay is the longest delay of a reply that VaultShuffles holds back.
	maxShuffleDelay = 80 * microtime.Millisecond
)

// VaultFault is a kind of misbehaviour that can be injected into the vault.
type VaultFault uint8

// The kinds of misbehaviour.
const (
	VaultRefuses  VaultFault = iota // calls are rejected with notnow
	VaultFails                      // calls end with failed
	VaultOverruns                   // calls end with overdue
	VaultBreaks                     // the connection breaks in the middle of a reply
	VaultShuffles                   // replies are delayed, so that their order changes
	VaultStrays                     // replies are sent twice, or after a reply to an unknown call
	VaultSilent                     // calls are accepted and never answered
	vaultFaults
)

// String returns the fault's name.
func (f VaultFault) String() string {
	names := [vaultFaults]string{"refuses", "fails", "overruns", "breaks", "shuffles", "strays", "silent"}
	if f >= vaultFaults {
		return fmt.Sprintf("VaultFault(%d)", uint8(f))
	}
	return names[f]
}

// Vault is the simulated vault that all servers of a simulation call, on a node of its own. Each call takes a random
// time, and replies are sent in the order in which calls complete.
type Vault struct {
	env         *Environment
	rng         *rand.Rand
	node        *simnet.Node
	listeners   []*simnet.Listener // empty while the vault is down
	slowdown    float64
	until       [vaultFaults]microtime.Time
	probability [vaultFaults]float64
	replies     uint64                // number of replies so far
	calls       map[string]*vaultCall // in flight, by request ID
}

// vaultConn is one connection from a server.
type vaultConn struct {
	vault     *Vault
	stream    *simnet.Stream
	in        []byte // incomplete command
	open      int    // calls in flight
	idleTimer *simnet.Timer
}

// vaultCall is one call in flight.
type vaultCall struct {
	id    string
	conn  *vaultConn
	body  []byte
	timer *simnet.Timer
}

// NewVault starts the vault; it listens at two addresses.
func NewVault(env *Environment, seed uint64) *Vault {
	started := &Vault{
		env:      env,
		rng:      env.Clock.Fork(seed, vaultNode),
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

// accept returns the handler of a new connection.
func (v *Vault) accept(stream *simnet.Stream) simnet.Handler {
	conn := &vaultConn{vault: v, stream: stream}
	conn.closeWhenIdle()
	return conn
}

// Down makes the vault refuse connections until a time, and resets those that are open.
func (v *Vault) Down(until microtime.Time) {
	for _, listener := range v.listeners {
		listener.Close()
	}
	alreadyDown := len(v.listeners) == 0
	v.listeners = nil
	for _, stream := range slices.Clone(v.node.Streams()) {
		stream.Reset()
	}
	if !alreadyDown { // otherwise the end of the earlier outage restarts it
		v.env.Clock.At(until, v.listen)
	}
}

// Slow sets the slowdown factor of calls that start from now on.
func (v *Vault) Slow(factor float64) { v.slowdown = factor }

// InjectFault injects a fault until a time; it occurs with a probability per call or reply.
func (v *Vault) InjectFault(fault VaultFault, probability float64, until microtime.Time) {
	v.until[fault] = until
	v.probability[fault] = probability
}

// faultOccurs reports whether a fault occurs now, at random with its probability.
func (v *Vault) faultOccurs(fault VaultFault) bool {
	return v.env.Clock.Now() < v.until[fault] && v.rng.Float64() < v.probability[fault]
}

// end removes a call from those in flight.
func (v *Vault) end(ended *vaultCall) {
	ended.timer.Stop()
	ended.conn.open--
	delete(v.calls, ended.id)
}

// closeWhenIdle closes the connection after vaultIdleTimeout if no call is in flight.
func (c *vaultConn) closeWhenIdle() {
	c.idleTimer.Stop()
	c.idleTimer = nil
	if c.open == 0 && c.stream.IsOpen() {
		c.idleTimer = c.vault.env.Clock.In(vaultIdleTimeout, c.stream.Close)
	}
}

// EOF implements simnet.Handler.
func (c *vaultConn) EOF(stream *simnet.Stream) {
	stream.Close()
	c.Reset(stream)
}

// Reset implements simnet.Handler: the end of a connection cancels every call on it.
func (c *vaultConn) Reset(*simnet.Stream) {
	c.idleTimer.Stop()
	for _, call := range c.vault.calls {
		if call.conn == c {
			c.vault.end(call) // map order does not matter, as the calls end independently
		}
	}
}

// Received implements simnet.Handler.
func (c *vaultConn) Received(stream *simnet.Stream, in []byte) {
	c.in = append(c.in, in...)
	for stream.IsOpen() {
		command, size, err := vault.ParseCommand(c.in)
		if err != nil { // the invariant checker reports it
			stream.Close()
			c.Reset(stream)
		}
		if size == 0 {
			break
		}
		if command.Verb == vault.Ask {
			c.ask(command)
		} else if call := c.vault.calls[command.ID]; call != nil && call.conn == c {
			c.vault.end(call)
		}
		c.in = c.in[:copy(c.in, c.in[size:])]
	}
	c.closeWhenIdle()
}

// ask starts a call. A second call of the same request cancels the first.
func (c *vaultConn) ask(command vault.Command) {
	owner := c.vault
	if first := owner.calls[command.ID]; first != nil {
		owner.end(first)
		first.conn.closeWhenIdle()
	}
	call := &vaultCall{id: command.ID, conn: c, body: slices.Clone(command.Body)}
	owner.calls[call.id] = call
	c.open++
	duration := microtime.Time(float64(meanCallTime) * owner.slowdown * (0.2 + 0.8*owner.rng.ExpFloat64()))
	status := vault.Yes
	switch {
	case !owner.env.Requests.awaitsCall(call.id):
		status = vault.Pointless
		duration = 0
	case owner.faultOccurs(VaultRefuses):
		status = vault.NotNow
		duration = 0
	case owner.faultOccurs(VaultFails):
		status = vault.Failed
	case owner.faultOccurs(VaultOverruns):
		status = vault.Overdue
	case owner.faultOccurs(VaultSilent):
		return
	}
	if owner.faultOccurs(VaultShuffles) {
		duration += randomUpTo(owner.rng, maxShuffleDelay)
	}
	call.timer = owner.env.Clock.In(duration, func() { c.reply(call, status) })
}

// reply ends a call and sends its reply.
func (c *vaultConn) reply(call *vaultCall, status vault.Status) {
	owner := c.vault
	owner.end(call)
	if status == vault.Yes && !owner.env.Requests.awaitsCall(call.id) {
		status = vault.Overdue // the run has ended while the call was in flight
	}
	owner.replies++
	body := fmt.Appendf(nil, "reply %d to %016x\r\n", owner.replies, xxhash.Sum64(call.body))
	reply := vault.AppendReply(nil, call.id, status, body)
	switch {
	case owner.faultOccurs(VaultBreaks):
		c.stream.CutAfter(1 + owner.rng.IntN(len(reply)-1))
	case owner.faultOccurs(VaultStrays) && owner.rng.IntN(2) == 0:
		reply = append(reply, reply...)
	case owner.faultOccurs(VaultStrays):
		stray := vault.AppendReply(nil, fmt.Sprintf("%016x", owner.rng.Uint64()), vault.Yes, []byte("for nobody"))
		reply = append(stray, reply...)
	}
	c.stream.Write(reply)
	c.closeWhenIdle()
}
