package sim

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// ownPackages are the packages of the server whose tables are counted.
var ownPackages = []string{
	"control",
	"internal/admin",
	"internal/backend/ajpbackend",
	"internal/backend/upstream",
	"internal/backend/workerpool",
	"internal/config",
	"internal/decide/calls",
	"internal/dispatch",
	"internal/frontend",
	"internal/frontend/ajpfrontend",
	"internal/frontend/thriftfrontend",
	"internal/orderedset",
	"internal/server",
	"internal/transport",
	"internal/vaultclient",
}

// tableSizes is the number of entries of each map and the capacity of each slice, by type and field.
type tableSizes map[string]int

// tableCounter counts the tables in the server's own types at any depth, so that tables added later are counted too. It
// does not count the tables of the simulation.
type tableCounter struct {
	sizes tableSizes
	seen  map[uintptr]bool // pointers, each of which is followed once
}

// count adds the tables that a value contains. The name is that of the field with the value.
func (c *tableCounter) count(value reflect.Value, name string) {
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() || c.seen[value.Pointer()] || !isOwn(value.Type().Elem()) {
			return
		}
		c.seen[value.Pointer()] = true
		c.count(value.Elem(), name)
	case reflect.Interface:
		if !value.IsNil() {
			c.count(value.Elem(), name)
		}
	case reflect.Struct:
		if !isOwn(value.Type()) {
			return
		}
		for i := range value.NumField() {
			c.count(value.Field(i), value.Type().String()+"."+value.Type().Field(i).Name)
		}
	case reflect.Map:
		c.sizes[name] += value.Len()
		for entries := value.MapRange(); entries.Next(); {
			c.count(entries.Value(), name)
		}
	case reflect.Slice:
		c.sizes[name] += value.Cap()
		for i := range value.Len() {
			c.count(value.Index(i), name)
		}
	default: // The other kinds hold no table.
	}
}

// countTables returns the sizes of the tables that a value contains.
func countTables(value any) tableSizes {
	counter := tableCounter{sizes: tableSizes{}, seen: map[uintptr]bool{}}
	counter.count(reflect.ValueOf(value), "")
	return counter.sizes
}

// isOwn reports whether a type belongs to the server's own packages.
func isOwn(t reflect.Type) bool {
	path, isLocal := strings.CutPrefix(t.PkgPath(), "pewterline/")
	return isLocal && slices.Contains(ownPackages, path)
}

// raise raises each size to that of other if that is larger.
func (s tableSizes) raise(other tableSizes) {
	for name, size := range other {
		s[name] = max(s[name], size)
	}
}

// repeatedFaults returns the same faults for each minute of a script except its last. faultsOfMinute gets the time of
// the first fault of the minute.
func repeatedFaults(length microtime.Time, faultsOfMinute func(at microtime.Time) []faults.Fault) (all []faults.Fault) {
	const minute = 60 * microtime.Second
	for at := 20 * microtime.Second; at < length-minute; at += minute {
		all = append(all, faultsOfMinute(at)...)
	}
	return all
}

// flatTablesCase is a long run in which no table may grow.
type flatTablesCase struct {
	script      faults.Script
	minRequests int
	tables      []string // parts of the names of tables that must be counted
}

// requireFlat plays the script and requires that the peak size of each table in the last third of the run does not
// exceed its peak in the first third. Peaks vary at random, so that it allows 50% and 32 entries more.
func (c flatTablesCase) requireFlat(t *testing.T) {
	t.Helper()
	peaks := [3]tableSizes{{}, {}, {}}
	samples := 0
	outcome := playClean(t, c.script, Options{beforeRun: func(sim *simulation) {
		sim.callers["p3"].RetryAtOnce(c.script.Length)
		var sample func()
		sample = func() {
			third := int(sim.clock.Since() * 3 / c.script.Length)
			if third >= len(peaks) {
				return
			}
			samples++
			peaks[third].raise(countTables(sim.servers[0].program))
			peaks[third].raise(countTables(sim.servers[0].host.Loop()))
			sim.clock.In(microtime.Second, sample)
		}
		sample()
	}})
	require.Greater(t, outcome.Requests, c.minRequests)
	require.Greater(t, samples, int(c.script.Length/microtime.Second)-10)
	first, last := peaks[0], peaks[2]
	for name, size := range first {
		require.LessOrEqual(t, last[name], size+size/2+32, name)
	}
	for name, size := range last {
		if _, known := first[name]; !known {
			require.LessOrEqual(t, size, 32, name)
		}
	}
	for _, want := range c.tables {
		isCounted := func(name string) bool { return first[name] > 0 && strings.Contains(name, want) }
		require.True(t, slices.ContainsFunc(slices.Collect(maps.Keys(first)), isCounted), want)
	}
}

// Guards against memory leaks in a server that runs for weeks. In 45 minutes of traffic surges, broken connections,
// reloads and callers that return under new addresses, no table, buffer or sample window may grow: its peak in the last
// fifteen minutes must be about that of the first fifteen.
func TestTablesStayFlatFor45Minutes(t *testing.T) {
	t.Parallel()
	script := faults.Script{
		Seed: 45, Servers: 1, Proxies: 4, WebFrontends: 2, Length: 45 * 60 * microtime.Second, Rate: 16,
	}
	script.Faults = repeatedFaults(script.Length, func(at microtime.Time) []faults.Fault {
		const second = microtime.Second
		return []faults.Fault{
			{At: at, Kind: faults.TrafficSurge, What: "hill-estate", For: 8 * second, Amount: 4},
			{At: at + 12*second, Kind: faults.CutConnection, Node: "w0", Peer: "s0", Amount: 200},
			{At: at + 14*second, Kind: faults.UnidentifiedConnections, Node: "s0", Amount: 40},
			{At: at + 16*second, Kind: faults.CallerCrash, Node: "p1", For: 2 * second},
			{At: at + 20*second, Kind: faults.ImpatientCaller, Node: "p2", For: 5 * second, Amount: 300},
			{At: at + 26*second, Kind: faults.ReloadConfig, Node: "s0"},
			{At: at + 30*second, Kind: faults.DuplicateNotices, Node: "w0", For: 5 * second},
			{At: at + 36*second, Kind: faults.SlowPool, Node: "w0", For: 5 * second, Amount: 4},
		}
	})
	flatTablesCase{script: script, minRequests: 30_000, tables: []string{
		"control.retainedKeys.keys", "control.requestTable.byID", "control.idleConnections.lastSeen",
		"control.classState.latencies", "dispatch.keyTable.byKey", "dispatch.keyTable.byOriginal",
		"dispatch.tickSchedule.ticks", "workerpool.Backend.runs", "transport.connGroup.conns",
		"transport.Connection.received",
	}}.requireFlat(t)
}

// The same over 30 minutes of downstream calls that are cancelled, cut off, left without a reply, or moved to another
// address.
func TestTablesStayFlatWithAVault(t *testing.T) {
	t.Parallel()
	script := faults.Script{
		Seed: 45, Servers: 1, Proxies: 4, WebFrontends: 2, Vault: true, Length: 30 * 60 * microtime.Second, Rate: 16,
	}
	script.Faults = repeatedFaults(script.Length, func(at microtime.Time) []faults.Fault {
		const second = microtime.Second
		return []faults.Fault{
			{At: at, Kind: faults.VaultSlow, Node: "v0", For: 10 * second, Amount: 8},
			{At: at + second, Kind: faults.ImpatientCaller, Node: "p2", For: 8 * second, Amount: 150},
			{At: at + 12*second, Kind: faults.VaultSilent, Node: "v0", For: 4 * second},
			{At: at + 18*second, Kind: faults.VaultDown, Node: "v0", For: 2 * second},
			{At: at + 24*second, Kind: faults.VaultBreakReply, Node: "v0", For: 3 * second, Amount: 0.3},
			{At: at + 28*second, Kind: faults.VaultHang, Node: "v0", For: 3 * second},
			{At: at + 32*second, Kind: faults.VaultStrayReply, Node: "v0", For: 3 * second, Amount: 0.5},
			{At: at + 36*second, Kind: faults.ReloadConfig, Node: "s0"},
			{At: at + 38*second, Kind: faults.CutConnection, Node: "w0", Peer: "s0", Amount: 200},
			{At: at + 42*second, Kind: faults.StallPath, Node: "s0", Peer: "w0", For: 2 * second},
		}
	})
	flatTablesCase{script: script, minRequests: 20_000, tables: []string{
		"calls.Pool.inFlight", "calls.conn.abandoned", "vaultclient.Client.conns", "workerpool.Backend.runs",
	}}.requireFlat(t)
}
