package invariant

import (
	"slices"

	"pewterline/internal/microtime"
)

func (o *Observer) crowded(s *server, by int) {
	s.running += by
	s.marks = append(s.marks, mark{o.w.Now(), s.running})
}

// judgeMemory judges that the memory booked stays within its bound.
func (o *Observer) judgeMemory(s *server, now microtime.Time) {
	booked := 0.0
	s.open = slices.DeleteFunc(s.open, func(r *request) bool { return (r.answers > 0 || r.gaveUp || r.over || r.c.left) && !r.running })
	for _, r := range s.open {
		if r.running {
			booked += r.kb * o.Limits.RunningMemoryFactor
		} else if now > r.arrived+bookedFrom && o.owed(r) {
			booked += r.kb
		}
	}
	if booked > o.Limits.MemoryKB {
		o.report("fall-over", s, nil, "memory: %.0f kB are booked of %.0f", booked, o.Limits.MemoryKB)
		s.ended = true
	}
}

// judgeCrowd judges that what runs on the cores stays within its bound, on average.
func (o *Observer) judgeCrowd(s *server, now microtime.Time) {
	from := now - o.Limits.MaxConcurrencyWindow
	if s.born > from {
		return
	}
	sum, n, at := 0.0, 0, from
	drop := 0
	for i, m := range s.marks {
		if m.at <= from {
			n, drop = m.n, i
			continue
		}
		sum += float64(n) * float64(m.at-at)
		n, at = m.n, m.at
	}
	sum += float64(n) * float64(now-at)
	s.marks = s.marks[drop:]
	share := min(1, o.Limits.WarmUpMinSpeed+(1-o.Limits.WarmUpMinSpeed)*float64(now-s.born)/float64(o.Limits.WarmUpTime))
	if s.life == 1 {
		share = 1
	}
	most := float64(o.Limits.Cores) * (1 + (o.Limits.MaxConcurrencyPerCore-1)*share)
	if mean := sum / float64(o.Limits.MaxConcurrencyWindow); mean > most {
		o.report("fall-over", s, nil, "crowd: %.1f run on average, over %.1f", mean, most)
		s.ended = true
	}
}
