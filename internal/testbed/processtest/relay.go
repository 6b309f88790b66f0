package processtest

import (
	"net"
	"sync"
	"time"
)

// Relay carries connections to an address and spoils them as it is told, each direction by itself: what goes wrong on a
// network between two processes that both live.
type Relay struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	changed    *sync.Cond // of directions and closed
	directions [2]directionFaults
	open       map[net.Conn]net.Conn // accepted connections and those to the target
	closed     bool
}

// RelayDirection is a direction through a relay.
type RelayDirection int

// The directions.
const (
	Forward  RelayDirection = iota // from whoever connects
	Backward                       // from the target
)

// String returns the name of the direction.
func (d RelayDirection) String() string {
	if d == Forward {
		return "forward"
	}
	return "backward"
}

// neverCut is the cutAfter of a direction that is not to be cut.
const neverCut = -1

// directionFaults are what happens to the bytes of one direction.
type directionFaults struct {
	hold      bool          // they wait, and go on in a burst
	drop      bool          // they are lost, and the connection stays open
	delay     time.Duration // each chunk comes so much later
	bandwidth int           // bytes a second; 0: as fast as they come
	cutAfter  int           // the connection breaks after so many more bytes; neverCut: it does not
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

// Close ends the relay and all connections that it carries.
func (r *Relay) Close() {
	// Only a listener that is closed already fails to close.
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.breakOpen()
	r.changed.Broadcast()
}

// Break ends all connections that are open now.
func (r *Relay) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakOpen()
}

func (r *Relay) breakOpen() {
	for accepted, dialed := range r.open {
		closeBoth(accepted, dialed)
	}
}

// Hold has nothing pass in the directions given; Heal lets it go on in a burst.
func (r *Relay) Hold(directions ...RelayDirection) {
	r.set(func(f *directionFaults) { f.hold = true }, directions...)
}

// Drop loses all that comes, as a black hole does.
func (r *Relay) Drop(directions ...RelayDirection) {
	r.set(func(f *directionFaults) { f.drop = true }, directions...)
}

// AddLatency has all come later.
func (r *Relay) AddLatency(delay time.Duration, directions ...RelayDirection) {
	r.set(func(f *directionFaults) { f.delay = delay }, directions...)
}

// LimitBandwidth lets so many bytes a second pass.
func (r *Relay) LimitBandwidth(bandwidth int, directions ...RelayDirection) {
	r.set(func(f *directionFaults) { f.bandwidth = bandwidth }, directions...)
}

// Cut breaks the next connection that sends so many more bytes: in the middle of a message, if need be.
func (r *Relay) Cut(after int, direction RelayDirection) {
	r.set(func(f *directionFaults) { f.cutAfter = after }, direction)
}

// Heal ends all faults. What was dropped is lost.
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

// closeBoth closes both connections of a relayed one. Their peers see the end however they end.
func closeBoth(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
}
