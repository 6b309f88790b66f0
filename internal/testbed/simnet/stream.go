package simnet

import (
	"pewterline/internal/microtime"
)

// noCut is the value of bytesUntilCut when no cut is scheduled.
const noCut = -1

// Handler receives the events of one end of a stream.
type Handler interface {
	Received(stream *Stream, p []byte) // p is valid during the call only
	EOF(stream *Stream)                // the peer sends no more
	Reset(stream *Stream)              // the connection was reset
}

// segment is a part of a stream in flight: bytes, the end of the stream (fin), or a reset of the connection.
type segment struct {
	at         microtime.Time // of arrival
	data       []byte
	fin, reset bool
}

// Stream is one end of a connection.
type Stream struct {
	node          *Node
	incarnation   int
	peer          *Stream
	connID        uint64
	addr          string // the address that was dialled
	dialer        bool   // this end dialled
	handler       Handler
	host          *hostConn // receives the events instead of handler; nil: the node runs no Host
	index         int       // in node.streams
	path          *Path
	unsent        []byte // written, but beyond the send window
	inFlight      int    // bytes in flight or unread at the peer
	segments      []segment
	timer         *Timer         // of the first segment's arrival
	lastArrival   microtime.Time // of the last segment
	bytesUntilCut int            // bytes still to be sent before the network cuts the connection, or noCut
	writeClosed   bool           // this end sends no more
	open          bool
	unread        []byte // arrived, but not read
	eofArrived    bool   // the end of the stream follows the unread bytes
	wasReset      bool
	readPaused    bool // see PauseReading
	inBacklog     bool // waits in its node's backlog
}

// ConnID returns the connection's number, which is the same at both ends.
func (s *Stream) ConnID() uint64 { return s.connID }

// Node returns the name of the node of this end.
func (s *Stream) Node() string { return s.node.Name }

// Peer returns the name of the node of the other end.
func (s *Stream) Peer() string { return s.peer.node.Name }

// Addr returns the address that was dialled.
func (s *Stream) Addr() string { return s.addr }

// IsOpen reports whether this end is open.
func (s *Stream) IsOpen() bool { return s.open }

// SetHandler sets the handler of this end and delivers the bytes that have already arrived.
func (s *Stream) SetHandler(handler Handler) {
	s.handler = handler
	s.read()
}

// Write sends p. Bytes beyond the send window are buffered until the peer has read earlier ones.
func (s *Stream) Write(p []byte) {
	if s.node.net.Intercept != nil {
		p = s.node.net.Intercept(s, p)
	}
	if !s.open || s.writeClosed || len(p) == 0 {
		return
	}
	s.node.net.tap(s, Event{Kind: Written, Bytes: p})
	s.unsent = append(s.unsent, p...)
	s.sendBuffered()
}

// Unsent returns the number of buffered bytes that have not been sent.
func (s *Stream) Unsent() int { return len(s.unsent) }

// sendBuffered sends as many buffered bytes as the send window allows, and the end of the stream after the last one.
func (s *Stream) sendBuffered() {
	for len(s.unsent) > 0 && s.inFlight < sendWindow {
		n := min(maxSegment, sendWindow-s.inFlight, len(s.unsent))
		if s.bytesUntilCut >= 0 {
			n = min(n, s.bytesUntilCut)
		}
		s.inFlight += n
		s.send(segment{data: append([]byte(nil), s.unsent[:n]...)})
		s.unsent = s.unsent[:copy(s.unsent, s.unsent[n:])]
		if s.bytesUntilCut >= 0 {
			if s.bytesUntilCut -= n; s.bytesUntilCut == 0 { // the bytes before the cut arrive, then both ends are reset
				s.bytesUntilCut, s.unsent = noCut, nil
				s.send(segment{reset: true})
				return
			}
		}
	}
	if len(s.unsent) == 0 && s.writeClosed {
		s.send(segment{fin: true})
	}
}

// send schedules a segment's arrival after all earlier ones.
func (s *Stream) send(seg segment) {
	net := s.node.net
	seg.at = max(net.clock.now+net.delay(s.path), s.lastArrival)
	if bandwidth := s.path.Bandwidth; bandwidth > 0 {
		seg.at += microtime.Time(len(seg.data)) * microtime.Second / microtime.Time(bandwidth)
	}
	s.lastArrival = seg.at
	s.segments = append(s.segments, seg)
	if len(s.segments) == 1 {
		s.armTimer()
	}
}

func (s *Stream) armTimer() {
	s.timer.Stop()
	s.timer = s.node.net.clock.At(max(s.segments[0].at, s.path.StalledUntil), s.arrive)
}

// arrive delivers the segments that are due to the peer.
func (s *Stream) arrive() {
	clock := s.node.net.clock
	for len(s.segments) > 0 && max(s.segments[0].at, s.path.StalledUntil) <= clock.now {
		seg := s.segments[0]
		s.segments = s.segments[1:]
		s.peer.receive(seg)
	}
	if len(s.segments) > 0 {
		s.armTimer()
	} else {
		s.segments = nil
	}
}

func (s *Stream) receive(seg segment) {
	switch {
	case seg.reset:
		s.abort(CauseCut)
		s.peer.abort(CauseCut)
		return
	case !s.open:
		if len(seg.data) > 0 && s.node.up { // nothing reads the data; a machine that is down sends no reset
			s.peer.Reset()
		}
		return
	case seg.fin:
		s.eofArrived = true
	default:
		if !s.inBacklog {
			s.node.net.tap(s, Event{Kind: Arrived, Bytes: seg.data})
		}
		s.unread = append(s.unread, seg.data...)
	}
	s.read()
}

// PauseReading stops or resumes reading at this end, to simulate a slow reader.
func (s *Stream) PauseReading(paused bool) {
	s.readPaused = paused
	s.read()
}

// read passes the bytes that have arrived, and then the end of the stream, to the host or the handler.
func (s *Stream) read() {
	if s.host != nil {
		s.host.markReady()
		return
	}
	if s.handler == nil || s.readPaused || !s.open {
		return
	}
	if n := len(s.unread); n > 0 {
		p := s.unread
		s.unread = nil
		s.handler.Received(s, p)
		s.consumed(n)
		if s.unread == nil && s.open {
			s.unread = p[:0]
		}
	}
	if s.eofArrived && s.open && len(s.unread) == 0 {
		s.eofArrived = false
		s.handler.EOF(s)
	}
}

// consumed frees n bytes of the peer's send window after they were read.
func (s *Stream) consumed(n int) {
	s.peer.inFlight -= n
	if s.peer.open || s.peer.writeClosed {
		s.peer.resumeSending()
	}
}

// resumeSending sends buffered bytes, if any. Without any, sendBuffered would send the end of the stream a second time.
func (s *Stream) resumeSending() {
	if len(s.unsent) > 0 {
		s.sendBuffered()
	}
}

// CutAfter makes the network reset the connection after n more bytes from this end; 0: at once.
func (s *Stream) CutAfter(n int) {
	if n <= 0 {
		s.abort(CauseCut)
		s.peer.abort(CauseCut)
		return
	}
	s.bytesUntilCut = n
}

// Close closes this end. As in TCP, it resets the connection if this end has unread bytes.
func (s *Stream) Close() { s.finish(CauseClosed) }

// CloseWrite ends the stream in the direction from this end, which can still read.
func (s *Stream) CloseWrite() { s.halfClose(CauseClosed) }

// CutWrite is CloseWrite as a network fault, of which this end's program is not notified.
func (s *Stream) CutWrite() { s.halfClose(CauseCut) }

func (s *Stream) halfClose(cause Cause) {
	if s.open && !s.writeClosed {
		s.writeClosed = true
		s.node.net.tap(s, Event{Kind: HalfClosed, Cause: cause})
		if len(s.unsent) == 0 {
			s.send(segment{fin: true})
		}
	}
}

// finish closes this end, with a reset if it has unread bytes.
func (s *Stream) finish(cause Cause) {
	if !s.open {
		return
	}
	if len(s.unread) > 0 {
		s.resetWithCause(cause)
		return
	}
	finSent := s.writeClosed
	s.writeClosed = true
	s.remove(cause)
	if !finSent && len(s.unsent) == 0 {
		s.send(segment{fin: true})
	}
}

// Reset resets the connection: bytes in flight to the peer are lost, and the peer is notified.
func (s *Stream) Reset() { s.resetWithCause(CauseReset) }

func (s *Stream) resetWithCause(cause Cause) {
	if !s.open {
		return
	}
	s.remove(cause)
	s.segments, s.unsent = nil, nil
	s.timer.Stop()
	peer := s.peer
	s.node.net.clock.At(max(s.node.net.clock.now, s.path.StalledUntil)+s.path.Latency, func() { peer.abort(CauseReset) })
}

// abort handles a reset by the peer or by the network.
func (s *Stream) abort(cause Cause) {
	if !s.open {
		return
	}
	s.wasReset, s.segments, s.unsent, s.unread = true, nil, nil, nil
	s.timer.Stop()
	if s.host != nil {
		s.node.net.tap(s, Event{Kind: Closed, Cause: cause})
		s.host.markReady() // the program is notified in its next turn
		return
	}
	s.remove(cause)
	if s.handler != nil {
		s.handler.Reset(s)
	}
}

// remove marks this end as closed and removes it from its node.
func (s *Stream) remove(cause Cause) {
	if !s.open {
		return
	}
	s.open = false
	if !s.wasReset || s.host == nil {
		s.node.net.tap(s, Event{Kind: Closed, Cause: cause})
	}
	node := s.node
	if s.index < len(node.streams) && node.streams[s.index] == s {
		last := node.streams[len(node.streams)-1]
		node.streams[s.index], last.index = last, s.index
		node.streams[len(node.streams)-1] = nil
		node.streams = node.streams[:len(node.streams)-1]
	}
	node.acceptBacklog()
}
