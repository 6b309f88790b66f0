package invariant

import (
	"fmt"
	"strings"

	"pewterline/internal/testbed/simnet"
)

const (
	// poolPrefix begins the name of a worker pool's node; the rest of the name is that of its server after serverPrefix.
	poolPrefix = 'w'
	// vaultPrefix begins the name of the vault's node.
	vaultPrefix = 'v'
	// externalPrefix begins the names of nodes that are not part of the deployment.
	externalPrefix = 'x'
	serverPrefix   = "s"
)

// Tap processes a network event.
func (o *Observer) Tap(event simnet.Event) {
	switch event.Kind {
	case simnet.Opened:
		o.connOpened(event)
	case simnet.ConnectAttempted:
		o.connectAttempted(event)
	case simnet.DatagramArrived: // no rule covers load reports and gossip
	case simnet.Written, simnet.Arrived, simnet.Closed, simnet.HalfClosed:
		o.connEvent(event)
	}
}

// connectAttempted records a server's attempt to connect to its worker pool.
func (o *Observer) connectAttempted(event simnet.Event) {
	if server := o.servers[event.Node]; server != nil && event.Peer[0] == poolPrefix {
		server.lastDialAt = event.At
	}
	if o.servers[event.Peer] == nil && event.Peer[0] == externalPrefix {
		o.SituationCounts["tried nobody"]++
	}
}

// connOpened starts to track a connection that has reached its peer.
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
		conn.server.openPoolConns++
		o.noteSituation(conn.server, "link up")
	}
	o.conns[event.Conn] = conn
}

// connEvent dispatches an event on a tracked connection by the kind of the connection.
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

// poolConnEvent handles an event on a server's connection to its worker pool. Commands and messages are parsed at the
// pool's end, as the pool acts on the commands that reach it and reports what it has done when it writes.
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

// callerConnEvent handles an event on a caller's connection. Its bytes are parsed at the server's end.
func (o *Observer) callerConnEvent(conn *connState, event simnet.Event) {
	switch {
	case event.Kind == simnet.Closed:
		o.callerConnEnded(conn, event)
	case event.Kind == simnet.HalfClosed && (event.Dialer || event.Cause == simnet.CauseCut):
		conn.callerLeft = true // a caller that has closed its sending side has left, as far as the server can tell
	case event.Kind == simnet.HalfClosed:
		// After closing its sending side, a server can answer nothing and processes no later request.
		o.callerConnEnded(conn, event)
		conn.broken = true
	case event.Kind == simnet.Arrived && !event.Dialer:
		o.parseStream(conn, event.Bytes, true)
	case event.Kind == simnet.Written && !event.Dialer:
		o.parseStream(conn, event.Bytes, false)
	}
}

// poolConnEnded handles the end of a server's connection to its worker pool.
func (o *Observer) poolConnEnded(conn *connState, event simnet.Event) {
	if !event.Dialer {
		return
	}
	server := conn.server
	if event.Cause == simnet.CauseCut && len(conn.fromPool) > 0 {
		o.noteSituation(server, "link broke inside a notice")
	}
	if server.openPoolConns > 0 {
		server.openPoolConns--
		o.noteSituation(server, fmt.Sprintf("link down run%d", countGroup(server.running)))
	}
}

// callerConnEnded handles the end of a caller's connection.
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
	if event.Cause == simnet.CauseKilled { // ServerStopped handles the unanswered requests then
		return
	}
	o.checkConnClosed(conn)
}

// callerLeft records that a caller has disconnected, or that the network has cut its connection.
func (o *Observer) callerLeft(conn *connState) {
	conn.callerLeft = true
	owed := 0
	for _, request := range conn.server.open {
		if request.conn == conn && request.answers == 0 && !request.cancelled {
			owed++
		}
	}
	o.noteSituation(conn.server,
		fmt.Sprintf("caller left open%d drain%d", countGroup(owed), o.drainPhase(conn.server)))
}

// parseStream parses bytes of a connection, to its listening side (toListener) or to its dialling side, and keeps an
// incomplete message for the next call.
func (o *Observer) parseStream(conn *connState, received []byte, toListener bool) {
	if conn.broken {
		return
	}
	pending := &conn.pendingToDialer
	if toListener {
		pending = &conn.pendingToListener
	}
	in := received
	if len(*pending) > 0 {
		*pending = append(*pending, received...)
		in = *pending
	}
	parsed := 0
	for !conn.broken {
		size := o.parseMessage(conn, in[parsed:], toListener)
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

// parseMessage parses one message and returns its size; 0 if it is incomplete.
func (o *Observer) parseMessage(conn *connState, in []byte, toListener bool) int {
	switch {
	case conn.kind == poolConn && toListener:
		return o.parsePoolCommand(conn, in)
	case conn.kind == poolConn:
		return o.parsePoolMessage(conn, in)
	case conn.kind == vaultConn && toListener:
		return o.parseVaultCommand(conn, in)
	case conn.kind == vaultConn:
		return o.parseVaultReply(conn, in)
	case conn.kind == thriftConn && toListener:
		return o.parseThriftCall(conn, in)
	case conn.kind == thriftConn:
		return o.parseThriftReply(conn, in)
	default:
		return o.parseAJP(conn, in, toListener)
	}
}
