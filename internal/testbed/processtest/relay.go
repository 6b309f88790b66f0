package processtest

import (
	"net"
	"sync"
	"time"
)

// Relay forwards connections to an address and injects network faults into each direction separately.
type Relay struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	changed    *sync.Cond // signals a change of directions or closed
	directions [2]directionFaults
	open       map[net.Conn]net.Conn // accepted connections, each with its connection to the target
	closed     bool
}

// RelayDirection is a direction of data through a relay.
type RelayDirection int

// The directions, as seen from the relay's clients.
const (
	Forward  RelayDirection = iota // from the client to the target
	Backward                       // from the target to the client
)

// String returns the name of the direction.
func (d RelayDirection) String() string {
	if d == Forward {
		return "forward"
	}
	return "backward"
}

// neverCut is the value of cutAfter in a direction that is not cut.
const neverCut = -1

// directionFaults are the faults injected into one direction.
type directionFaults struct {
	hold      bool          // data is held back, and forwarded all at once later
	drop      bool          // data is discarded, and the connection stays open
	delay     time.Duration // added to each chunk
	bandwidth int           // bytes a second; 0: unlimited
	cutAfter  int           // bytes until the connection is closed; neverCut: it is not
}

// NewRelay opens a relay to an address. Close ends its goroutines.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, open: map[net.Conn]net.Conn{}}
	r.changed = sync.NewCond(&r.mu)
	r.directions[Forward].cutAfter = neverCut
	r.directions[Backward].cutAfter = neverCut
	// The relay owns this goroutine; Close ends it.
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close closes the relay and all connections through it.
func (r *Relay) Close() {
	// A failure needs no handling: it means that the listener is closed already.
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.closeOpen()
	r.changed.Broadcast()
}

// CloseConnections closes all connections that are open now.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeOpen()
}

func (r *Relay) closeOpen() {
	for accepted, dialed := range r.open {
		closeBoth(accepted, dialed)
	}
}

// Hold holds back all data in the given directions. Heal forwards it all at once.
func (r *Relay) Hold(directions ...RelayDirection) {
	r.set(func(f *directionFaults) { f.hold = true }, directions...)
}

// Drop discards all data in the given directions while the connections stay open.
func (r *Relay) Drop(directions ...RelayDirection) {
	r.set(func(f *directionFaults) { f.drop = true }, directions...)
}

// AddLatency delays all data in the given directions.
func (r *Relay) AddLatency(delay time.Duration, directions ...RelayDirection) {
	r.set(func(f *directionFaults) { f.delay = delay }, directions...)
}

// LimitBandwidth limits the given directions to a bandwidth in bytes a second.
func (r *Relay) LimitBandwidth(bandwidth int, directions ...RelayDirection) {
	r.set(func(f *directionFaults) { f.bandwidth = bandwidth }, directions...)
}

// Cut closes a connection once the given number of bytes has passed in a direction, even in the middle of a message. It
// counts the bytes of all connections together, and takes effect once.
func (r *Relay) Cut(after int, direction RelayDirection) {
	r.set(func(f *directionFaults) { f.cutAfter = after }, direction)
}

// Heal ends all faults. Data that was dropped stays lost.
func (r *Relay) Heal() {
	r.set(func(f *directionFaults) { *f = directionFaults{cutAfter: neverCut} }, Forward, Backward)
}

func (r *Relay) set(change func(*directionFaults), directions ...RelayDirection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, direction := range directions {
		change(&r.directions[direction])
	}
	r.changed.Broadcast()
}

// closeBoth closes both connections of a relayed one. Failures need no handling: the peers detect the end of the
// connections.
func closeBoth(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
}
