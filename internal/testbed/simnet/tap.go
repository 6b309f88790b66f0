package simnet

import (
	"pewterline/internal/microtime"
)

// EventKind is the type of an event that Net.Tap observes.
type EventKind uint8

// The kinds of event.
const (
	Opened           EventKind = iota // a connection that Node dialled has reached Peer at Addr
	Written                           // Node wrote Bytes to the connection
	Arrived                           // Bytes have reached Node's machine
	Closed                            // Node's end of the connection is closed, for the reason in Cause
	DatagramArrived                   // a datagram with Bytes has reached Node
	HalfClosed                        // Node's end sends no more but still reads, for the reason in Cause
	ConnectAttempted                  // Node tries to connect to Addr
)

// Cause is the reason why an end of a connection was closed or half closed.
type Cause uint8

// The causes.
const (
	CauseClosed Cause = iota // Node closed it
	CauseReset               // Node received or sent a reset
	CauseKilled              // Node's process was killed
	CauseCut                 // an injected network fault
)

// Event is an observation on the network: a time, a connection and its bytes.
type Event struct {
	At          microtime.Time
	Kind        EventKind
	Conn        uint64 // the connection's number, the same at both ends
	Node        string
	Incarnation int // of Node's process
	Peer        string
	Addr        string
	Dialer      bool // Node dialled the connection
	Cause       Cause
	Bytes       []byte // valid during the call of Tap only
}

// tap adds an event at one end of a connection to the digest and passes it to Tap.
func (n *Net) tap(s *Stream, event Event) {
	event.At = n.clock.now
	event.Conn = s.connID
	event.Node = s.node.Name
	event.Incarnation = s.incarnation
	event.Peer = s.peer.node.Name
	event.Addr = s.addr
	event.Dialer = s.dialer
	n.clock.Record(event.Node, event.Bytes)
	if n.Tap != nil {
		n.Tap(event)
	}
}
