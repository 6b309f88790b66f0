package server

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"pewterline/internal/config"
)

// ErrRestartRequired means that a configuration changes a key that can only be changed by a restart.
var ErrRestartRequired = errors.New("a restart is required")

// reloadCounts counts the reloads of the configuration.
type reloadCounts struct {
	applied  int
	rejected int
}

// ReloadRejected counts a reload that failed before Reload was called, because the configuration could not be read.
func (s *Server) ReloadRejected() { s.reloads.rejected++ }

// Reload applies a configuration while serving: the settings, the addresses of the worker pool, of the vault and of the
// control plane, the endpoints of an upstream, and the shutdown timeout. Runs in progress are not interrupted, and a
// new link to the pool resumes after the last notice that was read. Everything else takes effect at the next restart.
// If Reload returns an error, nothing has changed.
func (s *Server) Reload(next config.Config) error {
	if err := s.applyConfig(next); err != nil {
		s.reloads.rejected++
		return err
	}
	s.reloads.applied++
	return nil
}

func (s *Server) applyConfig(next config.Config) error {
	if err := next.RequireKeysOf(s.cfg); err != nil {
		return err
	}
	if s.shutdown.stage == draining {
		// A drain keeps the grace period that it began with: the supervisor relies on it, and stopAt was computed from
		// the same configuration.
		next.Settings.DrainGrace = s.cfg.Settings.DrainGrace
	}
	if err := s.applyFallibleParts(next); err != nil {
		return err
	}
	if s.replica != nil {
		s.replica.ExtendRetention(s.LongestRetention())
	}
	if s.backends.pool != nil {
		s.cfg.PoolAddress, s.cfg.VaultAddress = next.PoolAddress, next.VaultAddress
		s.backends.pool.SetAddress(next.PoolAddress)
		s.backends.vault.SetAddress(next.VaultAddress)
	}
	s.applyEndpoints(next)
	s.cfg.ShutdownTimeout = next.ShutdownTimeout
	s.cfg.Document = next.Document
	s.logUnappliedKeys(next)
	s.logf("server: configuration reloaded: pool=%s vault=%s control=%s classes=%s",
		s.cfg.PoolAddress, s.cfg.VaultAddress, s.cfg.ControlAddress, strings.Join(s.classNames(), " "))
	return nil
}

// applyFallibleParts applies the address of the control plane and the settings. If either fails, neither is changed.
func (s *Server) applyFallibleParts(next config.Config) error {
	if next.ControlAddress == s.cfg.ControlAddress {
		return s.applySettings(next)
	}
	if err := s.loop.SetDatagramPeer(next.ControlAddress); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	if err := s.applySettings(next); err != nil {
		return errors.Join(err, s.loop.SetDatagramPeer(s.cfg.ControlAddress))
	}
	s.cfg.ControlAddress = next.ControlAddress
	s.health.reportNow()
	return nil
}

// applySettings applies the settings and the gauges that belong to them. On an error nothing has changed.
func (s *Server) applySettings(next config.Config) error {
	settings := next.Settings
	settings.Seed, settings.ColdStart = s.cfg.Settings.Seed, s.cfg.Settings.ColdStart
	if reflect.DeepEqual(settings, s.fileSettings) {
		return nil
	}
	if s.backends.pool == nil {
		return fmt.Errorf("settings: %w if the backend is an upstream or an AJP server", ErrRestartRequired)
	}
	now := s.loop.Now()
	s.names.expireRetired(s.cfg.Settings, now)
	indexed, err := s.core.Reload(settings, s.names.accepted)
	if err != nil {
		return err
	}
	old := s.cfg.Settings
	s.fileSettings, s.cfg.Settings, s.cfg.Gauges = settings, indexed, next.Gauges
	s.backends.pool.SetGauges(next.Gauges)
	s.names.replace(old, indexed, now)
	return nil
}

// applyEndpoints applies the endpoint list of the upstream.
func (s *Server) applyEndpoints(next config.Config) {
	endpoints := next.Fleet.Members
	if s.backends.upstream == nil || len(endpoints) == 0 || slices.Equal(endpoints, s.cfg.Fleet.Members) {
		return
	}
	s.cfg.Fleet.Members = endpoints
	s.backends.upstream.UpdateEndpoints(endpoints)
	s.logf("server: list of log servers reloaded: endpoints=%d", len(endpoints))
}

// logUnappliedKeys logs each key of the configuration that has changed and takes effect only at the next restart.
func (s *Server) logUnappliedKeys(next config.Config) {
	usesUpstream := s.backends.upstream != nil
	for _, setting := range []struct {
		key     string
		changed bool
	}{
		{"name", next.Name != s.cfg.Name},
		{"listen", next.Listen != s.cfg.Listen},
		{"admin", next.AdminAddress != s.cfg.AdminAddress},
		{"fleet.toml: server", (len(next.Fleet.Members) > 0) != usesUpstream},
		{"limits.memory_mb", next.MemoryLimit != s.cfg.MemoryLimit},
		{"limits.sockets", next.SocketLimit != s.cfg.SocketLimit},
	} {
		if setting.changed {
			s.logf("server: changed key takes effect at the next restart: key=%s", setting.key)
		}
	}
}

// classNames returns the names of the current classes, in the order of the file.
func (s *Server) classNames() []string {
	var names []string
	for _, class := range s.fileSettings.Classes {
		names = append(names, class.Name)
	}
	return names
}
