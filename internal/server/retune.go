package server

import (
	"fmt"
	"reflect"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
)

// lateMost is how long at least a class that is gone is taken from those who learn of it late.
const lateMost = 5 * microtime.Second

// name notes which place each class and tenant has.
func (s *Server) name() {
	clear(s.classes)
	clear(s.tenants)
	for i, c := range s.cfg.Settings.Classes {
		if !c.Retired {
			s.classes[c.Name] = i
		}
	}
	for i, t := range s.cfg.Settings.Tenants {
		s.tenants[t.Name] = i
	}
	for i, c := range s.cfg.Settings.Classes {
		_, again := s.classes[c.Name]
		if _, late := s.late[i]; late && !again {
			s.classes[c.Name] = i
		}
	}
}

// inUse are the names of the classes in force, in the file's order.
func (s *Server) inUse() (names []string) {
	for _, c := range s.settings.Classes {
		names = append(names, c.Name)
	}
	return names
}

// retune takes up new settings, or changes nothing.
func (s *Server) retune(next config.Config) error {
	set := next.Settings
	set.Seed, set.ColdStart = s.cfg.Settings.Seed, s.cfg.Settings.ColdStart
	if reflect.DeepEqual(set, s.settings) {
		return nil
	}
	if s.pool == nil {
		return fmt.Errorf("settings: they hold until a restart where log servers or an AJP server do the work")
	}
	now := s.loop.Now()
	s.forgetLate(now)
	before := s.cfg.Settings.Classes
	placed, err := s.core.Reload(set, func(class int) bool {
		_, late := s.late[class]
		return late
	})
	if err != nil {
		return err
	}
	s.settings, s.cfg.Settings, s.cfg.Gauges = set, placed, next.Gauges
	s.pool.SetGauges(next.Gauges)
	for i, c := range placed.Classes {
		switch {
		case !c.Retired:
			delete(s.late, i)
		case i < len(before) && !before[i].Retired:
			s.late[i] = now + max(microtime.FromDuration(c.RetentionWindow), lateMost)
		}
	}
	s.name()
	return nil
}

// forgetLate ends the time of classes that are gone; it returns when the next one's is over.
func (s *Server) forgetLate(now microtime.Time) microtime.Time {
	next, over := microtime.Never, false
	for i, until := range s.late {
		if now >= until {
			delete(s.late, i)
			over = true
		} else {
			next = min(next, until)
		}
	}
	if over {
		s.name()
	}
	return next
}
