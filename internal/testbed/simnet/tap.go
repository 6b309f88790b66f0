package simnet

import (
	"pewterline/internal/microtime"
)

// EventKind is what a tap sees.
type EventKind uint8

// The kinds of event.
const (
	Opened           EventKind = iota // a connection that Node dialled has reached Peer at Addr
	Written                           // Node has handed Bytes to the network
	Arrived                           // Bytes have reached Node's machine
	Closed                            // Node has no more of the connection; Why tells
	DatagramArrived                   // a datagram with Bytes has reached Node
	HalfClosed                        // Node sends no more, and still reads; Why tells
	ConnectAttempted                  // Node tries to connect to Addr
)

// Cause tells how an end of a connection came about.
type Cause uint8

// The ways to end.
const (
	CauseClosed Cause = iota // Node closed it
	CauseReset               // a reset came, or Node sent one
	CauseKilled              // Node's process is gone
	CauseCut                 // a fault of the network
)

// Event is one thing that a tap sees: bytes and times, and nothing else.
type Event struct {
	At          microtime.Time
	Kind        EventKind
	Conn        uint64 // the same for both ends
	Node        string
	Incarnation int // of Node
	Peer        string
	Addr        string
	Dialer      bool // Node is the one that dialled
	Cause       Cause
	Bytes       []byte // lent
}

// tap records what happened at an end of a connection, and shows it to the observer.
func (n *Net) tap(s *Stream, event Event) {
	event.At = n.world.now
	event.Conn = s.connID
	event.Node = s.node.Name
	event.Incarnation = s.incarnation
	event.Peer = s.peer.node.Name
	event.Addr = s.addr
	event.Dialer = s.dialer
	n.world.Record(event.Node, event.Bytes)
	if n.Tap != nil {
		n.Tap(event)
	}
}
