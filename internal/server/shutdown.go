package server

import (
	"fmt"

	"pewterline/internal/frontend"
	"pewterline/internal/microtime"
)

const (
	// maxKillMargin is how long before it would be killed the process has ended.
	maxKillMargin = 100 * microtime.Millisecond
	// maxCloseTime is how long clients of the last connections get to close them.
	maxCloseTime = 500 * microtime.Millisecond
)

// lifecycleStage says how far the end of this process has come.
type lifecycleStage uint8

// The stages. A process drains or hands over, never both.
const (
	serving    lifecycleStage = iota
	draining                  // The shutdown notice has come; requests are accepted until the grace is over.
	handedOver                // A successor owns the idempotency keys and gets all new connections.
)

func (l lifecycleStage) String() string {
	switch l {
	case serving:
		return "serving"
	case draining:
		return "draining"
	case handedOver:
		return "handed over"
	}
	return fmt.Sprintf("lifecycleStage(%d)", uint8(l))
}

// shutdownState is the progress of a graceful shutdown, or of the end of a process that has handed over.
type shutdownState struct {
	stage          lifecycleStage
	notifiedAt     microtime.Time // When whoever sent the notice began to count.
	handedOverAt   microtime.Time
	stopAt         microtime.Time // The loop ends by then.
	killMargin     microtime.Time // The process would be killed this long after stopAt.
	closingClients bool           // Client connections are to end.
	openListeners  int            // Listeners that are to end and have not.
	loopStopped    bool
}

// stopWithin sets the time at which the loop ends, somewhat before the process would be killed.
func (d *shutdownState) stopWithin(notifiedAt, timeout microtime.Time) {
	d.killMargin = min(maxKillMargin, timeout/4)
	d.stopAt = notifiedAt + timeout - d.killMargin
}

// drainStopsAccepting is when a draining process accepts no more requests. Clients get a part of their linger timeout
// to close their connections before the loop ends.
func (d *shutdownState) drainStopsAccepting(grace microtime.Time) microtime.Time {
	return min(d.notifiedAt+grace, d.stopAt-frontend.LingerTimeout/4)
}

// Drain begins a graceful shutdown. The notice came at a time up to now: whoever sent it counts from then, however long
// the program took to start, or to get here.
func (s *Server) Drain(notifiedAt microtime.Time) {
	if s.shutdown.stage != serving {
		return
	}
	now := s.loop.Now()
	s.shutdown.stage, s.shutdown.notifiedAt = draining, notifiedAt
	s.shutdown.stopWithin(notifiedAt, s.cfg.ShutdownTimeout)
	s.core.Drain(now, notifiedAt, s.shutdown.stopAt)
	s.logf("server: draining, to stop within %v", (s.shutdown.stopAt - now).Duration())
}

// continueDrain ends a draining process once every request that was read is answered. New requests are accepted until
// none of them would run any more; then the listeners and the client connections are closed. The end waits until the
// clients have closed theirs, so that no request is cut off unread. It returns when it has to be called again.
func (s *Server) continueDrain(now microtime.Time) microtime.Time {
	if s.shutdown.stage != draining {
		return microtime.Never
	}
	closeAt := s.shutdown.drainStopsAccepting(microtime.FromDuration(s.cfg.Settings.DrainGrace))
	if now >= closeAt && !s.shutdown.closingClients {
		s.shutdown.closingClients = true
		s.closeListeners()
		s.clients.drain(now)
	}
	if (s.drained() || now >= s.shutdown.stopAt) && !s.shutdown.loopStopped {
		s.logf("server: drained after %d requests, %d are open", s.clients.submitted, s.core.OpenRequests())
		s.stopLoop(now)
	}
	switch {
	case s.shutdown.loopStopped:
		return microtime.Never
	case s.shutdown.closingClients:
		return s.shutdown.stopAt
	}
	return closeAt
}

// drained reports whether nothing is left to wait for: no client can send a request, and none waits for a response.
func (s *Server) drained() bool {
	return s.shutdown.closingClients && s.shutdown.openListeners == 0 && s.core.Drained() && s.clients.connections() == 0
}

// closeListeners ends the listeners for clients; connections that wait to be accepted are accepted first.
func (s *Server) closeListeners() {
	for listener, address := range []string{ThriftListener: s.cfg.Listen, AJPListener: s.cfg.AJP.Listen} {
		if address != "" {
			s.shutdown.openListeners++
			s.loop.CloseListener(listener, func() { s.shutdown.openListeners-- })
		}
	}
}

// stopLoop ends the loop; half of the margin is left for the last connections to be closed.
func (s *Server) stopLoop(now microtime.Time) {
	s.shutdown.loopStopped = true
	s.loop.Shutdown(min(s.shutdown.stopAt+s.shutdown.killMargin/2, now+maxCloseTime))
}
