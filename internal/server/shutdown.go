package server

import (
	"fmt"

	"pewterline/internal/frontend"
	"pewterline/internal/microtime"
)

const (
	// maxKillMargin is the longest time between the planned end of the process and the time at which it would be killed.
	maxKillMargin = 100 * microtime.Millisecond
	// maxCloseTime is how long clients have to close the last connections.
	maxCloseTime = 500 * microtime.Millisecond
)

// lifecycleStage tells whether the process serves, drains or has handed over.
type lifecycleStage uint8

// The lifecycle stages. A process drains or hands over, never both.
const (
	serving    lifecycleStage = iota
	draining                  // after the shutdown notice; requests are accepted until the grace period ends
	handedOver                // a successor owns the idempotency keys and gets all new connections
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
	notifiedAt     microtime.Time // when the notice was sent; the timeout counts from then
	handedOverAt   microtime.Time
	stopAt         microtime.Time // when the loop ends at the latest
	killMargin     microtime.Time // the process would be killed this long after stopAt
	closingClients bool           // client connections are being closed
	openListeners  int            // the number of listeners that are being closed
	loopStopped    bool
}

// stopWithin sets stopAt, the time at which the loop ends, shortly before the process would be killed.
func (s *shutdownState) stopWithin(notifiedAt, timeout microtime.Time) {
	s.killMargin = min(maxKillMargin, timeout/4)
	s.stopAt = notifiedAt + timeout - s.killMargin
}

// stopAcceptingAt returns when a draining process stops accepting requests: at the end of the grace period, but early
// enough that clients have a quarter of their linger timeout to close their connections before the loop ends.
func (s *shutdownState) stopAcceptingAt(grace microtime.Time) microtime.Time {
	return min(s.notifiedAt+grace, s.stopAt-frontend.LingerTimeout/4)
}

// Drain begins a graceful shutdown. notifiedAt is when the shutdown notice was sent, at most now. All times of the
// shutdown count from then, even if the program was still starting or busy when the notice was sent.
func (s *Server) Drain(notifiedAt microtime.Time) {
	if s.shutdown.stage != serving {
		return
	}
	now := s.loop.Now()
	s.shutdown.stage, s.shutdown.notifiedAt = draining, notifiedAt
	s.shutdown.stopWithin(notifiedAt, s.cfg.ShutdownTimeout)
	s.core.Drain(now, notifiedAt, s.shutdown.stopAt)
	s.logf("server: draining: stop_within=%v", (s.shutdown.stopAt - now).Duration())
}

// continueDrain ends a draining process once every request that was read is answered. New requests are accepted until
// stopAcceptingAt; then the listeners and the client connections are closed. The process waits until the clients have
// closed their ends, so that no request is lost unread. It returns when it has to be called again.
func (s *Server) continueDrain(now microtime.Time) microtime.Time {
	if s.shutdown.stage != draining {
		return microtime.Never
	}
	closeAt := s.shutdown.stopAcceptingAt(microtime.FromDuration(s.cfg.Settings.DrainGrace))
	if now >= closeAt && !s.shutdown.closingClients {
		s.shutdown.closingClients = true
		s.closeListeners()
		s.clients.drain(now)
	}
	if (s.drained() || now >= s.shutdown.stopAt) && !s.shutdown.loopStopped {
		s.logf("server: drained: requests=%d open=%d", s.clients.submitted, s.core.OpenRequests())
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

// drained reports whether the drain is complete: no client can send a request, and none waits for a response.
func (s *Server) drained() bool {
	return s.shutdown.closingClients && s.shutdown.openListeners == 0 && s.core.Drained() && s.clients.connections() == 0
}

// closeListeners closes the listeners for clients. Connections in their queues are accepted first.
func (s *Server) closeListeners() {
	for listener, address := range []string{ThriftListener: s.cfg.Listen, AJPListener: s.cfg.AJP.Listen} {
		if address != "" {
			s.shutdown.openListeners++
			s.loop.CloseListener(listener, func() { s.shutdown.openListeners-- })
		}
	}
}

// stopLoop ends the loop. Peers have until half of the kill margin after stopAt, and at most maxCloseTime, to close the
// last connections.
func (s *Server) stopLoop(now microtime.Time) {
	s.shutdown.loopStopped = true
	s.loop.Shutdown(min(s.shutdown.stopAt+s.shutdown.killMargin/2, now+maxCloseTime))
}
