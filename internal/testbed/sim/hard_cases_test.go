package sim

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/simnet"
)

// hardCase is a script for a situation that is hard to handle correctly.
type hardCase struct {
	script     string // file name in testdata/hard
	beforeRun  func(*simulation)
	situations []string // parts of the names of situations that must be reached
}

// requireClean plays the script with several seeds, and so with different traffic. No run may violate an invariant, and
// each situation must be reached in at least one run.
func (c hardCase) requireClean(t *testing.T) {
	t.Helper()
	seen := map[string]int{}
	for seed := range uint64(12) {
		script := readScript(t, "testdata/hard/"+c.script+".txt")
		script.Seed += seed
		outcome := playClean(t, script, Options{beforeRun: c.beforeRun})
		addCounts(seen, outcome.SituationCounts)
	}
	requireSituations(t, seen, c.situations)
}

// addCounts adds the counts of added to totals.
func addCounts(totals, added map[string]int) {
	for name, count := range added {
		totals[name] += count
	}
}

// requireSituations requires that, for each wanted part of a name, a situation with such a name was reached.
func requireSituations(t *testing.T, seen map[string]int, wanted []string) {
	t.Helper()
	for _, want := range wanted {
		total := 0
		for name, count := range seen {
			if strings.Contains(name, want) {
				total += count
			}
		}
		require.Positive(t, total, "no situation matching %q was reached", want)
	}
}

// Proxies restart with stale endpoint lists. They send requests to a draining server, to a server that restarted cold
// under the same name, and to an address at which no server listens.
func TestHardStaleEndpointList(t *testing.T) {
	hardCase{script: "stale-list", situations: []string{
		"tried nobody", "served runningfalse class0 drain1", "boot life2", "farewell",
	}}.requireClean(t)
}

// Cancellations arrive after the answer, between the end of the run and the answer, and for a sequence ID that was
// never used.
func TestHardCancellationRacesWithResponse(t *testing.T) {
	hardCase{script: "give-up", situations: []string{
		"give-up after the answer", "give-up between the run's end and the answer", "give-up for a number never used",
	}}.requireClean(t)
}

// A client reuses a sequence ID while a cancellation of that ID is in transit. Neither request may be answered twice,
// and the other clients of the server must be served.
func TestHardSequenceIDReused(t *testing.T) {
	var reader replyCounter
	reuse := func(sim *simulation) {
		reader = replyCounter{}
		sim.clock.In(2*microtime.Second, func() {
			node := sim.net.Node("x1")
			node.Boot()
			node.Dial("s0/thrift", func(stream *simnet.Stream, _ error) {
				stream.SetHandler(&reader)
				stream.Write(blockView(sim, 1, "1"))
				stream.Write(thrift.AppendGiveUp(nil, 1))
				stream.Write(blockView(sim, 1, "2"))
				stream.Write(thrift.AppendGiveUp(nil, 1))
			})
		})
	}
	hardCase{script: "calm", beforeRun: reuse}.requireClean(t)
	require.Equal(t, []int{1, 1}, []int{reader.errors, reader.closed}, "one error, then the end of the connection")
}

// blockView returns the frame of a request that arrives now. The digit is the last digit of its request ID.
func blockView(sim *simulation, sequenceID int32, digit string) []byte {
	now := fmt.Sprint((&simnet.WallClock{}).UnixMilli(sim.clock.Now()))
	return thrift.AppendCall(nil, sequenceID, []thrift.Field{
		{Name: "class", Value: "block-view"},
		{Name: "id", Value: "00000000000000f" + digit},
		{Name: "at", Value: now},
		{Name: "from", Value: "9"},
		{Name: "tenant", Value: "hill-estate"},
		{Name: "kb", Value: "20"},
		{Name: "rank", Value: "0.2"},
	}, nil)
}

// replyCounter counts the error replies on its connection, and how often the connection ended.
type replyCounter struct {
	received       []byte
	errors, closed int
}

func (c *replyCounter) Received(_ *simnet.Stream, in []byte) {
	c.received = append(c.received, in...)
	for {
		payload, size, err := thrift.SplitFrame(c.received)
		if err != nil || payload == nil {
			return
		}
		c.received = c.received[size:]
		if reply, err := thrift.DecodeReply(payload); err == nil && reply.Kind == thrift.ReplyException {
			c.errors++
		}
	}
}

func (c *replyCounter) EOF(stream *simnet.Stream) {
	c.closed++
	stream.Close()
}

func (c *replyCounter) Reset(*simnet.Stream) { c.closed++ }

// The worker pool's connection breaks in the middle of a notice while a SIGHUP reload moves it to another address and
// a drain begins.
func TestHardPoolLinkBreaksInsideNoticeDuringReload(t *testing.T) {
	hardCase{script: "link-move-drain", situations: []string{
		"link broke inside a notice", "bound anew", "at hup", "drain1",
	}}.requireClean(t)
}

// The attempts of a request arrive by Thrift and by AJP, over two connections that stall alternately.
func TestHardRetriesOverTwoStallingFrontends(t *testing.T) {
	hardCase{script: "two-fronts", situations: []string{
		"repeat by the other front", "repeat runningtrue", "at stall",
	}}.requireClean(t)
}

// A server is killed in the middle of a turn. Its unflushed output is lost, and it restarts cold under the same name.
func TestHardKilledDuringTurn(t *testing.T) {
	hardCase{script: "killed-mid-turn", situations: []string{"at kill", "boot life2", "boot life3"}}.requireClean(t)
}

// SIGHUP reloads move the worker pool connections and the health reports to other addresses while the proxies restart
// in waves, runs are in progress and a server drains. No idempotent request may run twice, and no answer may be lost.
func TestHardReloadWhileProxiesRestart(t *testing.T) {
	hardCase{script: "move-restart", situations: []string{
		"at hup open2", "at hup open1", "bound anew", "caller left open", "drain1",
	}}.requireClean(t)
}

// The control plane fails and recovers, so that endpoint lists are outdated. Requests that reach a draining server, or
// an address without a server, must be answered or never be read.
func TestHardSilentRegistry(t *testing.T) {
	hardCase{script: "silent-registry", situations: []string{
		"tried nobody", "boot life2", "drain1", "farewell",
	}}.requireClean(t)
}

// The hard cases of downstream calls, each with the situations that it must reach.
func TestHardVaultCalls(t *testing.T) {
	for script, situations := range map[string][]string{
		"vault-dies": {
			"vault link down open2 why1", "vault link down open2 why3", "ended 3 answeredfalse gaveuptrue",
		},
		"vault-moves": {"at hup open3 run2", "bound anew run2", "vault link down open0 why0"},
		"vault-drain": {
			"at term open3 run2", "call given up drain1", "call given up drain2", "ended 3 answeredtrue",
		},
		"vault-give-up": {
			"reply crosses unask", "supply for a run that has ended", "ended 3 answeredfalse gaveuptrue",
		},
		"vault-pool-cut":   {"bound anew run2", "link broke inside a notice", "supply for a run that has ended"},
		"vault-pool-hangs": {"deep check bad", "deep check good", "bound anew run2"},
	} {
		t.Run(script, hardCase{script: script, situations: situations}.requireClean)
	}
}

// A release: half of 120 servers restart in steps and return cold, as new incarnations. Meanwhile 70% of the proxies
// restart at the same time with their old endpoint lists, and the control plane is down for a part of the release.
func TestHardReleaseOfHalfTheFleet(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 2; seed++ {
		outcome := playClean(t, releaseScript(seed), Options{})
		require.Greater(t, outcome.Requests, 15_000)
		require.Greater(t, outcome.SituationCounts["boot life2"], 50)
		require.Positive(t, outcome.SituationCounts["tried nobody"])
		t.Logf("seed %d: weighted goodput %.3f, %d requests, %v",
			seed, outcome.WeightedGoodput, outcome.Requests, outcome.Answers)
	}
}

// releaseScript returns the script of the release.
func releaseScript(seed uint64) faults.Script {
	script := faults.Script{
		Seed: seed, Servers: 120, Proxies: 30, WebFrontends: 4, Length: 10 * microtime.Second, Rate: 2400,
	}
	add := func(fault faults.Fault) { script.Faults = append(script.Faults, fault) }
	for i := range script.Servers / 2 {
		fault := faults.Fault{
			At:   microtime.Second + microtime.Time(i/10)*microtime.Second,
			Kind: faults.Terminate,
			Node: nodeName('s', 2*i),
			For:  300 * microtime.Millisecond,
		}
		if i%10 == 9 { // Some crash in the middle of a turn instead of draining.
			fault.Kind = faults.Kill
			fault.Amount = 5
		}
		add(fault)
	}
	for i := range script.Proxies * 7 / 10 {
		add(faults.Fault{
			At: 3 * microtime.Second, Kind: faults.CallerCrash, Node: nodeName('p', i), For: 400 * microtime.Millisecond,
		})
	}
	add(faults.Fault{At: 3 * microtime.Second, Kind: faults.RegistryDown, For: 3 * microtime.Second})
	for i := range script.Servers / 4 {
		add(faults.Fault{At: 5 * microtime.Second, Kind: faults.ReloadConfig, Node: nodeName('s', 4*i+1)})
	}
	script.SortFaults()
	return script
}
