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

// hardCase is a script of a situation that is easy to get wrong.
type hardCase struct {
	script     string // file name in testdata/hard
	beforeRun  func(*simulation)
	situations []string // parts of names, each of a situation that must come about
}

// requireClean plays the script for several traffics: no invariant may be broken, and each situation must come about
// in one of them.
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

// addCounts adds counts to others.
func addCounts(counts, more map[string]int) {
	for what, times := range more {
		counts[what] += times
	}
}

// requireSituations requires that for each wanted part of a name a situation has come about.
func requireSituations(t *testing.T, seen map[string]int, wanted []string) {
	t.Helper()
	for _, want := range wanted {
		total := 0
		for name, times := range seen {
			if strings.Contains(name, want) {
				total += times
			}
		}
		require.Positive(t, total, "%q did not come about", want)
	}
}

// A proxy dies and returns with a stale list: it sends to a server that drains, to one that died and is back cold
// under the same name, and to an address that nobody holds.
func TestHardStaleList(t *testing.T) {
	hardCase{script: "stale-list", situations: []string{
		"tried nobody", "served runningfalse class0 drain1", "boot life2", "farewell",
	}}.requireClean(t)
}

// A cancellation that arrives after the answer, one between the run's end and the answer, and one for a sequence ID
// that was never used.
func TestHardCancellationCrossesTheAnswer(t *testing.T) {
	hardCase{script: "give-up", situations: []string{
		"give-up after the answer", "give-up between the run's end and the answer", "give-up for a number never used",
	}}.requireClean(t)
}

// A sequence ID that is used again while a cancellation of it is on its way: neither request is answered twice, and
// whoever else is on the server is served.
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
	require.Equal(t, []int{1, 1}, []int{reader.errors, reader.ended}, "one error under that ID, then the end")
}

// blockView returns the frame of a request that arrives now. The digit is the last one of its ID.
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

// replyCounter counts the errors and the end of its connection.
type replyCounter struct {
	received      []byte
	errors, ended int
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
	c.ended++
	stream.Close()
}

func (c *replyCounter) Reset(*simnet.Stream) { c.ended++ }

// The worker pool's link breaks inside a notice while SIGHUP moves it to another address and a drain begins.
func TestHardLinkBreaksInANoticeInTheMove(t *testing.T) {
	hardCase{script: "link-move-drain", situations: []string{
		"link broke inside a notice", "bound anew", "at hup", "drain1",
	}}.requireClean(t)
}

// The attempts of a request come by Thrift and by AJP, over two links that stall in turn.
func TestHardTwoFrontendsStallInTurn(t *testing.T) {
	hardCase{script: "two-fronts", situations: []string{
		"repeat by the other front", "repeat runningtrue", "at stall",
	}}.requireClean(t)
}

// A server is killed in the middle of a turn: what it wrote and had not flushed is lost, and its name returns cold.
func TestHardKilledInTheMiddleOfATurn(t *testing.T) {
	hardCase{script: "killed-mid-turn", situations: []string{"at kill", "boot life2", "boot life3"}}.requireClean(t)
}

// SIGHUP moves the pools' links and the reports while the proxies restart in waves, runs go on and a server leaves: no
// idempotent request runs twice, and no answer is lost.
func TestHardMoveWhileProxiesRestart(t *testing.T) {
	hardCase{script: "move-restart", situations: []string{
		"at hup open2", "at hup open1", "bound anew", "caller left open", "drain1",
	}}.requireClean(t)
}

// The control plane is gone, then back, and lists come late: what reaches a server that drains, or none, is answered
// or never read.
func TestHardSilentRegistry(t *testing.T) {
	hardCase{script: "silent-registry", situations: []string{
		"tried nobody", "boot life2", "drain1", "farewell",
	}}.requireClean(t)
}

// The hard cases of calls, each with the situations that make it hard.
func TestHardCalls(t *testing.T) {
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

// A release: half of 120 servers leave in steps and come back cold, with new incarnations, while seven in ten proxies
// restart at once with the lists that they had and the control plane is silent for a part of it.
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
		if i%10 == 9 { // Some die in place of leaving, in the middle of a turn.
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
