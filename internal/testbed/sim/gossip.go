package sim

import (
	"fmt"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/simnet"
)

// GossipExperiment measures what advice is worth to a fresh instance: some servers are dead and some are slow when one of the
// edges dies and comes back knowing nothing.
type GossipExperiment struct {
	Seed       uint64
	Edges      int
	Servers    int
	Dead       int // servers whose machine is gone: a connect there takes its whole second
	Slow       int // whose work takes five times as long
	Rate       float64
	Gossip     bool
	DrawFaults bool // also draw faults of the profile worst from the seed
}

// GossipResult is how the fresh instance did in its first ten seconds.
type GossipResult struct {
	Wasted          int     // tries that came to nothing for want of a server
	DeadConnects    int     // to dead servers
	EarlyWasted     int     // tries wasted in the first two seconds
	WeightedGoodput float64 // served in time, of what callers asked for while the fresh instance was young
	GossipBytes     int     // bytes that all instances have told each other, over the whole run
	Violations      int
}

const (
	learnDown  = 4 * microtime.Second
	learnFresh = 9 * microtime.Second
	learnYoung = 10 * microtime.Second
)

// Run plays it.
func (o GossipExperiment) Run() (r GossipResult, err error) {
	s := faults.Script{Seed: o.Seed, Servers: o.Servers, Proxies: 2 * o.Edges, Edges: o.Edges, Gossip: o.Gossip, Length: learnFresh + learnYoung, Rate: o.Rate}
	if o.DrawFaults {
		world := faults.World{Servers: o.Servers, Proxies: 2 * o.Edges, Edges: o.Edges, Length: s.Length, Rate: o.Rate}
		if s, err = world.Draw(o.Seed, "worst"); err != nil {
			return r, err
		}
		s.Gossip = o.Gossip
	}
	add := func(f faults.Fault) { s.Faults = append(s.Faults, f) }
	for i := range o.Dead {
		add(faults.Fault{At: learnDown, Kind: faults.MachineLost, Node: name('s', i), For: 300 * microtime.Second})
	}
	for i := o.Dead; i < o.Dead+o.Slow; i++ {
		add(faults.Fault{At: learnDown, Kind: faults.SlowPool, Node: name('w', i), For: 300 * microtime.Second, Amount: 5})
	}
	add(faults.Fault{At: learnFresh, Kind: faults.Kill, Node: "e0", For: 50 * microtime.Millisecond})
	s.SortFaults()
	var worth, wanted [2]float64 // at the fresh instance's start, and when it is no longer young
	out, err := Play(s, Options{begin: func(l *world) {
		fresh := simnet.Start + learnFresh
		tap := l.net.Tap
		l.net.Tap = func(v simnet.Event) {
			tap(v)
			if v.Kind == simnet.Written && len(v.Addr) > 9 && v.Addr[len(v.Addr)-9:] == "/exchange" {
				r.GossipBytes += len(v.Bytes)
			}
			if v.Kind != simnet.ConnectAttempted || v.Node != "e0" || v.At < fresh || v.At > fresh+learnYoung {
				return
			}
			if t := l.server(v.Peer); t != nil && t.host.Ended {
				r.DeadConnects++
			}
		}
		l.w.At(fresh, func() { worth[0], wanted[0] = l.st.WeightServed, l.st.WeightAsked })
		l.w.At(fresh+2*microtime.Second, func() { r.EarlyWasted = l.edges[0].program.WastedAttempts() })
		l.w.At(fresh+learnYoung, func() {
			r.Wasted = l.edges[0].program.WastedAttempts()
			worth[1], wanted[1] = l.st.WeightServed, l.st.WeightAsked
		})
	}})
	if err != nil {
		return r, err
	}
	r.WeightedGoodput = (worth[1] - worth[0]) / max(wanted[1]-wanted[0], 1)
	r.Violations = len(out.Violations)
	return r, nil
}

func name(letter byte, i int) string { return fmt.Sprintf("%c%d", letter, i) }
