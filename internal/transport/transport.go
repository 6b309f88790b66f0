// Package transport is the policy of the program's event loop: it guards the connections and orders a turn. It limits
// the number of connections and the bytes buffered for them, closes connections that never identify themselves, shuts
// connections down without losing the last answer, and dials again with backoff.
//
// It has no socket, goroutine, lock or clock of its own. A Driver supplies sockets and time: package sockets is the
// driver of the real program, package simnet the one of the simulation. The program behind the loop is a Handler and
// its Sessions. All methods run on the loop's goroutine unless their comment says otherwise.
//
// A turn begins with the first event that is ready, reads the clock once, and ends behind all that was ready with
// that event, as Driver.Queue orders it. What sessions write is sent at the end of the turn.
//
// The package never interprets the bytes of a protocol; a Session says when its peer is identified and when it is idle.
package transport

import (
	"time"

	"pewterline/internal/microtime"
)

// Time limits of connections that other packages may need to know.
const (
	// IdentificationTimeout is how long an accepted connection may stay unidentified: without a valid message of its
	// peer's.
	IdentificationTimeout = 1500 * microtime.Millisecond
	// EvictionGrace is how long a connection must have been quiet before it is evicted as idle: a request may be on
	// its way.
	EvictionGrace = 200 * microtime.Millisecond
	// DialTimeout bounds one attempt to dial; a Driver keeps to it.
	DialTimeout = time.Second
	// LingerTimeout is how long a connection that was shut down waits for its peer to close it.
	LingerTimeout = microtime.Second
)

const (
	// Limit of the bytes that a slow reader may leave unread: all answers that the open requests of a connection can
	// get, twice.
	maxOutgoing = 256 << 10
	// Limit of the bytes that a session may leave unconsumed: all open requests of a connection fit several times.
	maxReceived = 256 << 10
	// Capacity of an empty buffer that is kept: an ordinary request and its answer fit.
	retainedCapacity = 4 << 10
)

// Session consumes the bytes of one connection. Its methods run on the loop.
type Session interface {
	// Receive consumes what it can of the bytes read so far and returns how many that was. The slice is only lent. An
	// error is logged and closes the connection.
	Receive(in []byte) (int, error)
	// Closed reports the end of the connection; nothing is read or written any more.
	Closed()
	// Idle reports that nothing is owed to the peer, so that the connection may be evicted.
	Idle() bool
}

// Conn is what a session may do with its connection.
type Conn interface {
	// Write sends p at the end of the turn.
	Write(p []byte)
	// Close ends the connection at the end of the turn, after what was written; the peer gets all of it.
	Close()
	// Resume has Receive called again, in a later turn, with what it left.
	Resume()
	// MarkIdentified reports that the peer has sent something valid: the connection is not unidentified any more.
	MarkIdentified()
	// Remote names the peer.
	Remote() string
}

// Handler is the program behind the loop. Its methods run on the loop.
type Handler interface {
	// Accept returns the session of a new connection to the listener of that index.
	Accept(listener int, c Conn) Session
	// Turn ends a turn, in which all that was ready has been received. It returns when the next one is due.
	Turn(now microtime.Time) microtime.Time
}

// Driver is the network and the clock below a Loop. All its methods are called on the loop unless they say otherwise.
// In return it calls on the loop: Loop.Begin first, then Loop.Accept or Loop.Connected, Connection.Received and
// Connection.Ended for each connection, Loop.DialFailed for each failed attempt to dial, and Loop.TimerFired.
type Driver interface {
	// Now reads the clock. It never goes back.
	Now() microtime.Time
	// Queue runs f on the loop, behind all that is ready now. It may be called from any goroutine; an error says that
	// the loop has ended and that f will never run.
	Queue(f func()) error
	// SetTimer has Loop.TimerFired called at a time, or soon after it; a later call replaces the one before.
	// microtime.Never stops the timer.
	SetTimer(at microtime.Time)
	// Dial tries once to open a connection to d's address, for DialTimeout at most. Connected or DialFailed follows.
	Dial(d *Dial)
	// SetDatagramPeer sets the peer of SendDatagram; empty: none. On an error the one before stays.
	SetDatagramPeer(addr string) error
	// SendDatagram sends one datagram; it may be lost, as any may.
	SendDatagram(p []byte)
	// Rand returns a random number. It need not be secret.
	Rand() uint64
	// CloseListener accepts the connections that wait at the listener of that index, then closes the listener and
	// calls done on the loop: later connections are refused.
	CloseListener(listener int, done func())
	// Stop ends the loop, with all connections as they are. It may be called again, and from any goroutine.
	Stop()
}

// RawConn is one connection of a Driver.
type RawConn interface {
	// Write sends p, or keeps what the peer does not take yet. It may call Ended before it returns an error.
	Write(p []byte) error
	// Unsent counts the bytes that are kept.
	Unsent() int
	// CloseWrite half-closes the connection: the peer learns that nothing follows. While bytes are kept it does
	// nothing, and is called again. What arrives still goes to Received. It may call Ended.
	CloseWrite()
	// Close ends the connection at once; Ended is called before it returns. Bytes that have arrived unread make it a
	// reset, which discards what the peer has not read yet.
	Close()
	// Remote names the peer.
	Remote() string
}

// Options are the limits of a Loop.
type Options struct {
	// MaxConns limits the accepted connections; a further one has to evict another.
	MaxConns int
	// DedicatedLimits are limits of single listeners, by their index. Connections to these count against their own
	// limit alone, and not against MaxConns.
	DedicatedLimits map[int]int
	// MaxBuffered limits the bytes in the buffers of all connections together; 0: no limit.
	MaxBuffered int
	// Logf writes one line to the log.
	Logf func(format string, args ...any)
}
