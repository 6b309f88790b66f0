package server

import (
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/loadreport"
)

// healthReportInterval is the time between two reports to the control plane. Fifteen of them fit into the lifetime of
// an entry in its endpoint list, so the entry survives even if a quarter of the datagrams are lost, and a lost NotReady
// at a drain is repeated after one interval.
const healthReportInterval = 200 * microtime.Millisecond

// healthReporter decides when to report health to the control plane: at regular times, and at once when it changes.
type healthReporter struct {
	nextAt   microtime.Time
	reported bool // the health in the last report
}

func newHealthReporter() healthReporter { return healthReporter{reported: true} }

// reportNow makes the next report due at once.
func (h *healthReporter) reportNow() { h.nextAt = 0 }

// due reports whether a report is due.
func (h *healthReporter) due(now microtime.Time, healthy bool) bool {
	return now >= h.nextAt || healthy != h.reported
}

// sent records that a report is sent at now.
func (h *healthReporter) sent(now microtime.Time, healthy bool) {
	h.reported, h.nextAt = healthy, now+healthReportInterval
}

// reportHealth reports to the control plane when a report is due. It returns when the next one is. After a handoff the
// successor reports instead.
func (s *Server) reportHealth(now microtime.Time) microtime.Time {
	if s.shutdown.stage == handedOver {
		return microtime.Never
	}
	if healthy := s.reportedHealth(); s.health.due(now, healthy) {
		s.health.sent(now, healthy)
		s.loop.SendDatagram(loadreport.Append(nil, s.cfg.Name, healthy))
	}
	return s.health.nextAt
}

// healthy returns the answer to health checks.
func (s *Server) healthy() bool { return !s.outOfService && s.core.Healthy() }

// reportedHealth returns the health to report. If the control plane's endpoint list shows only whether a server
// runs or drains, poor health must not remove the server from it: callers learn of it from rejections and from the load
// signal in responses.
func (s *Server) reportedHealth() bool {
	if s.cfg.Settings.EndpointListIgnoresHealth && s.shutdown.stage != draining {
		return !s.outOfService
	}
	return s.healthy()
}
