package invariant

import (
	"fmt"
	"strings"

	"pewterline/internal/testbed/simnet"
)

const (
	// poolPrefix begins the names of worker pools' nodes; the rest is the rest of the server's name.
	poolPrefix = 'w'
	// vaultPrefix begins the name of the vault's node.
	vaultPrefix = 'v'
	// strangerPrefix begins the names of nodes that are no part of the deployment.
	strangerPrefix = 'x'
	serverPrefix   = "s"
)

// Tap takes what happens on the network.
func (o *Observer) Tap(event simnet.Event) {
	switch event.Kind {
	case simnet.Opened:
		o.connOpened(event)
	case simnet.ConnectAttempted:
		o.connectAttempted(event)
	case simnet.DatagramArrived: // no rule is about load reports and gossip
	case simnet.Written, simnet.Arrived, simnet.Closed, simnet.HalfClosed:
		o.connEvent(event)
	}
}

// connectAttempted notes that a server tries to reach its worker pool.
func (o *Observer) connectAttempted(event simnet.Event) {
	if server := o.servers[event.Node]; server != nil && event.Peer[0] == poolPrefix {
		server.lastDialAt = event.At
	}
	if o.servers[event.Peer] == nil && event.Peer[0] == strangerPrefix {
		o.SituationCounts["tried nobody"]++
	}
}

// connOpened takes a connection that has reached its peer.
func (o *Observer) connOpened(event simnet.Event) {
	host, port, _ := strings.Cut(event.Addr, "/")
	conn := &connState{
		server:            o.servers[host],
		address:           event.Addr,
		caller:            event.Node,
		callerIncarnation: event.Incarnation,
	}
	switch {
	case host[0] == poolPrefix:
		conn.kind = poolConn
		conn.server = o.servers[serverPrefix+host[1:]]
	case host[0] == vaultPrefix:
		conn.kind = vaultConn
		conn.server = o.servers[event.Node]
	case port == "thrift":
		conn.kind = thriftConn
		conn.openRequests = map[int32]*requestState{}
	case port == "ajp":
		conn.kind = ajpConn
	}
	if conn.server == nil {
		conn.kind = ignoredConn
	}
	if conn.kind == poolConn {
		conn.server.openLinks++
		o.noteSituation(conn.server, "link up")
	}
	o.conns[event.Conn] = conn
}

// connEvent takes what happens on a connection that was opened before.
func (o *Observer) connEvent(event simnet.Event) {
	conn := o.conns[event.Conn]
	if conn == nil {
		return
	}
	switch conn.kind {
	case ignoredConn:
	case poolConn:
		o.poolConnEvent(conn, event)
	case vaultConn:
		if event.Kind == simnet.Closed {
			o.vaultConnEnded(conn, event)
		} else {
			o.vaultBytes(conn, event)
		}
	case thriftConn, ajpConn:
		o.callerConnEvent(conn, event)
	}
}

// poolConnEvent takes what happens on a server's connection to its worker pool. The pool's end counts: what it
// writes is what it has done, and what reaches it is what it has been told.
func (o *Observer) poolConnEvent(conn *connState, event simnet.Event) {
	switch {
	case event.Kind == simnet.Closed:
		o.poolConnEnded(conn, event)
	case event.Kind == simnet.HalfClosed && event.Dialer:
		conn.callerLeft = true
	case event.Kind == simnet.Arrived && event.Dialer:
		o.noticesReceived(conn, event.Bytes)
	case event.Kind == simnet.Arrived:
		o.parseStream(conn, event.Bytes, true)
	case event.Kind == simnet.Written && !event.Dialer:
		o.parseStream(conn, event.Bytes, false)
	}
}

// callerConnEvent takes what happens on a caller's connection. The server's end counts.
func (o *Observer) callerConnEvent(conn *connState, event simnet.Event) {
	switch {
	case event.Kind == simnet.Closed:
		o.callerConnEnded(conn, event)
	case event.Kind == simnet.HalfClosed && (event.Dialer || event.Cause == simnet.CauseCut):
		conn.callerLeft = true // who sends no more has left, as far as the server can tell
	case event.Kind == simnet.HalfClosed:
		// A server that sends no more answers nothing, and takes nothing that comes later.
		o.callerConnEnded(conn, event)
		conn.broken = true
	case event.Kind == simnet.Arrived && !event.Dialer:
		o.parseStream(conn, event.Bytes, true)
	case event.Kind == simnet.Written && !event.Dialer:
		o.parseStream(conn, event.Bytes, false)
	}
}

// poolConnEnded takes the end of a connection to a worker pool.
func (o *Observer) poolConnEnded(conn *connState, event simnet.Event) {
	if !event.Dialer {
		return
	}
	server := conn.server
	if event.Cause == simnet.CauseCut && len(conn.fromPool) > 0 {
		o.noteSituation(server, "link broke inside a notice")
	}
	if server.openLinks > 0 {
		server.openLinks--
		o.noteSituation(server, fmt.Sprintf("link down run%d", orderOfMagnitude(server.running)))
	}
}

// callerConnEnded takes the end of a caller's connection.
func (o *Observer) callerConnEnded(conn *connState, event simnet.Event) {
	if !event.Dialer {
		for _, request := range conn.server.open {
			if request.conn == conn {
				o.noteEndKnown(request)
			}
		}
	}
	if event.Dialer || event.Cause == simnet.CauseCut || event.Cause == simnet.CauseReset {
		o.callerLeft(conn)
		return
	}
	if event.Cause == simnet.CauseKilled { // ServerStopped judges what is owed then
		return
	}
	o.judgeConnClosed(conn)
}

// callerLeft notes that a caller has left, or the network has cut it off.
func (o *Observer) callerLeft(conn *connState) {
	conn.callerLeft = true
	owed := 0
	for _, request := range conn.server.open {
		if request.conn == conn && request.answers == 0 && !request.cancelled {
			owed++
		}
	}
	o.noteSituation(conn.server,
		fmt.Sprintf("caller left open%d drain%d", orderOfMagnitude(owed), o.drainPhase(conn.server)))
}

// parseStream takes bytes to the server's side of the protocol (up), or from it.
func (o *Observer) parseStream(conn *connState, received []byte, up bool) {
	if conn.broken {
		return
	}
	pending := &conn.pendingOut
	if up {
		pending = &conn.pendingIn
	}
	in := received
	if len(*pending) > 0 {
		*pending = append(*pending, received...)
		in = *pending
	}
	parsed := 0
	for !conn.broken {
		size := o.parseMessage(conn, in[parsed:], up)
		if size == 0 {
			break
		}
		parsed += size
	}
	rest := in[parsed:]
	if len(*pending) > 0 {
		*pending = (*pending)[:copy(*pending, rest)]
	} else {
		*pending = append((*pending)[:0], rest...)
	}
}

// parseMessage takes one message off the bytes and returns its size; 0 where it is not whole.
func (o *Observer) parseMessage(conn *connState, in []byte, up bool) int {
	switch {
	case conn.kind == poolConn && up:
		return o.parsePoolCommand(conn, in)
	case conn.kind == poolConn:
		return o.parsePoolMessage(conn, in)
	case conn.kind == vaultConn && up:
		return o.parseVaultCommand(conn, in)
	case conn.kind == vaultConn:
		return o.parseVaultReply(conn, in)
	case conn.kind == thriftConn && up:
		return o.parseThriftCall(conn, in)
	case conn.kind == thriftConn:
		return o.parseThriftReply(conn, in)
	default:
		return o.parseAJP(conn, in, up)
	}
}
