package dispatch

import "pewterline/internal/microtime"

// scheduledTick is a tick that the decision module has asked for.
type scheduledTick struct {
	at    microtime.Time
	token uint64
}

// tickSchedule holds the ticks to come, in the order in which they were asked for.
type tickSchedule struct{ ticks []scheduledTick }

func (s *tickSchedule) add(at microtime.Time, token uint64) {
	s.ticks = append(s.ticks, scheduledTick{at, token})
}

// next is when the first tick is due.
func (s *tickSchedule) next() microtime.Time {
	next := microtime.Never
	for _, tick := range s.ticks {
		next = min(next, tick.at)
	}
	return next
}

// postponeTo has no tick be due before a time.
func (s *tickSchedule) postponeTo(earliest microtime.Time) {
	for i := range s.ticks {
		s.ticks[i].at = max(s.ticks[i].at, earliest)
	}
}

// takeDue removes the ticks that are due and returns their tokens.
func (s *tickSchedule) takeDue(now microtime.Time) []uint64 {
	var due []uint64
	left := s.ticks[:0]
	for _, tick := range s.ticks {
		if tick.at > now {
			left = append(left, tick)
		} else {
			due = append(due, tick.token)
		}
	}
	s.ticks = left
	return due
}
