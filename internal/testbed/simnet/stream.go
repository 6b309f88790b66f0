package simnet

import (
	"pewterline/internal/microtime"
)

// never is the number of bytes until a cut that does not come.
const never = -1

// Handler is what an end of a stream is for.
type Handler interface {
	Received(e *Stream, p []byte) // p is lent
	EOF(e *Stream)                // the peer sends no more
	Reset(e *Stream)              // the connection was reset
}

// segment is bytes under way; fin marks the end of the stream, reset its breaking.
type segment struct {
	at         microtime.Time
	data       []byte
	fin, reset bool
}

// Stream is one of the two ends of a stream.
type Stream struct {
	node          *Node
	incarnation   int
	peer          *Stream
	connID        uint64
	addr          string // that was dialled
	dialer        bool
	handler       Handler
	host          *hostConn // in place of a handler
	index         int       // among the node's
	path          *Path
	unsent        []byte
	inFlight      int // bytes under way or unread at the peer
	segments      []segment
	timer         *Timer
	lastArrival   microtime.Time // when the last segment arrives
	bytesUntilCut int            // bytes until the connection is reset in flight, or never
	writeClosed   bool           // no more is sent
	open          bool
	unread        []byte // by a host
	eofArrived    bool   // and nothing follows
	wasReset      bool
	readPaused    bool // a reader that takes nothing for now; see Hold
	inBacklog     bool // its node has no room for it yet
}

// ConnID numbers the connection; both ends have the same.
func (s *Stream) ConnID() uint64 { return s.connID }

// Node names its own node.
func (s *Stream) Node() string { return s.node.Name }

// Peer names the other node.
func (s *Stream) Peer() string { return s.peer.node.Name }

// Addr is what was dialled.
func (s *Stream) Addr() string { return s.addr }

// IsOpen tells whether this end is still of use.
func (s *Stream) IsOpen() bool { return s.open }

// SetHandler says what the end is for.
func (s *Stream) SetHandler(h Handler) {
	s.handler = h
	s.read()
}

// Write hands p to the network. What the peer does not take yet is kept.
func (s *Stream) Write(p []byte) {
	if s.node.net.Intercept != nil {
		p = s.node.net.Intercept(s, p)
	}
	if !s.open || s.writeClosed || len(p) == 0 {
		return
	}
	s.node.net.tap(s, Event{Kind: Written, Bytes: p})
	s.unsent = append(s.unsent, p...)
	s.pump()
}

// Unsent counts the bytes that are kept.
func (s *Stream) Unsent() int { return len(s.unsent) }

func (s *Stream) pump() {
	for len(s.unsent) > 0 && s.inFlight < sendWindow {
		n := min(maxSegment, sendWindow-s.inFlight, len(s.unsent))
		if s.bytesUntilCut >= 0 {
			n = min(n, s.bytesUntilCut)
		}
		s.inFlight += n
		s.send(segment{data: append([]byte(nil), s.unsent[:n]...)})
		s.unsent = s.unsent[:copy(s.unsent, s.unsent[n:])]
		if s.bytesUntilCut >= 0 {
			if s.bytesUntilCut -= n; s.bytesUntilCut == 0 { // what goes before the cut arrives, then both ends break
				s.bytesUntilCut, s.unsent = never, nil
				s.send(segment{reset: true})
				return
			}
		}
	}
	if len(s.unsent) == 0 && s.writeClosed {
		s.send(segment{fin: true})
	}
}

func (s *Stream) send(seg segment) {
	net := s.node.net
	seg.at = max(net.world.now+net.delay(s.path), s.lastArrival)
	if bw := s.path.Bandwidth; bw > 0 {
		seg.at += microtime.Time(len(seg.data)) * microtime.Second / microtime.Time(bw)
	}
	s.lastArrival = seg.at
	s.segments = append(s.segments, seg)
	if len(s.segments) == 1 {
		s.armTimer()
	}
}

func (s *Stream) armTimer() {
	s.timer.Stop()
	s.timer = s.node.net.world.At(max(s.segments[0].at, s.path.StalledUntil), s.arrive)
}

// arrive has what is due reach the peer's machine.
func (s *Stream) arrive() {
	w := s.node.net.world
	for len(s.segments) > 0 && max(s.segments[0].at, s.path.StalledUntil) <= w.now {
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
		if len(seg.data) > 0 && s.node.up { // nobody is there to read it; a machine that is gone says nothing
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

// PauseReading has the end take nothing for a while, or go on: a reader that is slow.
func (s *Stream) PauseReading(on bool) {
	s.readPaused = on
	s.read()
}

// read hands on what has arrived.
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

// consumed makes room in the window for what was read.
func (s *Stream) consumed(n int) {
	s.peer.inFlight -= n
	if s.peer.open || s.peer.writeClosed {
		s.peer.pumpRest()
	}
}

// pumpRest goes on with what was kept, and does not send the end of the stream twice.
func (s *Stream) pumpRest() {
	if len(s.unsent) > 0 {
		s.pump()
	}
}

// CutAfter has the connection break once so many more bytes have been sent from this end; 0: now.
func (s *Stream) CutAfter(n int) {
	if n <= 0 {
		s.abort(CauseCut)
		s.peer.abort(CauseCut)
		return
	}
	s.bytesUntilCut = n
}

// Close ends the stream from this side. Where something has arrived unread, that is a reset, as with TCP.
func (s *Stream) Close() { s.finish(CauseClosed) }

// CloseWrite sends the end of the stream, and goes on reading. CutWrite is the same as a fault of the network.
func (s *Stream) CloseWrite() { s.halfClose(CauseClosed) }

// CutWrite has the network end the stream from this end, which goes on reading and knows nothing of it.
func (s *Stream) CutWrite() { s.halfClose(CauseCut) }

func (s *Stream) halfClose(why Cause) {
	if s.open && !s.writeClosed {
		s.writeClosed = true
		s.node.net.tap(s, Event{Kind: HalfClosed, Cause: why})
		if len(s.unsent) == 0 {
			s.send(segment{fin: true})
		}
	}
}

func (s *Stream) finish(why Cause) {
	if !s.open {
		return
	}
	if len(s.unread) > 0 {
		s.resetAs(why)
		return
	}
	fin := s.writeClosed
	s.writeClosed = true
	s.remove(why)
	if !fin && len(s.unsent) == 0 {
		s.send(segment{fin: true})
	}
}

// Reset breaks the connection: the peer hears of it, and what is under way to it is lost.
func (s *Stream) Reset() { s.resetAs(CauseReset) }

func (s *Stream) resetAs(why Cause) {
	if !s.open {
		return
	}
	s.remove(why)
	s.segments, s.unsent = nil, nil
	s.timer.Stop()
	peer := s.peer
	s.node.net.world.At(max(s.node.net.world.now, s.path.StalledUntil)+s.path.Latency, func() { peer.abort(CauseReset) })
}

// abort says that the connection was reset from elsewhere.
func (s *Stream) abort(why Cause) {
	if !s.open {
		return
	}
	s.wasReset, s.segments, s.unsent, s.unread = true, nil, nil, nil
	s.timer.Stop()
	if s.host != nil {
		s.node.net.tap(s, Event{Kind: Closed, Cause: why})
		s.host.markReady() // it hears in a turn of its own
		return
	}
	s.remove(why)
	if s.handler != nil {
		s.handler.Reset(s)
	}
}

// remove takes the end out of its node.
func (s *Stream) remove(why Cause) {
	if !s.open {
		return
	}
	s.open = false
	if !s.wasReset || s.host == nil {
		s.node.net.tap(s, Event{Kind: Closed, Cause: why})
	}
	n := s.node
	if s.index < len(n.streams) && n.streams[s.index] == s {
		last := n.streams[len(n.streams)-1]
		n.streams[s.index], last.index = last, s.index
		n.streams[len(n.streams)-1] = nil
		n.streams = n.streams[:len(n.streams)-1]
	}
	n.acceptBacklog()
}
