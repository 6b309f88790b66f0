// Package sim plays a fault script: it builds a world of log servers, each the whole program on a virtual host, with
// stand-ins for all that they talk to, has the faults happen, and has the rules judged after every step.
package sim

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/server"
	"pewterline/internal/settings"
	"pewterline/internal/store"
	"pewterline/internal/testbed/fakes"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/faultsearch"
	"pewterline/internal/testbed/invariant"
	"pewterline/internal/testbed/simnet"
	"pewterline/internal/transport"
)

const (
	sockets   = 64 // the fewest that a configuration may have, so that tables fill
	memory    = 32 << 20
	officeMax = 48
	afterward = 20 * microtime.Second // the run goes on for after the last job
)

// Options say how a script is played, beside what it says itself.
type Options struct {
	Log   func(line string) // what the servers log, and what goes wrong; nil: nobody hears
	Every func(at microtime.Time)
	// Stop at the first violation; else all go on to be counted.
	StopAtFirst bool
	begin, end  func(*world) // of a test: they may add to the world, and look at what has become of it
	// Of a test: returns what stands between one process of a server and its event loop; nil: nothing does.
	interpose func() interposer
}

// Outcome is what became of a run.
type Outcome struct {
	Violations      []invariant.Violation
	Digest          uint64
	Situations      []faultsearch.Situation
	Simulated       microtime.Time
	Events          uint64
	Turns           uint64
	Requests        int            // tries that the servers have answered
	Answers         map[string]int // by kind
	Replies         map[string]int // of the vault to calls, by status
	Example         []string       // what was seen of a request that was served after its run had made a call
	Asked           map[string]int // jobs, by class
	Served          map[string]int
	Worth           float64        // served within its aim, as a share of what was asked
	SituationCounts map[string]int // situations that came about, by name
	Panic           string         // the program's, with the violation that it is
}

type world struct {
	script  faults.Script
	opts    Options
	w       *simnet.World
	net     *simnet.Net
	st      *fakes.Environment
	vault   *fakes.Vault   // nil: requests call nothing
	stop    microtime.Time // from the notice to leave until the process is killed
	obs     *invariant.Observer
	base    config.Config
	servers []*simServer
	edges   []*simServer
	callers map[string]*fakes.Caller
	turns   uint64
	stopped bool
}

// simServer is one log server over its lives.
type simServer struct {
	l       *world
	name    string
	host    *simnet.Host
	program *server.Server
	pool    *fakes.Pool
	store   *fakes.Store
	cfg     config.Config
	moves   int  // of its links and reports, by SIGHUP
	edge    bool // it has no worker pool: the servers do its work
	leaving bool
	back    microtime.Time // after its end it is away for so long
}

// Play plays a script to its end. The same script gives the same outcome.
func Play(script faults.Script, opts Options) (out Outcome, err error) {
	if err := script.Validate(); err != nil {
		return out, err
	}
	deployment := deploymentOf(script)
	set, gauges, err := settings.Parse([]byte(deployment.settings), 0)
	if err != nil {
		return out, fmt.Errorf("lab: %w", err)
	}
	var figures struct {
		Rules struct {
			ColdFrom float64 `json:"cold_from"`
			RampMS   float64 `json:"ramp_time_ms"`
			Stop     float64 `json:"stop_sending_within_ms"`
			Fall     float64 `json:"fall_multiple"`
			TipMS    float64 `json:"tip_after_ms"`
			Grace    float64 `json:"grace_to_answer_ms"`
		} `json:"rules"`
		Extra struct {
			Memory float64 `json:"memory_kb"`
			Factor float64 `json:"run_factor"`
		} `json:"extra"`
	}
	if err := json.Unmarshal([]byte(deployment.settings), &figures); err != nil {
		return out, fmt.Errorf("lab: %w", err)
	}
	ms := func(v float64) microtime.Time { return microtime.Time(v * 1000) }
	l := &world{script: script, opts: opts, w: simnet.NewWorld(script.Seed), stop: deployment.stop, callers: map[string]*fakes.Caller{}}
	l.net = simnet.NewNet(l.w, simnet.Quality{Latency: 500, Jitter: 300, Bandwidth: 50 << 20})
	l.obs = invariant.New(l.w, invariant.Limits{Settings: set, AnswerGrace: ms(figures.Rules.Grace), DrainGrace: ms(figures.Rules.Stop), Cores: set.Cores,
		MaxConcurrencyPerCore: figures.Rules.Fall, MaxConcurrencyWindow: ms(figures.Rules.TipMS), MemoryKB: figures.Extra.Memory, RunningMemoryFactor: figures.Extra.Factor,
		WarmUpMinSpeed: figures.Rules.ColdFrom, WarmUpTime: ms(figures.Rules.RampMS), Store: script.Store})
	if script.Edges > 0 {
		l.obs.OnRequest = func(id, server, class string, body []byte) { l.st.Requests.Add(id, server, class, body) }
		l.obs.OnRequestEnded = func(id string) { l.st.Requests.MarkEnded(id) }
	}
	l.net.Tap = l.obs.Tap
	l.w.After = l.obs.Check
	l.st = fakes.NewEnvironment(fakes.EnvironmentConfig{
		Net:        l.net,
		Settings:   set,
		Deployment: deployment.traffic,
		Seed:       script.Seed,
	})
	l.base = config.Config{ShutdownTimeout: l.stop, MemoryLimit: memory, SocketLimit: sockets, Settings: set, Gauges: gauges,
		AJP: config.AJP{Listen: "on", BodyTimeout: 2 * microtime.Second, MaxBody: 2 << 10, MaxConnections: officeMax}}
	if script.Vault {
		l.vault = fakes.NewVault(l.st, script.Seed)
		l.base.VaultAddress = "v0/a"
	}
	l.build()
	if opts.begin != nil {
		opts.begin(l)
	}
	l.run(&out)
	if opts.end != nil {
		opts.end(l)
	}
	out.Violations, out.Digest, out.Situations = l.obs.Violations, l.w.Digest(), l.obs.Situations()
	out.Simulated, out.Events, out.Answers = l.w.Since(), l.w.Events(), l.obs.Answers
	out.Asked, out.Served = l.st.Asked, l.st.Served
	out.Replies, out.Example = l.obs.Replies, l.obs.Example
	out.Turns, out.SituationCounts = l.turns, l.obs.SituationCounts
	for _, s := range append(slices.Clone(l.servers), l.edges...) {
		out.Turns += s.host.Turns()
	}
	for _, n := range out.Answers {
		out.Requests += n
	}
	if l.st.WeightAsked > 0 {
		out.Worth = l.st.WeightServed / l.st.WeightAsked
	}
	return out, nil
}

// run lets the world go on to its end. A panic of the program is a violation, like any other.
func (l *world) run(out *Outcome) {
	defer func() {
		if p := recover(); p != nil {
			out.Panic = fmt.Sprint(p)
			l.obs.Violations = append(l.obs.Violations, invariant.Violation{Rule: "crash", Server: "?", At: l.w.Since(),
				Message: "panic: " + out.Panic})
			if l.opts.Log != nil {
				l.opts.Log(stack())
			}
		}
	}()
	end := simnet.Start + l.script.Length
	next := simnet.Start
	for at := simnet.Start; at < end+afterward; at = min(at+100*microtime.Millisecond, end+afterward) {
		for l.w.Step(at) {
			if l.opts.StopAtFirst && len(l.obs.Violations) > 0 {
				return
			}
		}
		if l.opts.Every != nil && at >= next {
			next += microtime.Second
			l.opts.Every(at - simnet.Start)
		}
		if at > end+2*microtime.Second && l.obs.Unanswered() == 0 && l.quiet() {
			return
		}
	}
}

// quiet says that no server is leaving or away.
func (l *world) quiet() bool {
	for _, s := range append(slices.Clone(l.servers), l.edges...) {
		if s.host.Ended || s.leaving {
			return false
		}
	}
	return true
}

func (l *world) log(format string, args ...any) {
	if l.opts.Log != nil {
		l.opts.Log(fmt.Sprintf("%10.6f ", float64(l.w.Since())/1e6) + fmt.Sprintf(format, args...))
	}
}

func (l *world) build() {
	var list []string
	for i := range l.script.Servers {
		s := &simServer{l: l, name: fmt.Sprintf("s%d", i)}
		s.cfg = l.base
		s.cfg.Name, s.cfg.ControlAddress = s.name, "control/a"
		if l.script.Store {
			s.store = fakes.NewStore(l.w)
		}
		l.servers = append(l.servers, s)
		list = append(list, s.name)
		s.boot(false)
	}
	for i := range l.script.Edges {
		s := &simServer{l: l, name: fmt.Sprintf("e%d", i), edge: true}
		s.cfg = l.base
		s.cfg.Name, s.cfg.ControlAddress, s.cfg.Fleet.CallerID = s.name, "control/a", uint32(1000+i)
		for _, name := range list {
			s.cfg.Fleet.Members = append(s.cfg.Fleet.Members, config.Member{Name: name, Address: name + "/thrift"})
		}
		if s.cfg.Fleet.GossipListen = s.name + "/exchange"; l.script.Gossip {
			for j := range l.script.Edges {
				if j != i {
					s.cfg.Fleet.GossipPeers = append(s.cfg.Fleet.GossipPeers, fmt.Sprintf("e%d/exchange", j))
				}
			}
		}
		l.edges = append(l.edges, s)
		s.boot(false)
	}
	if l.script.Edges > 0 {
		list = nil
		for _, e := range l.edges {
			list = append(list, e.name)
		}
	}
	until := simnet.Start + l.script.Length
	callers := l.script.Proxies + l.script.WebFrontends
	for i := range callers {
		name, isAJP := fmt.Sprintf("p%d", i), false
		rate := l.script.Rate / float64(max(callers, 1))
		if l.script.Proxies > 0 && l.script.WebFrontends > 0 {
			rate = 0.75 * l.script.Rate / float64(l.script.Proxies)
		}
		if i >= l.script.Proxies {
			name, isAJP = fmt.Sprintf("o%d", i-l.script.Proxies), true
			if l.script.Proxies > 0 {
				rate = 0.25 * l.script.Rate / float64(l.script.WebFrontends)
			}
		}
		l.callers[name] = fakes.NewCaller(l.st, fakes.CallerConfig{
			Name:      name,
			Number:    i + 1,
			AJP:       isAJP,
			Rate:      rate,
			Until:     until,
			Endpoints: list,
			Seed:      l.script.Seed,
		})
	}
	for i := range callers {
		if i < l.script.Proxies && l.script.WebFrontends > 0 {
			a, b := l.callers[fmt.Sprintf("p%d", i)], l.callers[fmt.Sprintf("o%d", i%l.script.WebFrontends)]
			a.OtherProtocol, b.OtherProtocol = b, a
		}
	}
	for _, f := range l.script.Faults {
		l.w.At(simnet.Start+f.At, func() { l.happen(f) })
	}
}

// boot starts a life of the server, with a worker pool of its own.
func (s *simServer) boot(cold bool) {
	l := s.l
	node := l.net.Node(s.name)
	node.Boot()
	s.leaving = false
	if !s.edge {
		s.pool = fakes.NewPool(l.st, fakes.PoolConfig{Server: s.name, Cold: cold, Seed: l.script.Seed})
		s.cfg.PoolAddress = s.pool.Addr()
	}
	rng := l.w.Fork(l.script.Seed, fmt.Sprintf("%s/%d", s.name, node.Incarnation))
	s.cfg.Settings.Seed = rng.Uint64()
	logf := func(f string, a ...any) {
		if l.opts.Log != nil {
			l.log(s.name+": "+f, a...)
		}
	}
	var err error
	if s.program, err = server.New(s.cfg, &simnet.WallClock{}, logf); err != nil {
		panic(err) // the settings are our own
	}
	l.obs.ServerStarted(s.name, node.Incarnation)
	l.obs.CallsRoutedTo(s.name, s.cfg.VaultAddress)
	srv := s.program
	between := l.opts.interposer()
	if controllers, ok := between.(controllerInterposer); ok {
		srv.UseController(controllers.newController)
	}
	s.host = simnet.NewHost(node, simnet.HostConfig{
		Options: transport.Options{MaxConns: sockets - 40, MaxBuffered: memory / 8, Logf: logf},
		Handler: between.handler(srv),
		Rand:    rng,
		Cost:    simnet.Cost{Turn: 40, KB: 15},
		Begin: func(t *transport.Loop) {
			if s.store != nil {
				if err := srv.UseStore(life{s.store, node, node.Incarnation}, l.w.Now()); err != nil {
					panic(err) // the stand-in loads what it has
				}
			}
			if err := t.SetDatagramPeer(s.cfg.ControlAddress); err != nil {
				panic(err) // a virtual host takes any
			}
			srv.Attach(between.eventLoop(t))
		},
	})
	for i, a := range []string{"thrift", "ajp", "exchange"} {
		if err := s.host.Listen(s.name+"/"+a, i); err != nil {
			panic(err) // the life before has closed them
		}
	}
	s.host.OnStop = func() { s.gone(true, false) }
	if s.edge || l.script.Edges == 0 {
		l.st.Registry.List(s.name)
	} else {
		l.st.Registry.Hide(s.name)
	}
}

// life is the store as one life of a server sees it: once that is gone, it has nothing more written.
type life struct {
	*fakes.Store
	node *simnet.Node
	life int
}

func (k life) Record(r store.Record, done func(error)) {
	if k.node.Up() && k.node.Incarnation == k.life {
		k.Store.Record(r, done)
	}
}

// gone takes down what goes with the process, and plans the next life.
func (s *simServer) gone(itself, machine bool) {
	l := s.l
	l.turns += s.host.Turns()
	l.obs.ServerStopped(s.name, itself)
	if s.pool != nil {
		s.pool.Kill(machine)
	}
	l.log("%s is gone, itself %v", s.name, itself)
	l.w.In(max(s.back, microtime.Millisecond), func() { s.boot(true) })
}

// kill ends the process.
func (s *simServer) kill(machine bool, away microtime.Time) {
	if s.host.Ended {
		return
	}
	s.back = away
	s.host.Kill(machine)
	s.gone(false, machine)
}

// term sends the notice to leave; the process is killed when its time is up.
func (s *simServer) term(away microtime.Time) {
	if s.host.Ended || s.leaving {
		return
	}
	s.leaving, s.back = true, away
	host, srv, l := s.host, s.program, s.l
	if host.PausedUntil() > l.w.Now() { // a signal reaches a process that stands still when it goes on
		l.w.At(host.PausedUntil(), func() {
			if !host.Ended {
				s.leaving = false
				s.term(away)
			}
		})
		return
	}
	l.obs.DrainSent(s.name)
	_ = host.Queue(func() {}) // the signal wakes the process
	_ = host.Loop().Execute(func() { srv.Drain(l.w.Now()) })
	l.w.In(l.stop, func() {
		if !host.Ended {
			s.host.Kill(false)
			s.gone(true, false)
		}
	})
}

// hup moves the worker pool's link, the reports and the calls to other addresses and tells the process.
func (s *simServer) hup() {
	if s.host.Ended {
		return
	}
	s.pool.ChangeAddress()
	s.moves++
	at := string(rune('a' + s.moves%2))
	next := s.cfg
	next.PoolAddress, next.ControlAddress = s.pool.Addr(), "control/"+at
	if s.l.vault != nil {
		next.VaultAddress = "v0/" + at
	}
	s.cfg = next
	srv := s.program
	_ = s.host.Loop().Execute(func() {
		if err := srv.Reload(next); err != nil {
			s.l.log("%s: %v", s.name, err)
		} else {
			s.l.obs.CallsRoutedTo(s.name, next.VaultAddress)
		}
	})
}

func (l *world) server(name string) *simServer {
	var i int
	if name != "" && name[0] == 'e' {
		if n, _ := fmt.Sscanf(name, "e%d", &i); n == 1 && i < len(l.edges) {
			return l.edges[i]
		}
		return nil
	}
	if n, _ := fmt.Sscanf(strings.TrimLeft(name, "sw"), "%d", &i); n == 1 && i < len(l.servers) && (name[0] == 's' || name[0] == 'w') {
		return l.servers[i]
	}
	return nil
}
