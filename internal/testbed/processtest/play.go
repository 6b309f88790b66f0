package processtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/faults"
)

// A script plays one log server, s0, of real processes that upgrade and die, under load:
//
//	term node=s0             an upgrade: a successor is started, and once it is ready the old process gets SIGTERM
//	kill node=s0|s1 for=     SIGKILL of the oldest or the youngest process; where none is left, one starts after a while
//	pause node=s0|s1 for=    SIGSTOP, and SIGCONT after a while
//	hup node=s0              the class grape-count comes or goes in the file, and all processes are told
//	stall, lag, thin node=s0 peer=w0    on the links to the worker pool, of all processes
//	dark, cut node=s0 peer=w0           the same, of what the node sends; or node=w0 peer=s0

// Options say how a script is played.
type Options struct {
	Program  string // as Build made it
	Settings json.RawMessage
	Calls    bool                             // intakes call a vault, which has its own troubles
	Log      func(format string, args ...any) // nil: nobody hears
}

// Outcome is what became of a run.
type Outcome struct {
	Violations               []string // rules, with all that is known of the request
	Answered, Unanswered     int
	Served, Rejected         int
	Upgrades, Starts         int
	Calls                    int // that the vault has read
	DisksLost, Indeterminate int // of a group: disks lost; answers that nobody knows
}

const (
	windowOf  = 13518 * time.Millisecond // of an intake in the settings that are played
	goneMost  = 5 * time.Second          // an old process after SIGTERM, before it is killed: more than its stop_ms
	triesMost = 4                        // of one intake
)

// calling is the class whose requests are played.
const calling = "lot-intake"

type play struct {
	script  faults.Script
	opts    Options
	srv     *Server
	vault   *Vault // nil: nothing is called
	relays  map[*Process]*Relay
	mu      sync.Mutex
	alive   []*Process // oldest first
	began   time.Time
	grape   bool
	closing atomic.Bool
	out     Outcome
	events  []string
	wg      sync.WaitGroup
	upgrade sync.Mutex // one at a time
}

// Play plays a script to its end, and judges what callers and worker pools saw.
func Play(script faults.Script, opts Options) (out Outcome, err error) {
	if err := script.Validate(); err != nil {
		return out, err
	}
	dir, err := os.MkdirTemp("", "pw")
	if err != nil {
		return out, err
	}
	defer os.RemoveAll(dir)
	listen, err := FreeAddress()
	if err != nil {
		return out, err
	}
	if opts.Calls {
		if opts.Settings, err = WithCalls(opts.Settings, calling); err != nil {
			return out, err
		}
	}
	p := &play{script: script, opts: opts, relays: map[*Process]*Relay{}, began: time.Now()}
	p.srv = &Server{Program: opts.Program, Dir: dir, Listen: listen, Settings: opts.Settings, StopMS: 3200, MemoryMB: 64, RunLog: NewRunLog()}
	if p.vault, err = vaultFor(opts.Settings); err != nil {
		return out, err
	}
	if p.vault != nil {
		defer p.vault.Close()
		p.srv.VaultAddress = p.vault.Addr()
	}
	if script.Store {
		p.srv.StoreFile = filepath.Join(dir, "store.toml")
		text := fmt.Sprintf("driver = \"sqlite\"\ndsn = %q\ntimeout_ms = 30000\n", filepath.Join(dir, "intakes.db"))
		if err := os.WriteFile(p.srv.StoreFile, []byte(text), 0o600); err != nil {
			return out, err
		}
	}
	defer func() {
		err = errors.Join(err, p.srv.Close())
		for _, r := range p.relays {
			r.Close()
		}
	}()
	first, err := p.start()
	if err != nil {
		return out, err
	}
	if err := first.Ready(); err != nil {
		return out, err
	}
	for i := range script.Proxies {
		p.wg.Add(1)
		go p.call(i)
	}
	var faulted sync.WaitGroup
	if opts.Calls {
		p.wg.Add(1)
		go p.troubleVault()
	}
	for _, f := range script.Faults {
		faulted.Add(1)
		go func() {
			defer faulted.Done()
			time.Sleep(time.Until(p.began.Add(f.At.Duration())))
			p.happen(f)
		}()
	}
	time.Sleep(time.Until(p.began.Add(script.Length.Duration())))
	faulted.Wait()
	p.closing.Store(true)
	p.wg.Wait()
	p.judge()
	return p.out, nil
}

func (p *play) log(format string, args ...any) {
	line := fmt.Sprintf("%7.3f ", time.Since(p.began).Seconds()) + fmt.Sprintf(format, args...)
	p.mu.Lock()
	p.events = append(p.events, line)
	p.mu.Unlock()
	if p.opts.Log != nil {
		p.opts.Log("%s", line)
	}
}

// start starts a process behind a relay to its worker pool.
func (p *play) start() (*Process, error) {
	var relay *Relay
	q, err := p.srv.Start(func(cfg map[string]any) {
		if r, err := NewRelay(cfg["pool"].(string)); err == nil {
			relay = r
			cfg["pool"] = r.Addr()
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		cfg["settings"] = p.settings()
	})
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.alive = append(p.alive, q)
	p.relays[q] = relay
	p.out.Starts++
	p.mu.Unlock()
	return q, nil
}

// settings, under the lock, are the file's, with the class that comes and goes.
func (p *play) settings() any {
	var set map[string]any
	if err := json.Unmarshal(p.opts.Settings, &set); err != nil {
		panic(err) // the caller's own
	}
	// Keys fill the module's memory long before a script is over, and what is refused is never run twice.
	if extra, ok := set["extra"].(map[string]any); ok {
		extra["memory_kb"] = 16e6
	}
	if p.grape {
		set["classes"] = append(set["classes"].([]any), map[string]any{"name": "grape-count", "aim_ms": 900, "hard_limit_ms": 2000, "worth": 3, "effect": "free"})
	}
	return set
}

// living drops what has ended, and starts a process where none is left.
func (p *play) living() []*Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alive = slices.DeleteFunc(p.alive, (*Process).Ended)
	return slices.Clone(p.alive)
}

func (p *play) target(node string) *Process {
	l := p.living()
	switch {
	case len(l) == 0:
		return nil
	case node == "s0":
		return l[0]
	}
	return l[len(l)-1]
}

func (p *play) revive() {
	if len(p.living()) > 0 {
		return
	}
	q, err := p.start()
	if err != nil {
		p.log("start: %v", err)
		return
	}
	if err := q.Ready(); err != nil {
		p.log("not ready: %v", err)
	}
}

func (p *play) happen(f faults.Fault) {
	p.log("%s %s %s for %v, %v", f.Kind, f.Node, f.Peer, f.For.Duration(), f.Amount)
	q := p.target(f.Node)
	switch f.Kind {
	case faults.Terminate:
		p.renew()
	case faults.Kill:
		if q != nil {
			_ = q.Signal(syscall.SIGKILL)
			_ = q.Wait()
		}
		time.Sleep(f.For.Duration())
		p.upgrade.Lock()
		p.revive()
		p.upgrade.Unlock()
	case faults.Pause:
		if q != nil {
			_ = q.Signal(syscall.SIGSTOP)
			time.Sleep(f.For.Duration())
			_ = q.Signal(syscall.SIGCONT)
		}
	case faults.ReloadConfig:
		p.mu.Lock()
		p.grape = !p.grape
		p.mu.Unlock()
		for _, q := range p.living() {
			var cfg map[string]any
			if text, err := os.ReadFile(q.Config); err != nil || json.Unmarshal(text, &cfg) != nil {
				continue
			}
			p.mu.Lock()
			cfg["settings"] = p.settings()
			p.mu.Unlock()
			if err := q.WriteConfig(cfg); err == nil {
				_ = q.Signal(syscall.SIGHUP)
			}
		}
	default:
		p.mu.Lock()
		relays := make([]*Relay, 0, len(p.relays))
		for _, r := range p.relays {
			relays = append(relays, r)
		}
		p.mu.Unlock()
		for _, r := range relays {
			heal, err := r.Apply(f)
			if err != nil {
				p.log("%v", err)
			} else if heal != nil {
				defer heal()
			}
		}
		time.Sleep(f.For.Duration())
	}
}

// renew is an upgrade as operators make it.
func (p *play) renew() {
	p.upgrade.Lock()
	defer p.upgrade.Unlock()
	old := p.target("s0")
	next, err := p.start()
	if err != nil {
		p.log("start: %v", err)
		return
	}
	if err := next.Ready(); err != nil {
		p.log("the successor is not ready")
		p.revive()
		return
	}
	if old == nil || old.Ended() {
		return
	}
	p.log("SIGTERM")
	_ = old.Signal(syscall.SIGTERM)
	select {
	case <-old.done:
	case <-time.After(goneMost):
		_ = old.Signal(syscall.SIGKILL)
		_ = old.Wait()
	}
	p.mu.Lock()
	p.out.Upgrades++
	p.mu.Unlock()
	p.revive()
}

// call is a caller: it sends intakes one after the other, each again until it is served, to whatever process it reaches.
func (p *play) call(i int) {
	defer p.wg.Done()
	rng := rand.New(rand.NewPCG(p.script.Seed, uint64(i)))
	var c *Conn
	for j := 0; !p.closing.Load(); j++ {
		body := fmt.Sprintf("lot %d/%d", i, j)
		for tries := 0; tries < triesMost && !p.closing.Load(); tries++ {
			if c == nil || !c.Usable() || rng.IntN(4) == 0 {
				if c != nil {
					c.Close()
				}
				var err error
				if c, err = Dial(p.srv.Listen); err != nil {
					c = nil
					p.count(func(o *Outcome) { o.Unanswered++ })
					time.Sleep(20 * time.Millisecond)
					tries-- // nobody is there: what was open when the server died comes again once it is back
					continue
				}
			}
			sent := time.Now()
			a, err := c.Send(Request{Class: calling, Key: body, Body: body, ArrivedAt: sent})
			var r thrift.Reply
			if err == nil {
				r, err = a.Await()
			}
			p.over(a.ID)
			if err != nil {
				p.count(func(o *Outcome) { o.Unanswered++ })
				continue
			}
			p.count(func(o *Outcome) { o.Answered++ })
			if r.Kind == thrift.ReplyAnswer {
				p.count(func(o *Outcome) { o.Served++ })
				if got := string(r.Body); got != p.resultOf(body) {
					p.broken("result: %s was answered %q", body, got)
				}
				break
			}
			if r.Kind == thrift.ReplyThrottled {
				p.count(func(o *Outcome) { o.Rejected++ })
				if runs := p.srv.RunLog.before(body, sent); len(runs) > 0 && p.knows(runs) {
					p.broken("refused: %s, though it had run by then: %v", body, runs)
				}
			}
			time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
		}
	}
	if c != nil {
		c.Close()
	}
}

func (p *play) count(f func(*Outcome)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.out)
}

func (p *play) broken(format string, args ...any) {
	p.count(func(o *Outcome) { o.Violations = append(o.Violations, fmt.Sprintf(format, args...)) })
}

// life numbers the processes' lives: one that was told by its predecessor lives that one's life on, and with a store of record
// each does.
func (p *play) life() map[*Pool]int {
	p.srv.mu.Lock()
	defer p.srv.mu.Unlock()
	out, n := map[*Pool]int{}, 0
	for _, q := range p.srv.all {
		if log := q.Log(); n == 0 || !p.script.Store && strings.Contains(log, "INFO serving") && !strings.Contains(log, "messages of the predecessor taken up") {
			n++
		}
		out[q.Pool] = n
	}
	return out
}

// knows says that the newest process lives on the life in which one of the runs was.
func (p *play) knows(runs []RunRecord) bool {
	lives := p.life()
	last := 0
	for _, n := range lives {
		last = max(last, n)
	}
	return slices.ContainsFunc(runs, func(r RunRecord) bool { return lives[r.By] == last })
}

// judge looks for intakes that ran twice in one life within their window. A process that was started with nobody to tell it
// begins a new life: it may run again what the one before had run.
func (p *play) judge() {
	lives := p.life()
	for body, runs := range p.srv.RunLog.all() {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if lives[a.By] == lives[b.By] && b.At.Sub(a.At) < windowOf {
					p.broken("duplicate: %s ran as %s and %v later as %s, in life %d", body, a.ID, b.At.Sub(a.At), b.ID, lives[a.By])
				}
			}
		}
	}
	p.judgeCalls()
	if len(p.out.Violations) > 0 {
		for _, e := range p.events {
			p.out.Violations = append(p.out.Violations, "    "+e)
		}
		for i, q := range p.srv.all {
			for line := range strings.Lines(q.Log()) {
				p.out.Violations = append(p.out.Violations, fmt.Sprintf("    process %d: %s", i, strings.TrimSpace(line)))
			}
		}
	}
}

// DrawScript is a script from a seed: upgrades, one after the other, and faults at any moment of them.
func DrawScript(seed uint64, seconds float64) faults.Script {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := faults.Script{Seed: seed, Servers: 1, Proxies: 6, Length: microtime.Time(seconds * 1e6), Rate: 1, Store: seed%2 == 0}
	at := func() microtime.Time { return microtime.Time(rng.Int64N(int64(s.Length))) }
	within := func(most microtime.Time) microtime.Time { return 1 + microtime.Time(rng.Int64N(int64(most))) }
	for range 1 + int(seconds/2) {
		s.Faults = append(s.Faults, faults.Fault{At: at(), Kind: faults.Terminate, Node: "s0"})
	}
	for range rng.IntN(4) {
		f := faults.Fault{At: at(), Node: []string{"s0", "s1"}[rng.IntN(2)], Kind: []faults.Kind{faults.Kill, faults.Pause, faults.ReloadConfig}[rng.IntN(3)]}
		if s.Servers = 2; f.Kind == faults.ReloadConfig {
			f.Node = "s0"
		} else {
			f.For = within(microtime.Second)
		}
		s.Faults = append(s.Faults, f)
	}
	s.Faults = append(s.Faults, DrawPathFaults(seed, rng.IntN(4), s.Length.Duration(), "s0", "w0")...)
	slices.SortFunc(s.Faults, func(a, b faults.Fault) int { return int(a.At - b.At) })
	return s
}
