// Package clusterplay plays groups of real processes by scripts of faults, and judges what callers and worker pools saw.
package clusterplay

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/anishathalye/porcupine"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/processtest"
)

// A script for a group plays servers s0 to sN-1, which hold copies for each other, under load:
//
//	kill node=s0 for=      SIGKILL, and another process after a while
//	vanish node=s0 for=    the same, and its disk is lost; where the copies would not bear that now, it is a kill
//	pause node=s0 for=     SIGSTOP, and SIGCONT after a while
//	stall, lag, thin, dark, cut node=s0 peer=s1    on the links between both, whoever opened them; dark and cut: from s0 to s1 alone
//	store-fail node=s0 for=     its disk is full for a while
//	store-slow node=s0 for=     its disk is slow for a while

// groupPlay is a group that is played.
type groupPlay struct {
	script  faults.Script
	opts    processtest.Options
	g       *processtest.Cluster
	began   time.Time
	closing atomic.Bool
	mu      sync.Mutex
	out     processtest.Outcome
	events  []string
	history []porcupine.Operation
	busy    []sync.Mutex // of each server: one fault of its process at a time
	losing  sync.Mutex   // one disk at a time
	wg      sync.WaitGroup
}

const triesMost = 12 // of one intake

// onceModel is what callers may be told of an intake, one after the other: once it is served, it is with that result, and it is not
// refused. What nobody was told of may have run or not.
var onceModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) (out [][]porcupine.Operation) {
		by := map[string][]porcupine.Operation{}
		for _, o := range h {
			by[o.Input.(string)] = append(by[o.Input.(string)], o)
		}
		for _, k := range by {
			out = append(out, k)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, _, out any) (bool, any) {
		ran, o := state.(string), out.(processtest.RequestOutcome)
		switch o.Kind {
		case thrift.ReplyAnswer:
			return ran == "" || ran == o.Result, o.Result
		case thrift.ReplyThrottled:
			return ran == "", ran
		}
		return true, ran
	},
}

// Play plays a script for a group to its end, and judges what callers and worker pools saw. The program has to be built with
// the tag faults where disks are to fail.
func Play(script faults.Script, opts processtest.Options) (out processtest.Outcome, err error) {
	if err := script.Validate(); err != nil {
		return out, err
	}
	copies := 3
	if script.Servers >= 5 {
		copies = 5
	}
	g, err := processtest.NewCluster(processtest.ClusterConfig{
		Program:  opts.Program,
		Settings: opts.Settings,
		Servers:  script.Servers,
		Replicas: copies,
	})
	if g != nil {
		defer func() { err = errors.Join(err, g.Close()) }()
	}
	if err != nil {
		return out, err
	}
	g.RunLog.NamedResults = true
	if err := g.StartAll(); err != nil {
		return out, err
	}
	p := &groupPlay{script: script, opts: opts, g: g, began: time.Now(), busy: make([]sync.Mutex, script.Servers)}
	p.out.Starts = script.Servers
	for i := range script.Proxies {
		p.wg.Add(1)
		go p.call(i)
	}
	var faulted sync.WaitGroup
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
	if err := g.AwaitStable(); err != nil {
		p.broken("rest: %v", err)
		for id := range p.g.Servers {
			s, err := p.state(id + 1)
			p.broken("rest: server %d: epoch %d, changing %v, marked %d, %+v, %v", id+1, s.Epoch, s.Changing, s.Acknowledged, s.Counters, err)
		}
	} else {
		p.ask()
	}
	p.judge()
	return p.out, nil
}

func (p *groupPlay) log(format string, args ...any) {
	line := fmt.Sprintf("%7.3f ", time.Since(p.began).Seconds()) + fmt.Sprintf(format, args...)
	p.mu.Lock()
	p.events = append(p.events, line)
	p.mu.Unlock()
	if p.opts.Log != nil {
		p.opts.Log("%s", line)
	}
}

func (p *groupPlay) count(f func(*processtest.Outcome)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.out)
}

func (p *groupPlay) broken(format string, args ...any) {
	p.count(func(o *processtest.Outcome) { o.Violations = append(o.Violations, fmt.Sprintf(format, args...)) })
}

// server is the number of a node, from 1; 0: none.
func server(node string) int {
	var i int
	if _, err := fmt.Sscanf(node, "s%d", &i); err != nil {
		return 0
	}
	return i + 1
}

func (p *groupPlay) happen(f faults.Fault) {
	id, peer := server(f.Node), server(f.Peer)
	switch f.Kind {
	case faults.Kill, faults.MachineLost:
		p.busy[id-1].Lock()
		defer p.busy[id-1].Unlock()
		lost := f.Kind == faults.MachineLost && p.bears()
		if lost {
			defer p.losing.Unlock()
		}
		p.log("server %d is killed, its disk lost: %v", id, lost)
		if err := p.g.Kill(id); err != nil {
			p.broken("kill: %v", err)
			return
		}
		if lost {
			if err := p.g.Wipe(id); err != nil {
				p.broken("wipe: %v", err)
				return
			}
			p.count(func(o *processtest.Outcome) { o.DisksLost++ })
		}
		time.Sleep(f.For.Duration())
		// It does not start on a full disk.
		if err := p.g.Eventually(func() error { return p.g.Start(id) }); err != nil {
			p.broken("start: %v", err)
		}
		p.count(func(o *processtest.Outcome) { o.Starts++ })
	case faults.Pause:
		p.busy[id-1].Lock()
		defer p.busy[id-1].Unlock()
		p.log("server %d is stopped for %v", id, f.For.Duration())
		_ = p.g.Servers[id-1].Process.Signal(syscall.SIGSTOP)
		time.Sleep(f.For.Duration())
		_ = p.g.Servers[id-1].Process.Signal(syscall.SIGCONT)
	case faults.StoreFail, faults.StoreSlow:
		what := map[faults.Kind]string{faults.StoreFail: "full", faults.StoreSlow: "slow"}[f.Kind]
		p.log("the disk of server %d is %s for %v", id, what, f.For.Duration())
		_ = p.g.SetDiskFault(id, what)
		time.Sleep(f.For.Duration())
		_ = p.g.SetDiskFault(id, "")
	default:
		p.log("%s from %d to %d for %v, %v", f.Kind, id, peer, f.For.Duration(), f.Amount)
		there, back := p.g.RelayBetween(id, peer), p.g.RelayBetween(peer, id)
		late := time.Duration(f.Amount * float64(time.Millisecond))
		switch f.Kind {
		case faults.StallPath:
			there.Hold(processtest.Forward, processtest.Backward)
			back.Hold(processtest.Forward, processtest.Backward)
		case faults.Blackhole:
			there.Drop(processtest.Forward)
			back.Drop(processtest.Backward)
		case faults.AddLatency:
			there.AddLatency(late, processtest.Forward, processtest.Backward)
			back.AddLatency(late, processtest.Forward, processtest.Backward)
		case faults.LimitBandwidth:
			there.LimitBandwidth(int(f.Amount), processtest.Forward, processtest.Backward)
			back.LimitBandwidth(int(f.Amount), processtest.Forward, processtest.Backward)
		case faults.CutConnection:
			there.Cut(int(f.Amount), processtest.Forward)
			return
		default:
			p.broken("script: %s is no fault of a group", f.Kind)
			return
		}
		time.Sleep(f.For.Duration())
		there.Heal()
		back.Heal()
	}
}

// bears says that the copies bear the loss of a disk now: no other was lost whose place is not taken. It holds losing then.
func (p *groupPlay) bears() bool {
	if !p.losing.TryLock() {
		return false
	}
	var best processtest.State
	for id := range p.g.Servers {
		if m := p.g.Servers[id]; m.Process != nil && !m.Process.Ended() {
			if s, err := p.state(id + 1); err == nil && s.Epoch > best.Epoch {
				best = s
			}
		}
	}
	ok := best.Epoch > 0 && !best.Changing
	for _, m := range best.Members {
		// One that can't be asked may have lost its disk, and may not be back yet.
		if m.Lives != m.Life || !m.Up {
			ok = false
		}
	}
	if !ok {
		p.losing.Unlock()
	}
	return ok
}

// state asks a server that may be stopped, and waits no longer than a while.
func (p *groupPlay) state(id int) (processtest.State, error) {
	type told struct {
		s   processtest.State
		err error
	}
	ch := make(chan told, 1)
	go func() {
		s, err := p.g.State(id)
		ch <- told{s, err}
	}()
	select {
	case t := <-ch:
		return t.s, t.err
	case <-time.After(500 * time.Millisecond):
		return processtest.State{}, errors.New("procs: no answer")
	}
}

// call is a caller: it sends intakes one after the other, each again, at whatever server, until it is served or given up.
func (p *groupPlay) call(i int) {
	defer p.wg.Done()
	rng := rand.New(rand.NewPCG(p.script.Seed, uint64(i)))
	for j := 0; !p.closing.Load(); j++ {
		key := fmt.Sprintf("lot %d/%d", i, j)
		for tries := 0; tries < triesMost && !p.closing.Load(); tries++ {
			if p.try(i, 1+rng.IntN(len(p.g.Servers)), key, tries > 0) == thrift.ReplyAnswer {
				time.Sleep(time.Duration(5+rng.IntN(20)) * time.Millisecond)
				break
			}
			time.Sleep(time.Duration(10+rng.IntN(90)) * time.Millisecond)
		}
	}
}

// try sends one try; 0: there was no answer.
func (p *groupPlay) try(caller, id int, key string, retry bool) thrift.ReplyKind {
	began := time.Since(p.began)
	request := processtest.NewIntake(key)
	request.Retry = retry
	told, err := p.g.Send(id, request)
	ended := time.Since(p.began)
	if err != nil { // it may run at any time, or never
		told, ended = processtest.RequestOutcome{}, time.Hour
	}
	p.mu.Lock()
	p.history = append(p.history, porcupine.Operation{ClientId: caller, Input: key, Output: told, Call: int64(began), Return: int64(ended)})
	p.mu.Unlock()
	p.count(func(o *processtest.Outcome) {
		switch {
		case err != nil:
			o.Unanswered++
		case told.Kind == thrift.ReplyAnswer:
			o.Answered++
			o.Served++
		case told.Kind == thrift.ReplyThrottled:
			o.Answered++
			o.Rejected++
		default:
			o.Answered++
			o.Indeterminate++
		}
	})
	return told.Kind
}

// ask asks each server for what was served, once all faults are over.
func (p *groupPlay) ask() {
	p.mu.Lock()
	var keys []string
	for _, o := range p.history {
		if k := o.Input.(string); o.Output.(processtest.RequestOutcome).Kind == thrift.ReplyAnswer && !slices.Contains(keys, k) {
			keys = append(keys, k)
		}
	}
	p.mu.Unlock()
	for i, key := range keys {
		id := 1 + i%len(p.g.Servers)
		if kind := p.try(-1, id, key, true); kind != thrift.ReplyAnswer {
			p.broken("lost: %s was served, and server %d answers %d", key, id, kind)
		}
	}
}

// judge looks for intakes that ran twice, and for a history that fits no order.
func (p *groupPlay) judge() {
	for _, twice := range p.g.RunLog.DuplicateRuns() {
		p.broken("duplicate: %s", twice)
	}
	if got := porcupine.CheckOperationsTimeout(onceModel, p.history, time.Minute); got != porcupine.Ok {
		p.broken("order: the history is %v", got)
		for _, o := range p.history {
			p.broken("    %v", o)
		}
	}
	if len(p.out.Violations) > 0 {
		for _, e := range p.events {
			p.out.Violations = append(p.out.Violations, "    "+e)
		}
		p.out.Violations = append(p.out.Violations, strings.Split(p.g.Log(), "\n")...)
	}
}

// DrawScript is a script for a group, from a seed: at each moment some of its servers, disks and links are spoilt.
func DrawScript(seed uint64, seconds float64) faults.Script {
	rng := rand.New(rand.NewPCG(seed, 2))
	s := faults.Script{Seed: seed, Servers: []int{3, 5}[seed%2], Proxies: 6, Length: microtime.Time(seconds * 1e6), Rate: 1}
	kinds := []faults.Kind{faults.Kill, faults.MachineLost, faults.MachineLost, faults.MachineLost, faults.MachineLost, faults.MachineLost, faults.Pause, faults.StallPath, faults.Blackhole, faults.AddLatency, faults.LimitBandwidth, faults.CutConnection, faults.StoreFail, faults.StoreSlow}
	for range int(3 * seconds) {
		f := faults.Fault{At: microtime.Time(rng.Int64N(int64(s.Length))), Kind: kinds[rng.IntN(len(kinds))], Node: fmt.Sprint("s", rng.IntN(s.Servers))}
		f.For = 1 + microtime.Time(rng.Int64N(int64(microtime.Second)))
		switch f.Kind {
		case faults.StallPath, faults.Blackhole, faults.AddLatency, faults.LimitBandwidth, faults.CutConnection:
			i := server(f.Node)
			f.Peer = fmt.Sprint("s", (i+rng.IntN(s.Servers-1))%s.Servers)
		}
		switch f.Kind {
		case faults.AddLatency:
			f.Amount = float64(1 + rng.IntN(300))
		case faults.LimitBandwidth:
			f.Amount = float64(1000 + rng.IntN(100_000))
		case faults.CutConnection:
			f.Amount, f.For = float64(rng.IntN(5000)), 0
		case faults.StoreSlow:
			f.Amount = 100
		}
		s.Faults = append(s.Faults, f)
	}
	slices.SortFunc(s.Faults, func(a, b faults.Fault) int { return cmp.Compare(a.At, b.At) })
	return s
}
