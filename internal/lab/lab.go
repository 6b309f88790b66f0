// Package lab plays a fault script: it builds a world of log servers, each the whole program on a virtual host, with
// stand-ins for all that they talk to, has the faults happen, and has the rules judged after every step.
package lab

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"pewterline/internal/config"
	"pewterline/internal/decide/search"
	"pewterline/internal/edge"
	"pewterline/internal/faults"
	"pewterline/internal/micro"
	"pewterline/internal/rules"
	"pewterline/internal/standin"
	"pewterline/internal/store"
	"pewterline/internal/transport"
	"pewterline/internal/virtual"
	"pewterline/internal/wire"
)

const (
	sockets   = 64 // the fewest that a configuration may have, so that tables fill
	memory    = 32 << 20
	officeMax = 48
	afterward = 20 * micro.Second // the run goes on for after the last job
)

// Options say how a script is played, beside what it says itself.
type Options struct {
	Log   func(line string) // what the servers log, and what goes wrong; nil: nobody hears
	Every func(at micro.Time)
	// Stop at the first violation; else all go on to be counted.
	StopAtFirst bool
	begin, end  func(*world) // of a test: they may add to the world, and look at what has become of it
}

// Outcome is what became of a run.
type Outcome struct {
	Violations []rules.Violation
	Digest     uint64
	Reached    []search.Situation
	Simulated  micro.Time
	Events     uint64
	Turns      uint64
	Requests   int            // tries that the servers have answered
	Answers    map[string]int // by kind
	Replies    map[string]int // of the vault to calls, by status
	Example    []string       // what was seen of a request that was served after its run had made a call
	Asked      map[string]int // jobs, by class
	Served     map[string]int
	Worth      float64        // served within its aim, as a share of what was asked
	Seen       map[string]int // situations that came about, by name
	Panic      string         // the program's, with the violation that it is
}

type world struct {
	script  faults.Script
	opts    Options
	w       *virtual.World
	net     *virtual.Net
	st      *standin.Stage
	vault   *standin.Vault // nil: requests call nothing
	stop    micro.Time     // from the notice to leave until the process is killed
	obs     *rules.Observer
	base    config.Config
	servers []*server
	edges   []*server
	callers map[string]*standin.Caller
	turns   uint64
	stopped bool
}

// server is one log server over its lives.
type server struct {
	l       *world
	name    string
	host    *virtual.Host
	srv     *edge.Server
	pool    *standin.Pool
	store   *standin.Store
	cfg     config.Config
	moves   int  // of its links and reports, by SIGHUP
	edge    bool // it has no worker pool: the servers do its work
	leaving bool
	back    micro.Time // after its end it is away for so long
}

// Play plays a script to its end. The same script gives the same outcome.
func Play(script faults.Script, opts Options) (out Outcome, err error) {
	if err := script.Check(); err != nil {
		return out, err
	}
	deployment := deploymentOf(script)
	set, gauges, err := wire.Parse([]byte(deployment.settings), 0)
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
	ms := func(v float64) micro.Time { return micro.Time(v * 1000) }
	l := &world{script: script, opts: opts, w: virtual.NewWorld(script.Seed), stop: deployment.stop, callers: map[string]*standin.Caller{}}
	l.net = virtual.NewNet(l.w, virtual.Quality{Latency: 500, Jitter: 300, Bandwidth: 50 << 20})
	l.obs = rules.New(l.w, rules.Rules{Settings: set, Grace: ms(figures.Rules.Grace), DrainMost: ms(figures.Rules.Stop), Cores: set.Cores,
		Fall: figures.Rules.Fall, FallOver: ms(figures.Rules.TipMS), MemoryKB: figures.Extra.Memory, RunFactor: figures.Extra.Factor,
		ColdFrom: figures.Rules.ColdFrom, Ramp: ms(figures.Rules.RampMS), Store: script.Store})
	if script.Edges > 0 {
		l.obs.OnRequest = func(id, server, class string, body []byte) { l.st.Book.Add(id, server, class, body) }
		l.obs.OnOver = func(id string) { l.st.Book.Over(id) }
	}
	l.net.Tap = l.obs.Tap
	l.w.After = l.obs.Check
	l.st = standin.NewStage(l.net, set, deployment.traffic, script.Seed)
	l.base = config.Config{ShutdownTimeout: l.stop, MemoryLimit: memory, SocketLimit: sockets, Settings: set, Gauges: gauges,
		AJP: config.AJP{Listen: "on", BodyTimeout: 2 * micro.Second, MaxBody: 2 << 10, MaxConnections: officeMax}}
	if script.Vault {
		l.vault = standin.NewVault(l.st, script.Seed)
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
	out.Violations, out.Digest, out.Reached = l.obs.Violations, l.w.Digest(), l.obs.Reached()
	out.Simulated, out.Events, out.Answers = l.w.Since(), l.w.Events(), l.obs.Answers
	out.Asked, out.Served = l.st.Asked, l.st.Served
	out.Replies, out.Example = l.obs.Replies, l.obs.Example
	out.Turns, out.Seen = l.turns, l.obs.Seen
	for _, s := range append(slices.Clone(l.servers), l.edges...) {
		out.Turns += s.host.Turns()
	}
	for _, n := range out.Answers {
		out.Requests += n
	}
	if l.st.Wanted > 0 {
		out.Worth = l.st.Worth / l.st.Wanted
	}
	return out, nil
}

// run lets the world go on to its end. A panic of the program is a violation, like any other.
func (l *world) run(out *Outcome) {
	defer func() {
		if p := recover(); p != nil {
			out.Panic = fmt.Sprint(p)
			l.obs.Violations = append(l.obs.Violations, rules.Violation{Rule: "crash", Server: "?", At: l.w.Since(),
				Text: "panic: " + out.Panic})
			if l.opts.Log != nil {
				l.opts.Log(stack())
			}
		}
	}()
	end := virtual.Start + l.script.Length
	next := virtual.Start
	for at := virtual.Start; at < end+afterward; at = min(at+100*micro.Millisecond, end+afterward) {
		for l.w.Step(at) {
			if l.opts.StopAtFirst && len(l.obs.Violations) > 0 {
				return
			}
		}
		if l.opts.Every != nil && at >= next {
			next += micro.Second
			l.opts.Every(at - virtual.Start)
		}
		if at > end+2*micro.Second && l.obs.Open() == 0 && l.quiet() {
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
		s := &server{l: l, name: fmt.Sprintf("s%d", i)}
		s.cfg = l.base
		s.cfg.Name, s.cfg.ControlAddress = s.name, "control/a"
		if l.script.Store {
			s.store = standin.NewStore(l.w)
		}
		l.servers = append(l.servers, s)
		list = append(list, s.name)
		s.boot(false)
	}
	for i := range l.script.Edges {
		s := &server{l: l, name: fmt.Sprintf("e%d", i), edge: true}
		s.cfg = l.base
		s.cfg.Name, s.cfg.ControlAddress, s.cfg.Fleet.CallerID = s.name, "control/a", uint32(1000+i)
		for _, name := range list {
			s.cfg.Fleet.Members = append(s.cfg.Fleet.Members, config.Member{Name: name, Address: name + "/thrift"})
		}
		if s.cfg.Fleet.GossipListen = s.name + "/exchange"; l.script.Advice {
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
	until := virtual.Start + l.script.Length
	callers := l.script.Proxies + l.script.Offices
	for i := range callers {
		name, isAJP := fmt.Sprintf("p%d", i), false
		rate := l.script.Rate / float64(max(callers, 1))
		if l.script.Proxies > 0 && l.script.Offices > 0 {
			rate = 0.75 * l.script.Rate / float64(l.script.Proxies)
		}
		if i >= l.script.Proxies {
			name, isAJP = fmt.Sprintf("o%d", i-l.script.Proxies), true
			if l.script.Proxies > 0 {
				rate = 0.25 * l.script.Rate / float64(l.script.Offices)
			}
		}
		l.callers[name] = standin.NewCaller(l.st, name, i+1, isAJP, rate, until, list, l.script.Seed)
	}
	for i := range callers {
		if i < l.script.Proxies && l.script.Offices > 0 {
			a, b := l.callers[fmt.Sprintf("p%d", i)], l.callers[fmt.Sprintf("o%d", i%l.script.Offices)]
			a.Other, b.Other = b, a
		}
	}
	for _, f := range l.script.Faults {
		l.w.At(virtual.Start+f.At, func() { l.happen(f) })
	}
}

// boot starts a life of the server, with a worker pool of its own.
func (s *server) boot(cold bool) {
	l := s.l
	node := l.net.Node(s.name)
	node.Boot()
	s.leaving = false
	if !s.edge {
		s.pool = standin.NewPool(l.st, s.name, l.script.Seed, cold)
		s.cfg.PoolAddress = s.pool.Addr()
	}
	rng := l.w.Fork(l.script.Seed, fmt.Sprintf("%s/%d", s.name, node.Life))
	s.cfg.Settings.Seed = rng.Uint64()
	logf := func(f string, a ...any) {
		if l.opts.Log != nil {
			l.log(s.name+": "+f, a...)
		}
	}
	var err error
	if s.srv, err = edge.New(s.cfg, &virtual.Wall{}, logf); err != nil {
		panic(err) // the settings are our own
	}
	l.obs.Boots(s.name, node.Life)
	l.obs.CallsAt(s.name, s.cfg.VaultAddress)
	srv := s.srv
	s.host = virtual.NewHost(node, transport.Options{MaxConns: sockets - 40, MaxBuffered: memory / 8, Logf: logf}, srv, rng,
		virtual.Cost{Turn: 40, KB: 15}, func(t *transport.Loop) {
			if s.store != nil {
				if err := srv.UseStore(life{s.store, node, node.Life}, l.w.Now()); err != nil {
					panic(err) // the stand-in loads what it has
				}
			}
			if err := t.SetDatagramPeer(s.cfg.ControlAddress); err != nil {
				panic(err) // a virtual host takes any
			}
			srv.Attach(t)
		})
	for i, a := range []string{"thrift", "ajp", "exchange"} {
		if err := s.host.Listen(s.name+"/"+a, i); err != nil {
			panic(err) // the life before has closed them
		}
	}
	s.host.OnStop = func() { s.gone(true, false) }
	if s.edge || l.script.Edges == 0 {
		l.st.Control.List(s.name)
	} else {
		l.st.Control.Hide(s.name)
	}
}

// life is the store as one life of a server sees it: once that is gone, it has nothing more written.
type life struct {
	*standin.Store
	node *virtual.Node
	life int
}

func (k life) Record(r store.Record, done func(error)) {
	if k.node.Up() && k.node.Life == k.life {
		k.Store.Record(r, done)
	}
}

// gone takes down what goes with the process, and plans the next life.
func (s *server) gone(itself, machine bool) {
	l := s.l
	l.turns += s.host.Turns()
	l.obs.Gone(s.name, itself)
	if s.pool != nil {
		s.pool.Kill(machine)
	}
	l.log("%s is gone, itself %v", s.name, itself)
	l.w.In(max(s.back, micro.Millisecond), func() { s.boot(true) })
}

// kill ends the process.
func (s *server) kill(machine bool, away micro.Time) {
	if s.host.Ended {
		return
	}
	s.back = away
	s.host.Kill(machine)
	s.gone(false, machine)
}

// term sends the notice to leave; the process is killed when its time is up.
func (s *server) term(away micro.Time) {
	if s.host.Ended || s.leaving {
		return
	}
	s.leaving, s.back = true, away
	host, srv, l := s.host, s.srv, s.l
	if host.PausedUntil() > l.w.Now() { // a signal reaches a process that stands still when it goes on
		l.w.At(host.PausedUntil(), func() {
			if !host.Ended {
				s.leaving = false
				s.term(away)
			}
		})
		return
	}
	l.obs.Noticed(s.name)
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
func (s *server) hup() {
	if s.host.Ended {
		return
	}
	s.pool.Move()
	s.moves++
	at := string(rune('a' + s.moves%2))
	next := s.cfg
	next.PoolAddress, next.ControlAddress = s.pool.Addr(), "control/"+at
	if s.l.vault != nil {
		next.VaultAddress = "v0/" + at
	}
	s.cfg = next
	srv := s.srv
	_ = s.host.Loop().Execute(func() {
		if err := srv.Reload(next); err != nil {
			s.l.log("%s: %v", s.name, err)
		} else {
			s.l.obs.CallsAt(s.name, next.VaultAddress)
		}
	})
}

func (l *world) server(name string) *server {
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
