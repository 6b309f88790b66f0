package faults

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"

	"pewterline/internal/microtime"
)

// profile says how much goes wrong, and what.
type profile struct {
	every  float64 // seconds between faults, for each server
	load   float64 // of what the servers can do, roughly
	weight map[Kind]int
	vault  map[Kind]int // besides, in a world with a vault
}

// World is the size and shape of the world that a script is drawn for.
type World struct {
	Servers int
	Proxies int
	Edges   int
	Length  microtime.Time
	Rate    float64 // 0 takes the profile's load
	Vault   bool
}

// ratePerServer is what a server with two warm cores serves a second, roughly.
const ratePerServer = 24

var profiles = map[string]profile{
	"calm": {every: 20, load: 0.5, weight: map[Kind]int{CutConnection: 2, DropDatagrams: 2, AddLatency: 2, ImpatientCaller: 1, DuplicateNotices: 1},
		vault: map[Kind]int{VaultSlow: 1, VaultRefusing: 1, VaultReorder: 1}},
	"dawn": {every: 6, load: 0.9, weight: map[Kind]int{TrafficSurge: 5, ImmediateRetry: 3, UnidentifiedConnections: 2, CostlyClass: 2, AddLatency: 2, StallPath: 1, ImpatientCaller: 2, CutConnection: 2},
		vault: map[Kind]int{VaultSlow: 3, VaultRefusing: 3, VaultFailing: 1, VaultReorder: 2}},
	"noon": {every: 5, load: 1.1, weight: map[Kind]int{SlowPool: 4, CostlyClass: 4, Pause: 3, StoreSlow: 3, StoreFail: 1, StallPath: 2, LimitBandwidth: 2, CallerStopsReading: 1,
		CutConnection: 2, TrafficSurge: 2, ImmediateRetry: 1}, vault: map[Kind]int{VaultSlow: 4, VaultRefusing: 3, VaultFailing: 3, VaultSilent: 2, VaultBreakReply: 1, VaultReorder: 1}},
	"release": {every: 5, load: 0.9, weight: map[Kind]int{Terminate: 6, ReloadConfig: 4, Kill: 2, StaleEndpoints: 3, CallerCrash: 2, RegistryDown: 1, DropDatagrams: 2, StallPath: 2, CutConnection: 2, Blackhole: 1},
		vault: map[Kind]int{VaultDown: 4, VaultHang: 2, VaultBreakReply: 2, VaultSilent: 1}},
	"worst": {every: 3, load: 1, weight: map[Kind]int{Kill: 3, MachineLost: 1, Terminate: 3, ReloadConfig: 3, Pause: 2, SlowPool: 2, CostlyClass: 2, StallPath: 4, CutConnection: 5, HalfClose: 1,
		AddLatency: 2, LimitBandwidth: 1, Blackhole: 2, DropDatagrams: 2, DuplicateDatagrams: 1, TrafficSurge: 2, CallerCrash: 2, StaleEndpoints: 1, ImpatientCaller: 3, LateCancel: 2, CallerStopsReading: 1, ImmediateRetry: 1, ConnectionLimit: 2, UnidentifiedConnections: 2,
		DuplicateNotices: 2, RegistryDown: 1, StoreSlow: 1, StoreFail: 1},
		vault: map[Kind]int{VaultDown: 3, VaultSlow: 3, VaultRefusing: 3, VaultFailing: 4, VaultBreakReply: 3, VaultReorder: 2, VaultStrayReply: 3, VaultSilent: 3, VaultHang: 2}},
}

// Profiles are the names that Draw takes, in a fixed order.
func Profiles() []string {
	var out []string
	for p := range profiles {
		out = append(out, p)
	}
	sort.Strings(out)
	return out
}

// Draw draws a script from a seed by a profile, for a world of that size; rate 0 takes the profile's load. The same
// arguments give the same script.
func Draw(seed uint64, name string, servers, proxies int, length microtime.Time, rate float64) (Script, error) {
	return DrawWithEdges(seed, name, servers, proxies, 0, length, rate)
}

// DrawWithEdges is Draw for a world with edges before the servers.
func DrawWithEdges(seed uint64, name string, servers, proxies, edges int, length microtime.Time, rate float64) (Script, error) {
	return World{Servers: servers, Proxies: proxies, Edges: edges, Length: length, Rate: rate}.Draw(seed, name)
}

// Draw is the package's Draw for any world. With a vault, every third seed has the calling class guarded.
func (w World) Draw(seed uint64, name string) (Script, error) {
	p, ok := profiles[name]
	if !ok {
		return Script{}, wrong("profile", "unknown %q; there are %s", name, strings.Join(Profiles(), ", "))
	}
	rng := rand.New(rand.NewPCG(seed, 0x6661756c))
	s := Script{Seed: seed, Profile: name, Servers: w.Servers, Proxies: w.Proxies, WebFrontends: max(w.Proxies/2, 1), Edges: w.Edges, Length: w.Length,
		Rate: w.Rate, Store: rng.IntN(4) == 0, Gossip: w.Edges > 1 && seed%2 == 0, Vault: w.Vault, IdempotentOrders: w.Vault && seed%3 == 0}
	if w.Rate == 0 {
		s.Rate = math.Round(p.load * ratePerServer * float64(w.Servers) * (0.7 + 0.6*rng.Float64()))
	}
	if err := s.checkWorld(); err != nil {
		return s, err
	}
	n := w.Length.Duration().Seconds() * math.Sqrt(float64(w.Servers)) / p.every * (0.5 + rng.Float64())
	for range min(max(int(n+rng.Float64()), 1), MaxFaults) {
		s.Faults = append(s.Faults, s.RandomFault(rng))
	}
	s.SortFaults()
	return s, nil
}

// RandomFault draws one fault by the script's profile, or of any kind where it has none.
func (s *Script) RandomFault(rng *rand.Rand) Fault {
	p, ok := profiles[s.Profile]
	if !ok {
		p = profiles["worst"]
	}
	weights := p.weight
	if s.Vault {
		weights = maps.Clone(weights)
		maps.Copy(weights, p.vault)
	}
	all := make([]Kind, 0, len(weights))
	total := 0
	for k, w := range weights {
		if !s.Store && (k == StoreSlow || k == StoreFail) || s.Proxies == 0 && kinds[k].node == "p" {
			continue
		}
		all = append(all, k)
		total += w
	}
	slices.Sort(all)
	pick := rng.IntN(total)
	for _, k := range all {
		if pick -= weights[k]; pick < 0 {
			return s.RandomFaultOf(rng, k)
		}
	}
	panic("faults: weights") // the sum above is of the same weights
}

// RandomFaultOf draws one fault of a kind.
func (s *Script) RandomFaultOf(rng *rand.Rand, k Kind) Fault {
	r := kinds[k]
	f := Fault{Kind: k, At: microtime.Time(rng.Int64N(int64(s.Length)+1)) / 1000 * 1000}
	if r.peer {
		f.Node, f.Peer = s.randomPair(rng, k)
	} else if r.node != "" {
		f.Node = s.randomNode(rng, r.node[0])
		if s.Edges > 0 && strings.Contains(r.node, "e") && rng.IntN(5) == 0 {
			f.Node = s.randomNode(rng, 'e')
		}
	}
	if r.length { // mostly short, at times longer than any deadline
		f.For = microtime.Time(math.Exp(rng.Float64()*math.Log(400))*50) * microtime.Millisecond
	}
	if words := s.words(k); words != nil {
		f.What = words[rng.IntN(len(words))]
	}
	switch k {
	case Kill:
		f.Amount = float64(rng.IntN(12))
	case SlowPool, CostlyClass, TrafficSurge, VaultSlow:
		f.Amount = math.Round(10*math.Exp(rng.Float64()*math.Log(8))) / 10
	case CutConnection:
		f.Amount = math.Floor(math.Exp(rng.Float64() * math.Log(8000)))
	case AddLatency:
		f.Amount = float64(1 + rng.IntN(800))
	case LimitBandwidth:
		f.Amount = math.Floor(2000 * math.Exp(rng.Float64()*math.Log(50)))
	case DropDatagrams, DuplicateDatagrams, VaultRefusing, VaultFailing, VaultBreakReply, VaultStrayReply:
		f.Amount = math.Round(100*rng.Float64()) / 100
	case ImpatientCaller:
		f.Amount = float64(1 + rng.IntN(2500))
	case ConnectionLimit:
		f.Amount = float64(rng.IntN(8))
	case UnidentifiedConnections:
		f.Amount = float64(1 + rng.IntN(60))
	case StoreSlow:
		f.Amount = float64(1 + rng.IntN(3000))
	}
	return f
}

func (s *Script) randomNode(rng *rand.Rand, letter byte) string {
	return fmt.Sprintf("%c%d", letter, rng.IntN(max(s.count(letter), 1)))
}

// randomPair draws two nodes that talk with each other.
func (s *Script) randomPair(rng *rand.Rand, k Kind) (string, string) {
	server := rng.IntN(s.Servers)
	name := fmt.Sprintf("s%d", server)
	if k == DropDatagrams || k == DuplicateDatagrams {
		return name, "control"
	}
	peer := fmt.Sprintf("w%d", server)
	if s.Vault && rng.IntN(4) == 0 {
		if peer = "v0"; rng.IntN(2) == 0 {
			return peer, name
		}
		return name, peer
	}
	if s.Edges > 0 {
		edge := s.randomNode(rng, 'e')
		switch rng.IntN(4) {
		case 0:
			return edge, name
		case 1:
			return name, edge
		case 2: // callers talk with edges alone
			if s.Proxies > 0 {
				return s.randomNode(rng, 'p'), edge
			}
			return edge, name
		}
		return peer, name
	}
	switch n := rng.IntN(10); {
	case n < 5 && s.Proxies > 0:
		peer = s.randomNode(rng, 'p')
	case n < 6 && s.WebFrontends > 0:
		peer = s.randomNode(rng, 'o')
	}
	if rng.IntN(2) == 0 {
		return peer, name
	}
	return name, peer
}
