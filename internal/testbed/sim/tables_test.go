package sim

import (
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// tables counts the entries, or for a buffer the bytes, of each map and slice that the program's own types hold,
// by type and field, however deep: a table that is added later is counted too. What is the lab's is left out.
func tables(of any) map[string]int {
	out, seen := map[string]int{}, map[uintptr]bool{}
	var walk func(v reflect.Value, name string)
	walk = func(v reflect.Value, name string) {
		switch v.Kind() {
		case reflect.Pointer:
			if v.IsNil() || seen[v.Pointer()] || !ours(v.Type().Elem()) {
				return
			}
			seen[v.Pointer()] = true
			walk(v.Elem(), name)
		case reflect.Interface:
			if !v.IsNil() {
				walk(v.Elem(), name)
			}
		case reflect.Struct:
			if !ours(v.Type()) {
				return
			}
			for i := range v.NumField() {
				walk(v.Field(i), v.Type().String()+"."+v.Type().Field(i).Name)
			}
		case reflect.Map:
			out[name] += v.Len()
			for it := v.MapRange(); it.Next(); {
				walk(it.Value(), name)
			}
		case reflect.Slice:
			out[name] += v.Cap()
			for i := range v.Len() {
				walk(v.Index(i), name)
			}
		}
	}
	walk(reflect.ValueOf(of), "")
	return out
}

func ours(t reflect.Type) bool {
	p := t.PkgPath()
	for _, own := range []string{"control", "internal/server", "internal/frontend", "internal/frontend/ajpfrontend", "internal/frontend/thriftfrontend",
		"internal/admin", "internal/orderedset", "internal/dispatch", "internal/backend/ajpbackend", "internal/backend/upstream",
		"internal/backend/workerpool", "internal/vaultclient", "internal/decide/calls", "internal/transport", "internal/config"} {
		if p == "pewterline/"+own {
			return true
		}
	}
	return false
}

// Guards the memory of a server that runs for weeks: over 45 minutes of floods, broken links, moves and callers that come
// back under new addresses, no table, buffer or learned window of the program holds more in the last fifteen minutes than
// it once did in the first fifteen, but for a little: peaks differ by chance.
func TestTablesStayFlatFor45Minutes(t *testing.T) {
	t.Parallel()
	const minutes = 45
	s := faults.Script{Seed: 45, Servers: 1, Proxies: 4, WebFrontends: 2, Length: minutes * 60 * microtime.Second, Rate: 16}
	for at := 20 * microtime.Second; at < s.Length-60*microtime.Second; at += 60 * microtime.Second {
		s.Faults = append(s.Faults,
			faults.Fault{At: at, Kind: faults.TrafficSurge, What: "hill-estate", For: 8 * microtime.Second, Amount: 4},
			faults.Fault{At: at + 12*microtime.Second, Kind: faults.CutConnection, Node: "w0", Peer: "s0", Amount: 200},
			faults.Fault{At: at + 14*microtime.Second, Kind: faults.UnidentifiedConnections, Node: "s0", Amount: 40},
			faults.Fault{At: at + 16*microtime.Second, Kind: faults.CallerCrash, Node: "p1", For: 2 * microtime.Second},
			faults.Fault{At: at + 20*microtime.Second, Kind: faults.ImpatientCaller, Node: "p2", For: 5 * microtime.Second, Amount: 300},
			faults.Fault{At: at + 26*microtime.Second, Kind: faults.ReloadConfig, Node: "s0"},
			faults.Fault{At: at + 30*microtime.Second, Kind: faults.DuplicateNotices, Node: "w0", For: 5 * microtime.Second},
			faults.Fault{At: at + 36*microtime.Second, Kind: faults.SlowPool, Node: "w0", For: 5 * microtime.Second, Amount: 4})
	}
	flat(t, s, 30_000, "control.keyTable.keys", "control.requestTable.byID", "control.idleConnections.lastSeen", "control.classState.latencies",
		"dispatch.keyTable.byKey", "dispatch.keyTable.byHolder", "dispatch.tickSchedule.ticks", "workerpool.Backend.runs", "transport.connGroup.conns", "transport.Connection.received")
}

// The same over 30 minutes of calls that are given up, cut off, silent, and moved.
func TestTablesStayFlatWithAVault(t *testing.T) {
	t.Parallel()
	s := faults.Script{Seed: 45, Servers: 1, Proxies: 4, WebFrontends: 2, Vault: true, Length: 30 * 60 * microtime.Second, Rate: 16}
	for at := 20 * microtime.Second; at < s.Length-60*microtime.Second; at += 60 * microtime.Second {
		s.Faults = append(s.Faults,
			faults.Fault{At: at, Kind: faults.VaultSlow, Node: "v0", For: 10 * microtime.Second, Amount: 8},
			faults.Fault{At: at + microtime.Second, Kind: faults.ImpatientCaller, Node: "p2", For: 8 * microtime.Second, Amount: 150},
			faults.Fault{At: at + 12*microtime.Second, Kind: faults.VaultSilent, Node: "v0", For: 4 * microtime.Second},
			faults.Fault{At: at + 18*microtime.Second, Kind: faults.VaultDown, Node: "v0", For: 2 * microtime.Second},
			faults.Fault{At: at + 24*microtime.Second, Kind: faults.VaultBreakReply, Node: "v0", For: 3 * microtime.Second, Amount: 0.3},
			faults.Fault{At: at + 28*microtime.Second, Kind: faults.VaultHang, Node: "v0", For: 3 * microtime.Second},
			faults.Fault{At: at + 32*microtime.Second, Kind: faults.VaultStrayReply, Node: "v0", For: 3 * microtime.Second, Amount: 0.5},
			faults.Fault{At: at + 36*microtime.Second, Kind: faults.ReloadConfig, Node: "s0"},
			faults.Fault{At: at + 38*microtime.Second, Kind: faults.CutConnection, Node: "w0", Peer: "s0", Amount: 200},
			faults.Fault{At: at + 42*microtime.Second, Kind: faults.StallPath, Node: "s0", Peer: "w0", For: 2 * microtime.Second})
	}
	flat(t, s, 20_000, "calls.Pool.inFlight", "calls.conn.abandoned", "vaultclient.Client.conns", "workerpool.Backend.runs")
}

// flat plays a script and judges that no table's peak of the last third is above that of the first, but for a little.
func flat(t *testing.T, s faults.Script, requests int, wanted ...string) {
	peaks := [3]map[string]int{{}, {}, {}}
	samples := 0
	out, err := Play(s, Options{beforeRun: func(l *simulation) {
		l.callers["p3"].RetryAtOnce(s.Length)
		var look func()
		look = func() {
			third := int(l.clock.Since() * 3 / s.Length)
			if third < len(peaks) {
				samples++
				for name, n := range tables(l.servers[0].program) {
					peaks[third][name] = max(peaks[third][name], n)
				}
				for name, n := range tables(l.servers[0].host.Loop()) {
					peaks[third][name] = max(peaks[third][name], n)
				}
				l.clock.In(microtime.Second, look)
			}
		}
		look()
	}})
	require.NoError(t, err)
	clean(t, s, out)
	require.Greater(t, out.Requests, requests)
	require.Greater(t, samples, int(s.Length/microtime.Second)-10)
	var counted []string
	for name, n := range peaks[0] {
		if n > 0 {
			counted = append(counted, name)
		}
		require.LessOrEqual(t, peaks[2][name], n+n/2+32, name)
	}
	for name, n := range peaks[2] {
		if _, known := peaks[0][name]; !known {
			require.LessOrEqual(t, n, 32, name)
		}
	}
	for _, want := range wanted {
		require.Contains(t, strings.Join(counted, " "), want)
	}
}
