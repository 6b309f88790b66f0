package faults

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"pewterline/internal/microtime"
)

// Setup is the topology, duration and load of the simulation that a script is drawn for.
type Setup struct {
	Servers int
	Proxies int
	Edges   int // edges in front of the servers; 0: callers connect to the servers
	Length  microtime.Time
	Rate    float64 // first attempts a second in all; 0: derived from the profile's load
	Vault   bool
}

// drawStream selects the random stream of scripts, so that it differs from other streams of the same seed.
const drawStream = 0x6661756c

// Draw generates a random script from a seed and the profile of that name. The same arguments give the same script.
// With a vault, every third seed has idempotent orders.
func (s Setup) Draw(seed uint64, name string) (Script, error) {
	chosen, ok := profiles[name]
	if !ok {
		return Script{}, fieldErrorf("profile", "unknown %q; want one of %s", name, strings.Join(Profiles(), ", "))
	}
	rng := rand.New(rand.NewPCG(seed, drawStream))
	script := Script{
		Seed:             seed,
		Profile:          name,
		Servers:          s.Servers,
		Proxies:          s.Proxies,
		WebFrontends:     max(s.Proxies/2, 1),
		Edges:            s.Edges,
		Length:           s.Length,
		Rate:             s.Rate,
		Store:            rng.IntN(4) == 0,
		Gossip:           s.Edges > 1 && seed%2 == 0,
		Vault:            s.Vault,
		IdempotentOrders: s.Vault && seed%3 == 0,
	}
	if s.Rate == 0 {
		script.Rate = math.Round(chosen.load * ratePerServer * float64(s.Servers) * (0.7 + 0.6*rng.Float64()))
	}
	if err := script.checkSetup(); err != nil {
		return script, err
	}
	mean := s.Length.Duration().Seconds() * math.Sqrt(float64(s.Servers)) / chosen.interval * (0.5 + rng.Float64())
	for range min(max(int(mean+rng.Float64()), 1), MaxFaults) {
		script.Faults = append(script.Faults, script.RandomFault(rng))
	}
	script.SortFaults()
	return script, nil
}

// RandomFault draws one fault by the weights of the script's profile, or of the default one if the script has none.
func (s *Script) RandomFault(rng *rand.Rand) Fault {
	weights := s.kindWeights()
	all := slices.Sorted(maps.Keys(weights))
	total := 0
	for _, kind := range all {
		total += weights[kind]
	}
	pick := rng.IntN(total)
	for _, kind := range all {
		if pick -= weights[kind]; pick < 0 {
			return s.RandomFaultOf(rng, kind)
		}
	}
	panic("faults: weights") // unreachable: pick is below the total of the weights
}

// kindWeights returns the relative frequency of each kind that can occur in the script's simulation.
func (s *Script) kindWeights() map[Kind]int {
	chosen, ok := profiles[s.Profile]
	if !ok {
		chosen = profiles[defaultProfile]
	}
	weights := maps.Clone(chosen.weights)
	if s.Vault {
		maps.Copy(weights, chosen.vaultWeights)
	}
	maps.DeleteFunc(weights, func(kind Kind, _ int) bool {
		return !s.Store && (kind == StoreSlow || kind == StoreFail) || s.Proxies == 0 && rules[kind].node == "p"
	})
	return weights
}

// RandomFaultOf draws one fault of a kind.
func (s *Script) RandomFaultOf(rng *rand.Rand, kind Kind) Fault {
	rule := rules[kind]
	fault := Fault{Kind: kind, At: microtime.Time(rng.Int64N(int64(s.Length)+1)) / 1000 * 1000}
	if rule.peer {
		fault.Node, fault.Peer = s.randomPair(rng, kind)
	} else if rule.node != "" {
		fault.Node = s.randomNode(rng, rule.node[0])
		if s.Edges > 0 && strings.Contains(rule.node, "e") && rng.IntN(5) == 0 {
			fault.Node = s.randomNode(rng, 'e')
		}
	}
	if rule.length { // 50 ms to 20 s, short ones more often, the longest beyond any deadline
		fault.For = microtime.Time(math.Exp(rng.Float64()*math.Log(400))*50) * microtime.Millisecond
	}
	if values := s.allowedWhat(kind); values != nil {
		fault.What = values[rng.IntN(len(values))]
	}
	if draw, ok := amountDrawers[kind]; ok {
		fault.Amount = draw(rng)
	}
	return fault
}

// amountDrawers maps each kind that uses Amount to the function that draws it.
var amountDrawers = map[Kind]func(*rand.Rand) float64{
	Kill:                    uniform(0, 12),
	SlowPool:                slowdown,
	CostlyClass:             slowdown,
	TrafficSurge:            slowdown,
	VaultSlow:               slowdown,
	CutConnection:           bytesUntilCut,
	AddLatency:              uniform(1, 800),
	LimitBandwidth:          bandwidth,
	DropDatagrams:           probability,
	DuplicateDatagrams:      probability,
	VaultRefusing:           probability,
	VaultFailing:            probability,
	VaultBreakReply:         probability,
	VaultStrayReply:         probability,
	ImpatientCaller:         uniform(1, 2500),
	OverlappingAttempts:     uniform(10, 500),
	ConnectionLimit:         uniform(0, 8),
	UnidentifiedConnections: uniform(1, 60),
	StoreSlow:               uniform(1, 3000),
}

// uniform returns a function that draws one of n consecutive integers, starting at first.
func uniform(first, n int) func(*rand.Rand) float64 {
	return func(rng *rand.Rand) float64 { return float64(first + rng.IntN(n)) }
}

// slowdown draws a factor from 1 to 8, small ones more often.
func slowdown(rng *rand.Rand) float64 {
	return math.Round(10*math.Exp(rng.Float64()*math.Log(8))) / 10
}

// bytesUntilCut draws a number of bytes up to 8000, small ones more often.
func bytesUntilCut(rng *rand.Rand) float64 {
	return math.Floor(math.Exp(rng.Float64() * math.Log(8000)))
}

// bandwidth draws 2000 to 100,000 bytes a second, small ones more often.
func bandwidth(rng *rand.Rand) float64 {
	return math.Floor(2000 * math.Exp(rng.Float64()*math.Log(50)))
}

// probability draws a multiple of 0.01 from 0 to 1.
func probability(rng *rand.Rand) float64 { return math.Round(100*rng.Float64()) / 100 }

func (s *Script) randomNode(rng *rand.Rand, letter byte) string {
	return fmt.Sprintf("%c%d", letter, rng.IntN(max(s.count(letter), 1)))
}

// randomPair draws two nodes that have connections or datagrams between them.
func (s *Script) randomPair(rng *rand.Rand, kind Kind) (node, peer string) {
	number := rng.IntN(s.Servers)
	server := fmt.Sprintf("s%d", number)
	if kind == DropDatagrams || kind == DuplicateDatagrams {
		return server, "control"
	}
	pool := fmt.Sprintf("w%d", number)
	if s.Vault && rng.IntN(4) == 0 {
		return inEitherOrder(rng, "v0", server)
	}
	if s.Edges > 0 {
		return s.randomEdgePair(rng, server, pool)
	}
	counterpart := pool
	switch n := rng.IntN(10); {
	case n < 5 && s.Proxies > 0:
		counterpart = s.randomNode(rng, 'p')
	case n < 6 && s.WebFrontends > 0:
		counterpart = s.randomNode(rng, 'o')
	}
	return inEitherOrder(rng, counterpart, server)
}

// randomEdgePair draws two connected nodes of a simulation with edges, in which callers connect to the edges only.
func (s *Script) randomEdgePair(rng *rand.Rand, server, pool string) (node, peer string) {
	edge := s.randomNode(rng, 'e')
	switch rng.IntN(4) {
	case 0:
		return edge, server
	case 1:
		return server, edge
	case 2:
		if s.Proxies > 0 {
			return s.randomNode(rng, 'p'), edge
		}
		return edge, server
	}
	return pool, server
}

func inEitherOrder(rng *rand.Rand, a, b string) (node, peer string) {
	if rng.IntN(2) == 0 {
		return a, b
	}
	return b, a
}
