package processtest

import (
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// Relay carries connections to an address and spoils them as it is told, each direction by itself: what goes wrong on a
// network between two processes that both live.
type Relay struct {
	ln   net.Listener
	to   string
	mu   sync.Mutex
	cond *sync.Cond
	way  [2]way // there and back
	open map[net.Conn]net.Conn
	shut bool
}

// RelayDirection is a way through a relay.
type RelayDirection int

// The directions.
const (
	Forward RelayDirection = iota // from whoever connects
	Backward
)

// way is what happens to the bytes of one direction.
type way struct {
	hold  bool          // they wait, and go on in a burst
	drop  bool          // they are lost, and the connection stays open
	delay time.Duration // each piece comes so much later
	rate  int           // bytes a second; 0: as fast as they come
	cut   int           // the connection breaks after so many more; negative: never
}

// NewRelay opens a relay to an address.
func NewRelay(to string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{ln: ln, to: to, open: map[net.Conn]net.Conn{}}
	r.cond = sync.NewCond(&r.mu)
	r.way[Forward].cut, r.way[Backward].cut = -1, -1
	go r.accept()
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Close ends it and all that it carries.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shut = true
	for a, b := range r.open {
		_, _ = a.Close(), b.Close()
	}
	r.cond.Broadcast()
}

func (r *Relay) accept() {
	for {
		a, err := r.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			b, err := net.DialTimeout("tcp", r.to, Patience)
			if err != nil {
				_ = a.Close() // as a refused connection ends, only later
				return
			}
			r.mu.Lock()
			shut := r.shut
			if !shut {
				r.open[a] = b
			}
			r.mu.Unlock()
			if shut {
				_, _ = a.Close(), b.Close()
				return
			}
			go r.carry(a, b, Forward)
			r.carry(b, a, Backward)
			r.mu.Lock()
			delete(r.open, a)
			r.mu.Unlock()
		}()
	}
}

// piece is what was read at once, and when it is due.
type piece struct {
	p  []byte
	at time.Time
}

// pieces bounds what a direction holds; beyond it the sender has to wait, as at a full window.
const pieces = 1024

func (r *Relay) carry(from, to net.Conn, d RelayDirection) {
	queue := make(chan piece, pieces)
	go func() {
		defer close(queue)
		for {
			p := make([]byte, 16<<10)
			n, err := from.Read(p)
			if n > 0 {
				r.mu.Lock()
				late := r.way[d].delay
				r.mu.Unlock()
				queue <- piece{p[:n], time.Now().Add(late)}
			}
			if err != nil {
				return
			}
		}
	}()
	defer func() {
		_, _ = from.Close(), to.Close()
		for range queue { // the reader may wait for room
		}
	}()
	for k := range queue {
		time.Sleep(time.Until(k.at))
		r.mu.Lock()
		for r.way[d].hold && !r.shut {
			r.cond.Wait()
		}
		w, end := &r.way[d], r.shut
		if w.cut >= 0 {
			if len(k.p) >= w.cut {
				k.p, end = k.p[:w.cut], true
			}
			w.cut -= len(k.p)
			if end {
				w.cut = -1
			}
		}
		drop, rate := w.drop, w.rate
		r.mu.Unlock()
		if !drop && len(k.p) > 0 {
			if _, err := to.Write(k.p); err != nil {
				return
			}
		}
		if end {
			return
		}
		if rate > 0 {
			time.Sleep(time.Duration(len(k.p)) * time.Second / time.Duration(rate))
		}
	}
}

func (r *Relay) set(f func(*way), ds ...RelayDirection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range ds {
		f(&r.way[d])
	}
	r.cond.Broadcast()
}

// Hold has nothing pass in the directions given; Heal lets it go on in a burst.
func (r *Relay) Hold(ds ...RelayDirection) { r.set(func(w *way) { w.hold = true }, ds...) }

// Drop loses all that comes, as a black hole does.
func (r *Relay) Drop(ds ...RelayDirection) { r.set(func(w *way) { w.drop = true }, ds...) }

// AddLatency has all come later.
func (r *Relay) AddLatency(late time.Duration, ds ...RelayDirection) {
	r.set(func(w *way) { w.delay = late }, ds...)
}

// LimitBandwidth lets so many bytes a second pass.
func (r *Relay) LimitBandwidth(rate int, ds ...RelayDirection) {
	r.set(func(w *way) { w.rate = rate }, ds...)
}

// Cut breaks the next connection that sends so many more bytes: in the middle of a message, if need be.
func (r *Relay) Cut(after int, d RelayDirection) { r.set(func(w *way) { w.cut = after }, d) }

// Heal ends all faults. What was dropped is lost.
func (r *Relay) Heal() { r.set(func(w *way) { *w = way{cut: -1} }, Forward, Backward) }

// Break ends all connections that are open now.
func (r *Relay) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a, b := range r.open {
		_, _ = a.Close(), b.Close()
	}
}

// from is the direction that a fault's node sends in: a worker pool does not connect, it is connected to.
func from(f faults.Fault) RelayDirection {
	if strings.HasPrefix(f.Node, "w") {
		return Backward
	}
	return Forward
}

// Apply has a fault of a script happen, and returns how it ends; nil where it ends by itself. Kinds that are no relay's are an error.
func (r *Relay) Apply(f faults.Fault) (heal func(), err error) {
	switch f.Kind {
	case faults.StallPath:
		r.Hold(Forward, Backward)
	case faults.Blackhole: // one way: what the node sends is lost
		r.Drop(from(f))
	case faults.AddLatency:
		r.AddLatency(time.Duration(f.Amount*float64(time.Millisecond)), Forward, Backward)
	case faults.LimitBandwidth:
		r.LimitBandwidth(int(f.Amount), Forward, Backward)
	case faults.CutConnection:
		r.Cut(int(f.Amount), from(f))
		return nil, nil
	default:
		return nil, &faults.Error{Field: "kind", Reason: string(f.Kind) + " is no fault of a relay"}
	}
	return r.Heal, nil
}

// DrawPathFaults is a script of faults for a relay between two nodes, from a seed: what a hunt plays.
func DrawPathFaults(seed uint64, n int, within time.Duration, node, peer string) (out []faults.Fault) {
	rng := rand.New(rand.NewPCG(seed, 0))
	kinds := []faults.Kind{faults.StallPath, faults.Blackhole, faults.AddLatency, faults.LimitBandwidth, faults.CutConnection}
	for range n {
		f := faults.Fault{Kind: kinds[rng.IntN(len(kinds))], Node: node, Peer: peer}
		if rng.IntN(2) == 0 {
			f.Node, f.Peer = peer, node
		}
		f.At, f.For = microtime.FromDuration(time.Duration(rng.Int64N(int64(within)))), microtime.FromDuration(time.Duration(rng.Int64N(int64(within/4))))
		switch f.Kind {
		case faults.AddLatency:
			f.Amount = float64(1 + rng.IntN(300))
		case faults.LimitBandwidth:
			f.Amount = float64(1000 + rng.IntN(100_000))
		case faults.CutConnection:
			f.Amount, f.For = float64(rng.IntN(5000)), 0
		}
		out = append(out, f)
	}
	return out
}
