// Package transport implements the policy of the program's event loop: it manages the connections and orders the steps
// of a turn. It limits the number of connections and the bytes buffered for them, closes connections that never
// identify themselves, shuts connections down without losing the last response, and retries dials with backoff.
//
// It has no socket, goroutine, lock or clock of its own. A Driver supplies sockets and time: package sockets is the
// driver of the real program, and package simnet that of the simulation. The program behind the loop is a Handler and
// its Sessions. All methods run on the loop's goroutine unless their comment says otherwise. A turn begins with the
// first ready event, reads the clock once, and ends after all events that were ready with the first one, as
// Driver.Queue orders it. The bytes that sessions write are sent at the end of the turn.
//
// The package never interprets the bytes of a protocol; a Session says when its peer is identified and when it is idle.
package transport

import (
	"time"

	"pewterline/internal/microtime"
)

// Time limits of connections that other packages may need to know.
const (
	// IdentificationTimeout is how long an accepted connection may stay unidentified, which means that its peer has not
	// sent a valid message.
	IdentificationTimeout = 1500 * microtime.Millisecond
	// EvictionGrace is how long a connection must have been inactive before it can be evicted as idle. Until then, a
	// request of its peer may still be in flight.
	EvictionGrace = 200 * microtime.Millisecond
	// DialTimeout is the longest time that a Driver may take for one attempt to dial.
	DialTimeout = time.Second
	// LingerTimeout is how long a connection that was shut down waits for its peer to close it.
	LingerTimeout = microtime.Second
)

const (
	// maxOutgoing is the most unsent bytes of a connection. It is twice the size of the responses to all open requests
	// of a connection.
	maxOutgoing = 256 << 10
	// maxReceived is the most bytes that a session may leave unconsumed. It is several times the size of all open
	// requests of a connection.
	maxReceived = 256 << 10
	// retainedCapacity is the largest capacity of an empty buffer that is kept for reuse. It holds an ordinary request
	// or response.
	retainedCapacity = 4 << 10
)

// Session consumes the bytes of one connection. Its methods run on the loop.
type Session interface {
	// Receive is called with all bytes received so far and not yet consumed. It consumes what it can, from the front,
	// and returns how many bytes that was. It must not retain the slice. An error is logged and closes the connection.
	Receive(in []byte) (int, error)
	// Closed is called once, at the end of the connection. No other method is called after it.
	Closed()
	// Idle reports whether no request of the peer is open, so that the connection may be evicted.
	Idle() bool
}

// Conn is a connection as its session sees it.
type Conn interface {
	// Write sends p at the end of the turn.
	Write(p []byte)
	// Close closes the connection at the end of the turn, after all written bytes are sent.
	Close()
	// Resume schedules another call of Receive, in a later turn, with the bytes that it did not consume.
	Resume()
	// MarkIdentified records that the peer has sent a valid message, so that IdentificationTimeout no longer applies.
	MarkIdentified()
	// Remote names the peer.
	Remote() string
}

// Handler is the program behind the loop. Its methods run on the loop.
type Handler interface {
	// Accept returns the session of a new connection to the listener of that index.
	Accept(listener int, c Conn) Session
	// Turn is called at the end of a turn, when all ready bytes have been received. It returns the time at which the
	// next turn is due.
	Turn(now microtime.Time) microtime.Time
}

// Driver is the network and the clock below a Loop. All its methods are called on the loop unless they say otherwise.
// It calls back on the loop: Loop.Begin first, then Loop.Accept or Loop.Connected, Connection.Received and
// Connection.Ended for each connection, Loop.DialFailed for each failed attempt to dial, and Loop.TimerFired.
type Driver interface {
	// Now reads the clock. It never goes back.
	Now() microtime.Time
	// Queue runs f on the loop, after all events that are ready now. It may be called from any goroutine. It returns an
	// error if the loop has ended; f is then never run.
	Queue(f func()) error
	// SetTimer schedules a call of Loop.TimerFired at the given time or soon after it. It replaces the previous timer.
	// microtime.Never stops the timer.
	SetTimer(at microtime.Time)
	// Dial tries once to open a connection to d's address, for DialTimeout at most. It reports the result by
	// Loop.Connected or Loop.DialFailed.
	Dial(d *Dial)
	// SetDatagramPeer sets the peer of SendDatagram; an empty address removes it. On an error the previous peer stays.
	SetDatagramPeer(addr string) error
	// SendDatagram sends one datagram, which may be lost.
	SendDatagram(p []byte)
	// Rand returns a random number. It need not be secret.
	Rand() uint64
	// CloseListener accepts the connections in a listener's queue, closes the listener, so that later connections are
	// refused, and then calls done on the loop.
	CloseListener(listener int, done func())
	// Stop ends the loop without flushing or closing connections. It may be called repeatedly, and from any goroutine.
	Stop()
}

// RawConn is one connection of a Driver.
type RawConn interface {
	// Write sends p, and buffers the part that cannot be sent yet. It may call Connection.Ended before it returns an
	// error.
	Write(p []byte) error
	// Unsent returns the number of buffered bytes.
	Unsent() int
	// CloseWrite half-closes the connection, so that the peer reads an end of file. While bytes are buffered it does
	// nothing, and must be called again later. Bytes that arrive are still passed to Connection.Received. It may call
	// Connection.Ended.
	CloseWrite()
	// Close closes the connection at once, and calls Connection.Ended before it returns. If received bytes are unread,
	// the connection is reset, and the peer loses the bytes that it has not read yet.
	Close()
	// Remote names the peer.
	Remote() string
}

// Options configure a Loop.
type Options struct {
	// MaxConns is the maximum number of accepted connections. At the limit, a further one is accepted only if another
	// can be evicted.
	MaxConns int
	// DedicatedLimits are connection limits of single listeners, by the listener's index. Connections to such a
	// listener count against its own limit only, and not against MaxConns.
	DedicatedLimits map[int]int
	// MaxBuffered limits the bytes in the buffers of all connections together; 0: no limit.
	MaxBuffered int
	// Logf writes one line to the log.
	Logf func(format string, args ...any)
}
