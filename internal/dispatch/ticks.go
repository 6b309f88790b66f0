package dispatch

import "pewterline/internal/microtime"

// scheduledTick is a tick that the decision module has scheduled.
type scheduledTick struct {
	at    microtime.Time
	token uint64
}

// tickSchedule holds the ticks that are not due yet, in the order in which they were scheduled.
type tickSchedule struct{ ticks []scheduledTick }

func (s *tickSchedule) add(at microtime.Time, token uint64) {
	s.ticks = append(s.ticks, scheduledTick{at, token})
}

// next returns when the first tick is due; microtime.Never if there is none.
func (s *tickSchedule) next() microtime.Time {
	next := microtime.Never
	for _, tick := range s.ticks {
		next = min(next, tick.at)
	}
	return next
}

// postponeTo delays the ticks that are due before earliest until then.
func (s *tickSchedule) postponeTo(earliest microtime.Time) {
	for i := range s.ticks {
		s.ticks[i].at = max(s.ticks[i].at, earliest)
	}
}

// takeDue removes the ticks that are due and returns their tokens.
func (s *tickSchedule) takeDue(now microtime.Time) []uint64 {
	var due []uint64
	remaining := s.ticks[:0]
	for _, tick := range s.ticks {
		if tick.at > now {
			remaining = append(remaining, tick)
		} else {
			due = append(due, tick.token)
		}
	}
	s.ticks = remaining
	return due
}
