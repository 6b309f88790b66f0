package server

import (
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/loadreport"
)

// healthReportInterval is the time between two reports to the control plane. Fifteen of them fit before an entry of
// its list expires: a quarter of them may be lost, and a lost NotReady of a drain costs no more than this.
const healthReportInterval = 200 * microtime.Millisecond

// healthReporter decides when to report health to the control plane: at regular times, and at once when it changes.
type healthReporter struct {
	nextAt   microtime.Time
	reported bool // The health that was last reported.
}

func newHealthReporter() healthReporter { return healthReporter{reported: true} }

// reportNow makes the next report due at once.
func (h *healthReporter) reportNow() { h.nextAt = 0 }

// due reports whether a report is due.
func (h *healthReporter) due(now microtime.Time, healthy bool) bool {
	return now >= h.nextAt || healthy != h.reported
}

// sent notes that a report goes out.
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

// healthy is the answer to health checks.
func (s *Server) healthy() bool { return !s.outOfService && s.core.Healthy() }

// reportedHealth is the health that reports tell of. Where the control plane's endpoint list shows only whether a
// server runs or drains, doubtful health is no reason to be taken off it: callers hear of it by rejections and by what
// the responses say.
func (s *Server) reportedHealth() bool {
	if s.cfg.Settings.EndpointListIgnoresHealth && s.shutdown.stage != draining {
		return !s.outOfService
	}
	return s.healthy()
}
