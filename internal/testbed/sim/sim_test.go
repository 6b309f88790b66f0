package sim

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/invariant"
	"pewterline/internal/testbed/simnet"
)

func read(t *testing.T, path string) faults.Script {
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	s, err := faults.Parse(string(text))
	require.NoError(t, err, path)
	return s
}

func clean(t *testing.T, s faults.Script, out Outcome) {
	t.Helper()
	for _, v := range out.Violations {
		t.Errorf("%s\n%s", s.String(), v)
	}
}

// Scripts that once broke a rule, made small, and kept, and those on which a planted bug does: each says what went
// wrong. The program keeps its rules on them.
func TestKeptScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*/*.txt")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 22)
	for _, f := range files {
		s := read(t, f)
		out, err := Play(s, Options{})
		require.NoError(t, err)
		clean(t, s, out)
	}
}

// A fixed set of seeds of every profile keeps all rules. Longer hunts are the lab's.
func TestSeeds(t *testing.T) {
	for _, profile := range faults.Profiles() {
		t.Run(profile, func(t *testing.T) {
			t.Parallel()
			answers := 0
			for seed := uint64(1); seed <= 60; seed++ {
				s, err := faults.World{Servers: 3, Proxies: 4, Length: 8 * microtime.Second}.Draw(seed, profile)
				require.NoError(t, err)
				out, err := Play(s, Options{})
				require.NoError(t, err)
				clean(t, s, out)
				answers += out.Requests
			}
			require.Greater(t, answers, 60*100, "the worlds were at work")
		})
	}
}

// Two edges before three servers keep all rules, among them that no intake runs on two servers within its window.
func TestEdgeSeeds(t *testing.T) {
	t.Parallel()
	answers := 0
	for seed := uint64(1); seed <= 60; seed++ {
		s, err := faults.World{Servers: 3, Proxies: 3, Edges: 2, Length: 6 * microtime.Second}.Draw(seed, []string{"worst", "release", "noon"}[seed%3])
		require.NoError(t, err)
		out, err := Play(s, Options{})
		require.NoError(t, err)
		clean(t, s, out)
		answers += out.Requests
	}
	require.Greater(t, answers, 60*100)
}

// digests plays fifty seeds one after another.
func digests(t *testing.T) string {
	var b strings.Builder
	for seed := uint64(1); seed <= 50; seed++ {
		s, err := faults.World{Servers: 3, Proxies: 3, Length: 4 * microtime.Second}.Draw(seed, "worst")
		require.NoError(t, err)
		out, err := Play(s, Options{})
		require.NoError(t, err)
		fmt.Fprintf(&b, "%d %016x %d\n", seed, out.Digest, out.Events)
	}
	return b.String()
}

// The same seed is the same run, to every byte and time: in another process, with other numbers of threads, and
// whatever was played before.
func TestSameSeedSameRun(t *testing.T) {
	if os.Getenv("LAB_DIGESTS") != "" {
		fmt.Print("DIGESTS\n" + digests(t) + "END\n")
		return
	}
	here := digests(t)
	before := runtime.GOMAXPROCS(1)
	one := digests(t)
	runtime.GOMAXPROCS(before)
	require.Equal(t, here, one)
	cmd := exec.Command(os.Args[0], "-test.run=TestSameSeedSameRun")
	cmd.Env = append(os.Environ(), "LAB_DIGESTS=1", "GOMAXPROCS=8")
	out, err := cmd.Output()
	require.NoError(t, err)
	_, there, _ := strings.Cut(string(out), "DIGESTS\n")
	there, _, _ = strings.Cut(there, "END\n")
	require.Equal(t, here, there)
	s, err := faults.World{Servers: 3, Proxies: 3, Length: 4 * microtime.Second}.Draw(50, "worst")
	require.NoError(t, err)
	alone, err := Play(s, Options{})
	require.NoError(t, err)
	require.Contains(t, here, fmt.Sprintf("50 %016x", alone.Digest), "without the seeds before it")
	require.Equal(t, 50, strings.Count(here, "\n"))
}

// hard plays a script of a hard case for several traffics; each situation must have come about, and no rule may be
// broken.
func hard(t *testing.T, name string, begin func(*simulation), situations ...string) {
	t.Helper()
	seen := map[string]int{}
	for seed := range uint64(12) {
		s := read(t, "testdata/hard/"+name+".txt")
		s.Seed += seed
		out, err := Play(s, Options{beforeRun: begin})
		require.NoError(t, err)
		clean(t, s, out)
		for k, n := range out.SituationCounts {
			seen[k] += n
		}
	}
	for _, want := range situations {
		n := 0
		for k := range seen {
			if strings.Contains(k, want) {
				n += seen[k]
			}
		}
		require.Positive(t, n, "%q did not come about", want)
	}
}

// A proxy dies and returns with a stale list: it sends to a server that drains, to one that died and is back cold
// under the same name, and to an address that nobody holds.
func TestHardStaleList(t *testing.T) {
	hard(t, "stale-list", nil, "tried nobody", "served runningfalse class0 drain1", "boot life2", "farewell")
}

// A notice of cancellation that arrives after the answer, one between the run's end and the answer, and one for a
// number that was never used.
func TestHardGiveUpCrossesTheAnswer(t *testing.T) {
	hard(t, "give-up", nil, "give-up after the answer", "give-up between the run's end and the answer", "give-up for a number never used")
}

// A number that is used again while a give-up for it is under way: neither request is answered twice, and whoever
// else is on the server is served.
func TestHardNumberUsedAgain(t *testing.T) {
	errors, ended := 0, 0
	hard(t, "calm", func(l *simulation) {
		errors, ended = 0, 0
		l.clock.In(2*microtime.Second, func() {
			n := l.net.Node("x1")
			n.Boot()
			n.Dial("s0/thrift", func(e *simnet.Stream, err error) {
				e.SetHandler(&teller{errors: &errors, ended: &ended})
				for _, p := range [][]byte{call(l, 1, "1"), thrift.AppendGiveUp(nil, 1), call(l, 1, "2"), thrift.AppendGiveUp(nil, 1)} {
					e.Write(p)
				}
			})
		})
	})
	require.Equal(t, []int{1, 1}, []int{errors, ended}, "one error under that number, then the end")
}

func call(l *simulation, seq int32, id string) []byte {
	at := fmt.Sprint((&simnet.WallClock{}).UnixMilli(l.clock.Now()))
	return thrift.AppendCall(nil, seq, []thrift.Field{{Name: "class", Value: "block-view"}, {Name: "id", Value: "00000000000000f" + id}, {Name: "at", Value: at},
		{Name: "from", Value: "9"}, {Name: "tenant", Value: "hill-estate"}, {Name: "kb", Value: "20"}, {Name: "rank", Value: "0.2"}}, nil)
}

// teller counts the messages and the end of its connection.
type teller struct {
	in            []byte
	errors, ended *int
}

func (t *teller) Received(_ *simnet.Stream, p []byte) {
	t.in = append(t.in, p...)
	for {
		payload, n, err := thrift.SplitFrame(t.in)
		if err != nil || payload == nil {
			return
		}
		t.in = t.in[n:]
		if p, err := thrift.DecodeReply(payload); err == nil && p.Kind == thrift.ReplyException {
			*t.errors++
		}
	}
}
func (t *teller) EOF(e *simnet.Stream) { *t.ended++; e.Close() }
func (t *teller) Reset(*simnet.Stream) { *t.ended++ }

// The worker pool's link breaks inside a notice while SIGHUP moves it to another address and a drain begins.
func TestHardLinkBreaksInANoticeInTheMove(t *testing.T) {
	hard(t, "link-move-drain", nil, "link broke inside a notice", "bound anew", "at hup", "drain1")
}

// An intake's tries come by Thrift and by AJP, over two links that stall in turn.
func TestHardTwoFrontsStallInTurn(t *testing.T) {
	hard(t, "two-fronts", nil, "repeat by the other front", "repeat runningtrue", "at stall")
}

// A server is killed in the middle of a turn: what it wrote and had not flushed is lost, and its name returns cold.
func TestHardKilledInTheMiddleOfATurn(t *testing.T) {
	hard(t, "killed-mid-turn", nil, "at kill", "boot life2", "boot life3")
}

// SIGHUP moves the pools' links and the reports while the proxies restart in waves, runs go on and a server leaves: no
// intake runs twice, and no answer is lost.
func TestHardMoveWhileProxiesRestart(t *testing.T) {
	hard(t, "move-restart", nil, "at hup open2", "at hup open1", "bound anew", "caller left open", "drain1")
}

// The control plane is gone, then back, and lists come late: what reaches a server that drains, or none, is answered
// or never read.
func TestHardSilentRegistry(t *testing.T) {
	hard(t, "silent-registry", nil, "tried nobody", "boot life2", "drain1", "farewell")
}

// A release: half of 120 servers leave in steps and come back cold, with new lives, while seven in ten proxies restart at
// once with the lists that they had and the control plane is silent for a part of it.
func TestHardReleaseOfHalfTheFleet(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 2; seed++ {
		s := faults.Script{Seed: seed, Servers: 120, Proxies: 30, WebFrontends: 4, Length: 10 * microtime.Second, Rate: 2400}
		for i := range s.Servers / 2 {
			f := faults.Fault{At: microtime.Second + microtime.Time(i/10)*microtime.Second, Kind: faults.Terminate, Node: fmt.Sprintf("s%d", 2*i), For: 300 * microtime.Millisecond}
			if i%10 == 9 { // some die in place of leaving, in the middle of a turn
				f.Kind, f.Amount = faults.Kill, 5
			}
			s.Faults = append(s.Faults, f)
		}
		for i := range s.Proxies * 7 / 10 {
			s.Faults = append(s.Faults, faults.Fault{At: 3 * microtime.Second, Kind: faults.CallerCrash, Node: fmt.Sprintf("p%d", i), For: 400 * microtime.Millisecond})
		}
		s.Faults = append(s.Faults, faults.Fault{At: 3 * microtime.Second, Kind: faults.RegistryDown, For: 3 * microtime.Second})
		for i := range s.Servers / 4 {
			s.Faults = append(s.Faults, faults.Fault{At: 5 * microtime.Second, Kind: faults.ReloadConfig, Node: fmt.Sprintf("s%d", 4*i+1)})
		}
		s.SortFaults()
		out, err := Play(s, Options{})
		require.NoError(t, err)
		clean(t, s, out)
		require.Greater(t, out.Requests, 15_000)
		require.Greater(t, out.SituationCounts["boot life2"], 50)
		require.Positive(t, out.SituationCounts["tried nobody"])
		t.Logf("seed %d: worth %.3f, %d requests, %v", seed, out.WeightedGoodput, out.Requests, out.Answers)
	}
}

// A violation names the rule, the server, the virtual time and the request's whole history, and a crash of the
// program is a violation too.
func TestCrashIsAViolation(t *testing.T) {
	s := faults.Script{Seed: 1, Servers: 1, Proxies: 1, Length: 2 * microtime.Second, Rate: 5}
	out, err := Play(s, Options{beforeRun: func(l *simulation) {
		l.clock.In(microtime.Second, func() { _ = l.servers[0].host.Queue(func() { panic("as planted") }) })
	}})
	require.NoError(t, err)
	require.Len(t, out.Violations, 1)
	require.Equal(t, "crash/panic", out.Violations[0].Key())
	require.Equal(t, microtime.Second, out.Violations[0].At/microtime.Second*microtime.Second)
}

// What a script cannot be is an error, and nothing is played.
func TestFaultyScript(t *testing.T) {
	_, err := Play(faults.Script{Servers: 1, Length: microtime.Second, Faults: []faults.Fault{{Kind: "quake"}}}, Options{})
	require.ErrorContains(t, err, "fault 1: kind")
}

// The hunt asks, plays and learns in a fixed order: with the same seeds it is the same, however it is spread.
func TestHuntIsRepeatable(t *testing.T) {
	h := Search{FirstSeed: 1, LastSeed: 40, Profile: "worst", Servers: 2, Proxies: 2, Length: 2 * microtime.Second, Guided: true, Jobs: 4}
	a, err := h.Run()
	require.NoError(t, err)
	b, err := h.Run()
	require.NoError(t, err)
	require.Equal(t, []int{a.Runs, a.Situations, a.CorpusSize}, []int{b.Runs, b.Situations, b.CorpusSize})
	require.Equal(t, 40, a.Runs)
	require.Greater(t, a.Situations, 100)
	require.Empty(t, a.Findings)
}

// A failing script is made small as long as it fails in the same way.
func TestShrinkKeepsTheSort(t *testing.T) {
	s, err := faults.World{Servers: 2, Proxies: 2, Length: 3 * microtime.Second}.Draw(1, "worst")
	require.NoError(t, err)
	least, v, err := Shrink(s, 50, nil)
	require.NoError(t, err)
	require.Equal(t, invariant.Violation{}, v)
	require.Equal(t, s, least, "what breaks no rule stays as it is")
}

// BenchmarkWorst plays 12 servers, 4 proxies and 280 requests a second for ten virtual seconds.
func BenchmarkWorst(b *testing.B) { benchmark(b, 12, 4, 280) }

// BenchmarkLarge plays 200 servers, 24 proxies and 4,000 requests a second.
func BenchmarkLarge(b *testing.B) { benchmark(b, 200, 24, 4000) }

func benchmark(b *testing.B, servers, proxies int, rate float64) {
	var simulated microtime.Time
	requests := 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range b.N {
		s, err := faults.World{Servers: servers, Proxies: proxies, Length: 10 * microtime.Second, Rate: rate}.Draw(uint64(i+1), "worst")
		require.NoError(b, err)
		out, err := Play(s, Options{})
		require.NoError(b, err)
		simulated += out.Simulated
		requests += out.Requests
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(simulated.Duration().Seconds()/b.Elapsed().Seconds(), "simulated-s/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(requests), "allocs/request")
}
