package simnet

import (
	"fmt"
	"math"
	"strings"

	"pewterline/internal/microtime"
)

// Node is a machine with one process at a time.
type Node struct {
	Name           string
	Incarnation    int // of its process, from 1 on
	MaxConnections int // connections that it can hold; one more waits to be accepted
	net            *Net
	up             bool
	streams        []*Stream // open, in no order that a map gives
	backlog        []*Stream // for room
}

// Node returns the node of a name, which is made at first.
func (n *Net) Node(name string) *Node {
	if n.nodes[name] == nil {
		n.nodes[name] = &Node{Name: name, net: n, MaxConnections: math.MaxInt}
	}
	return n.nodes[name]
}

// Boot starts the node's process anew.
func (n *Node) Boot() {
	n.up = true
	n.Incarnation++
}

// Up tells whether its process runs.
func (n *Node) Up() bool { return n.up }

// OpenConnections counts its connections.
func (n *Node) OpenConnections() int { return len(n.streams) }

// Kill ends the process. What was handed to the network still arrives, unless the machine goes with it: then peers
// hear nothing.
func (n *Node) Kill(machine bool) {
	if !n.up {
		return
	}
	n.up = false
	for a, l := range n.net.listeners {
		if l.node == n {
			delete(n.net.listeners, a) // in any order: each by itself
		}
	}
	for len(n.streams) > 0 {
		e := n.streams[len(n.streams)-1]
		e.unsent = nil // it lay in the process
		if machine {
			e.segments = nil
			e.timer.Stop()
			e.remove(CauseKilled)
			continue
		}
		e.finish(CauseKilled)
	}
	n.backlog = nil
}

// Listener is where connections and datagrams come to.
type Listener struct {
	node     *Node
	addr     string
	Accept   func(*Stream) Handler // nil Handler: the connection is closed
	Datagram func(from string, p []byte)
	host     *Host
	index    int
}

// Listen opens an address of the node's. One that is taken is an error.
func (n *Node) Listen(addr string, l Listener) (*Listener, error) {
	if n.net.listeners[addr] != nil {
		return nil, fmt.Errorf("simnet: %s: address in use", addr)
	}
	l.node, l.addr = n, addr
	n.net.listeners[addr] = &l
	return &l, nil
}

// Close closes the address; open connections go on.
func (l *Listener) Close() {
	if l.node.net.listeners[l.addr] == l {
		delete(l.node.net.listeners, l.addr)
	}
}

// Dial connects to an address; done is called once, with an end or an error. Where the handler is nil, done gives
// it by SetHandler.
func (n *Node) Dial(addr string, done func(*Stream, error)) {
	world, incarnation := n.net.world, n.Incarnation
	answer := func(d microtime.Time, e *Stream, err error) {
		world.In(d, func() {
			if !n.up || n.Incarnation != incarnation {
				if e != nil {
					e.finish(CauseKilled)
				}
				return
			}
			done(e, err)
		})
	}
	host, _, _ := strings.Cut(addr, "/")
	if n.net.Tap != nil {
		n.net.Tap(Event{
			At:          world.now,
			Kind:        ConnectAttempted,
			Node:        n.Name,
			Incarnation: n.Incarnation,
			Peer:        host,
			Addr:        addr,
			Dialer:      true,
		})
	}
	to := n.net.nodes[host]
	if to == nil { // nobody holds this address
		answer(dialTimeout, nil, ErrTimeout)
		return
	}
	path := n.net.Path(n.Name, host)
	if path.LostUntil > world.now || path.StalledUntil > world.now+dialTimeout {
		answer(dialTimeout, nil, ErrTimeout)
		return
	}
	world.At(max(world.now, path.StalledUntil)+n.net.delay(path), func() {
		listener := n.net.listeners[addr]
		if listener == nil || !to.up {
			answer(path.Latency, nil, ErrRefused)
			return
		}
		if !n.up || n.Incarnation != incarnation {
			return
		}
		ours, theirs := n.connect(to, addr, path)
		n.addStream(ours)
		n.net.tap(ours, Event{Kind: Opened})
		if len(to.streams) >= to.MaxConnections { // it is held in the backlog, as a full table of descriptors does
			theirs.inBacklog = true
			to.backlog = append(to.backlog, theirs)
		} else {
			to.accept(listener, theirs)
		}
		answer(path.Latency, ours, nil)
	})
}

func (n *Node) addStream(e *Stream) {
	e.index = len(n.streams)
	n.streams = append(n.streams, e)
}

// accept accepts a connection.
func (n *Node) accept(listener *Listener, stream *Stream) {
	n.addStream(stream)
	if stream.inBacklog { // only now it is accepted, with what has come before
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

// acceptBacklog accepts what waits, as far as there is room now.
func (n *Node) acceptBacklog() {
	for len(n.backlog) > 0 && len(n.streams) < n.MaxConnections && n.up {
		e := n.backlog[0]
		n.backlog = n.backlog[1:]
		l := n.net.listeners[e.addr]
		if !e.open || l == nil {
			e.Reset()
			continue
		}
		n.accept(l, e)
		if e.host == nil {
			e.read()
		}
	}
}

// SetMaxConnections bounds the node's connections from now on.
func (n *Node) SetMaxConnections(most int) {
	n.MaxConnections = most
	n.acceptBacklog()
}

// Streams are the node's open connections, those that it dialled or that came to it.
func (n *Node) Streams() []*Stream { return n.streams }

// connect makes both ends of a connection to another node.
func (n *Node) connect(to *Node, addr string, path *Path) (ours, theirs *Stream) {
	n.net.lastConnID++
	stream := Stream{connID: n.net.lastConnID, addr: addr, path: path, bytesUntilCut: never, open: true}
	near, far := stream, stream
	near.node, near.incarnation, near.dialer = n, n.Incarnation, true
	far.node, far.incarnation = to, to.Incarnation
	near.peer, far.peer = &far, &near
	return &near, &far
}

// SendDatagram sends a datagram to an address.
func (n *Node) SendDatagram(addr string, payload []byte) {
	host, _, _ := strings.Cut(addr, "/")
	net, path := n.net, n.net.Path(n.Name, host)
	times := 1
	if path.Duplicate > 0 && net.world.rng.Float64() < path.Duplicate {
		times = 2
	}
	if path.Loss > 0 && net.world.rng.Float64() < path.Loss || path.LostUntil > net.world.now {
		times = 0
	}
	for range times {
		data := append([]byte(nil), payload...)
		net.world.At(max(net.world.now, path.StalledUntil)+net.delay(path), func() {
			listener := net.listeners[addr]
			if listener == nil || !listener.node.up || listener.Datagram == nil {
				return
			}
			net.world.Record(listener.node.Name, data)
			if net.Tap != nil {
				net.Tap(Event{
					At:          net.world.now,
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
