package simnet

import (
	"fmt"
	"math"
	"strings"

	"pewterline/internal/microtime"
)

// Node is a machine that runs at most one process at a time.
type Node struct {
	Name           string
	Incarnation    int // of the current or last process; 1 for the first process
	MaxConnections int // limit of open connections; further ones wait in the backlog
	net            *Net
	up             bool      // its process runs
	streams        []*Stream // ends of open connections; a slice, as the order of a map would not be deterministic
	backlog        []*Stream // connections that wait to be accepted
}

// Node returns the node with the given name, and creates the node if there is none.
func (n *Net) Node(name string) *Node {
	if n.nodes[name] == nil {
		n.nodes[name] = &Node{Name: name, net: n, MaxConnections: math.MaxInt}
	}
	return n.nodes[name]
}

// Boot starts a new process on the node.
func (n *Node) Boot() {
	n.up = true
	n.Incarnation++
}

// Up reports whether the node's process runs.
func (n *Node) Up() bool { return n.up }

// OpenConnections returns the number of the node's open connections.
func (n *Node) OpenConnections() int { return len(n.streams) }

// Kill kills the process. Bytes that the network already carries still arrive, and peers see an end of stream or a
// reset. With withMachine the machine is lost too: bytes in flight are lost, and peers are not notified.
func (n *Node) Kill(withMachine bool) {
	if !n.up {
		return
	}
	n.up = false
	for addr, listener := range n.net.listeners {
		if listener.node == n {
			delete(n.net.listeners, addr) // the order of the map has no effect on the result
		}
	}
	for len(n.streams) > 0 {
		stream := n.streams[len(n.streams)-1]
		stream.unsent = nil // the data was buffered in the process
		if withMachine {
			stream.segments = nil
			stream.timer.Stop()
			stream.remove(CauseKilled)
			continue
		}
		stream.finish(CauseKilled)
	}
	n.backlog = nil
}

// Listener receives the connections and datagrams that are sent to an address.
type Listener struct {
	node     *Node
	addr     string
	Accept   func(*Stream) Handler // if the returned Handler is nil, the connection is closed
	Datagram func(from string, p []byte)
	host     *Host // if not nil, accepts connections in place of Accept
	index    int   // the listener's index in the host's program
}

// Listen opens an address on the node. It fails if the address is in use.
func (n *Node) Listen(addr string, listener Listener) (*Listener, error) {
	if n.net.listeners[addr] != nil {
		return nil, fmt.Errorf("simnet: %s: address in use", addr)
	}
	listener.node, listener.addr = n, addr
	n.net.listeners[addr] = &listener
	return &listener, nil
}

// Close closes the address. Open connections stay open.
func (l *Listener) Close() {
	if l.node.net.listeners[l.addr] == l {
		delete(l.node.net.listeners, l.addr)
	}
}

// Dial connects to an address. It calls done once, with the new stream or an error, unless the node's process ends
// before the result is known. If done gets a stream, it sets the stream's handler with SetHandler.
func (n *Node) Dial(addr string, done func(*Stream, error)) {
	clock, incarnation := n.net.clock, n.Incarnation
	finish := func(delay microtime.Time, stream *Stream, err error) {
		clock.In(delay, func() {
			if !n.up || n.Incarnation != incarnation {
				if stream != nil {
					stream.finish(CauseKilled)
				}
				return
			}
			done(stream, err)
		})
	}
	host, _, _ := strings.Cut(addr, "/")
	if n.net.Tap != nil {
		n.net.Tap(Event{
			At:          clock.now,
			Kind:        ConnectAttempted,
			Node:        n.Name,
			Incarnation: n.Incarnation,
			Peer:        host,
			Addr:        addr,
			Dialer:      true,
		})
	}
	to := n.net.nodes[host]
	if to == nil { // no machine has this address
		finish(dialTimeout, nil, ErrTimeout)
		return
	}
	path := n.net.Path(n.Name, host)
	if path.LostUntil > clock.now || path.StalledUntil > clock.now+dialTimeout {
		finish(dialTimeout, nil, ErrTimeout)
		return
	}
	clock.At(max(clock.now, path.StalledUntil)+n.net.delay(path), func() {
		listener := n.net.listeners[addr]
		if listener == nil || !to.up {
			finish(path.Latency, nil, ErrRefused)
			return
		}
		if !n.up || n.Incarnation != incarnation {
			return
		}
		near, far := n.connect(to, addr, path)
		n.addStream(near)
		n.net.tap(near, Event{Kind: Opened})
		if len(to.streams) >= to.MaxConnections { // as in a kernel, the connection waits in the backlog
			far.inBacklog = true
			to.backlog = append(to.backlog, far)
		} else {
			to.accept(listener, far)
		}
		finish(path.Latency, near, nil)
	})
}

func (n *Node) addStream(stream *Stream) {
	stream.index = len(n.streams)
	n.streams = append(n.streams, stream)
}

// accept passes a new connection to the listener's host, or to its function Accept.
func (n *Node) accept(listener *Listener, stream *Stream) {
	n.addStream(stream)
	if stream.inBacklog { // bytes that arrived in the backlog are reported only now
		stream.inBacklog = false
		if len(stream.unread) > 0 {
			n.net.tap(stream, Event{Kind: Arrived, Bytes: stream.unread})
		}
	}
	if listener.host != nil {
		listener.host.accept(listener, stream)
		return
	}
	if stream.handler = listener.Accept(stream); stream.handler == nil {
		stream.Close()
	}
}

// acceptBacklog accepts connections from the backlog while the limit of open connections allows.
func (n *Node) acceptBacklog() {
	for len(n.backlog) > 0 && len(n.streams) < n.MaxConnections && n.up {
		stream := n.backlog[0]
		n.backlog = n.backlog[1:]
		listener := n.net.listeners[stream.addr]
		if !stream.open || listener == nil {
			stream.Reset()
			continue
		}
		n.accept(listener, stream)
		if stream.host == nil {
			stream.read()
		}
	}
}

// SetMaxConnections changes the limit of open connections. Connections above the new limit stay open.
func (n *Node) SetMaxConnections(limit int) {
	n.MaxConnections = limit
	n.acceptBacklog()
}

// Streams returns the node's ends of its open connections, both dialled and accepted ones.
func (n *Node) Streams() []*Stream { return n.streams }

// connect creates both ends of a connection to another node.
func (n *Node) connect(to *Node, addr string, path *Path) (near, far *Stream) {
	n.net.lastConnID++
	stream := Stream{connID: n.net.lastConnID, addr: addr, path: path, bytesUntilCut: noCut, open: true}
	dialled, accepted := stream, stream
	dialled.node, dialled.incarnation, dialled.dialer = n, n.Incarnation, true
	accepted.node, accepted.incarnation = to, to.Incarnation
	dialled.peer, accepted.peer = &accepted, &dialled
	return &dialled, &accepted
}

// SendDatagram sends a datagram to an address.
func (n *Node) SendDatagram(addr string, payload []byte) {
	host, _, _ := strings.Cut(addr, "/")
	net, path := n.net, n.net.Path(n.Name, host)
	copies := 1
	if path.Duplicate > 0 && net.clock.rng.Float64() < path.Duplicate {
		copies = 2
	}
	if path.Loss > 0 && net.clock.rng.Float64() < path.Loss || path.LostUntil > net.clock.now {
		copies = 0
	}
	for range copies {
		data := append([]byte(nil), payload...)
		net.clock.At(max(net.clock.now, path.StalledUntil)+net.delay(path), func() {
			listener := net.listeners[addr]
			if listener == nil || !listener.node.up || listener.Datagram == nil {
				return
			}
			net.clock.Record(listener.node.Name, data)
			if net.Tap != nil {
				net.Tap(Event{
					At:          net.clock.now,
					Kind:        DatagramArrived,
					Node:        listener.node.Name,
					Incarnation: listener.node.Incarnation,
					Peer:        n.Name,
					Addr:        addr,
					Bytes:       data,
				})
			}
			listener.Datagram(n.Name, data)
		})
	}
}
