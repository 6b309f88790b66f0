// Package faults has scripts of what goes wrong in a run, and when: typed records with a text form that a person can
// read and change. A script together with its seed gives the whole run.
//
// A line of the text is a word and fields of the form name=value; what follows a # is left out:
//
//	world seed=7 profile=worst servers=3 proxies=4 offices=1 seconds=12 rate=120
//	fault at=1.25s kind=stall node=s0 peer=w0 for=2s
//	fault at=3s kind=kill node=s1 for=500ms amount=3
package faults

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"pewterline/internal/microtime"
)

// Kind is what goes wrong.
type Kind string

// The kinds of fault. For, Peer, Amount and What are used where the kind's rule says so.
const (
	Kill                    Kind = "kill"      // the server's process dies with its worker pool; For later it is back, cold. Amount: calls into a turn
	MachineLost             Kind = "vanish"    // the same with its whole machine: its peers hear nothing
	Terminate               Kind = "term"      // the notice to leave; For after its end it is back, cold
	ReloadConfig            Kind = "hup"       // the configuration moves the pool's link and the reports to other addresses
	Pause                   Kind = "pause"     // the process stands still
	SlowPool                Kind = "slow"      // the worker pool takes Amount times as long
	CostlyClass             Kind = "costly"    // the class What takes Amount times as long at the worker pool
	StallPath               Kind = "stall"     // nothing passes between Node and Peer, and nothing is lost
	CutConnection           Kind = "cut"       // connections of Node to Peer break after Amount more bytes from Node
	HalfClose               Kind = "half"      // connections of Node to Peer are closed in the direction from Node
	AddLatency              Kind = "lag"       // Amount milliseconds more from Node to Peer and back
	LimitBandwidth          Kind = "thin"      // Amount bytes a second between Node and Peer
	Blackhole               Kind = "dark"      // connects and datagrams between Node and Peer get no answer
	DropDatagrams           Kind = "lose"      // datagrams between Node and Peer are lost with the chance Amount
	DuplicateDatagrams      Kind = "double"    // datagrams between Node and Peer come twice with the chance Amount
	TrafficSurge            Kind = "flood"     // the vineyard What sends Amount times as much
	CallerCrash             Kind = "die"       // the proxy dies; For later it is back, with the list it had and an address of nobody's
	StaleEndpoints          Kind = "stale"     // the proxy hears of no change of the list
	ImpatientCaller         Kind = "hasty"     // the proxy gives requests up after Amount milliseconds
	LateCancel              Kind = "give-late" // the proxy gives up what it has been answered, and numbers it never used
	CallerStopsReading      Kind = "deaf"      // the proxy reads nothing
	ImmediateRetry          Kind = "insist"    // the proxy tries again the instant that it is refused
	ConnectionLimit         Kind = "table"     // the server's machine takes Amount connections at most
	UnidentifiedConnections Kind = "strangers" // Amount connections to the server that say nothing, or half of something
	DuplicateNotices        Kind = "doubled"   // the worker pool sends its notices twice
	RegistryDown            Kind = "mute"      // the control plane is down
	StoreSlow               Kind = "store-slow"
	StoreFail               Kind = "store-fail"
)

// The kinds of fault of the vault.
const (
	VaultDown       Kind = "vault-down"     // it refuses connections, and those that it had break
	VaultSlow       Kind = "vault-slow"     // it takes Amount times as long
	VaultRefusing   Kind = "vault-refusing" // it turns calls away with the chance Amount
	VaultFailing    Kind = "vault-failing"  // calls end as What says with the chance Amount, half of them after their effect
	VaultBreakReply Kind = "vault-break"    // a connection breaks in the middle of a reply with the chance Amount
	VaultReorder    Kind = "vault-shuffle"  // replies are held back and come in another order
	VaultStrayReply Kind = "vault-stray"    // replies come twice, or beside others for nobody's call, with the chance Amount
	VaultSilent     Kind = "vault-silent"   // it takes calls and replies to none
	VaultHang       Kind = "vault-hang"     // it does not answer connects
)

// rule says which fields a kind has.
type rule struct {
	node   string // first letters of the names that it may have; "": none
	peer   bool
	length bool
	what   []string // one of these; nil: no What
	lo, hi float64  // of Amount; both 0: no Amount
}

// Tenants and Classes are the names that What may have.
var (
	Tenants = []string{"hill-estate", "lake-vines", "valley-rows"}
	Classes = []string{"block-view", "lot-update", "lot-intake"}
)

// VaultClasses are the classes of a world with a vault, which has no tenants; CallEnds are ends of a call that prove nothing.
var (
	VaultClasses              = []string{"page-view", "page-save", "print-order"}
	IndeterminateCallOutcomes = []string{"failed", "overdue"}
)

const anyNode = "spowcev"

var kinds = map[Kind]rule{
	Kill: {node: "se", length: true, hi: 1000}, MachineLost: {node: "se", length: true}, Terminate: {node: "se", length: true},
	ReloadConfig: {node: "s"}, Pause: {node: "se", length: true}, SlowPool: {node: "w", length: true, lo: 1, hi: 100},
	CostlyClass: {node: "w", length: true, what: Classes, lo: 1, hi: 100},
	StallPath:   {node: anyNode, peer: true, length: true}, CutConnection: {node: anyNode, peer: true, hi: 1e7},
	HalfClose: {node: anyNode, peer: true}, AddLatency: {node: anyNode, peer: true, length: true, hi: 10_000}, LimitBandwidth: {node: anyNode, peer: true, length: true, lo: 1000, hi: 1e9},
	Blackhole: {node: anyNode, peer: true, length: true}, DropDatagrams: {node: anyNode, peer: true, length: true, hi: 1},
	DuplicateDatagrams: {node: anyNode, peer: true, length: true, hi: 1}, TrafficSurge: {length: true, what: Tenants, lo: 1, hi: 100},
	CallerCrash: {node: "p", length: true}, StaleEndpoints: {node: "p", length: true}, ImpatientCaller: {node: "p", length: true, hi: 10_000},
	LateCancel: {node: "p", length: true}, CallerStopsReading: {node: "p", length: true}, ImmediateRetry: {node: "p", length: true},
	ConnectionLimit: {node: "s", length: true, hi: 10_000}, UnidentifiedConnections: {node: "s", lo: 1, hi: 5000},
	DuplicateNotices: {node: "w", length: true}, RegistryDown: {length: true}, StoreSlow: {node: "s", length: true, hi: 60_000},
	StoreFail: {node: "s", length: true},
	VaultDown: {node: "v", length: true}, VaultSlow: {node: "v", length: true, lo: 1, hi: 100},
	VaultRefusing: {node: "v", length: true, hi: 1}, VaultFailing: {node: "v", length: true, what: IndeterminateCallOutcomes, hi: 1},
	VaultBreakReply: {node: "v", length: true, hi: 1}, VaultReorder: {node: "v", length: true}, VaultStrayReply: {node: "v", length: true, hi: 1},
	VaultSilent: {node: "v", length: true}, VaultHang: {node: "v", length: true},
}

// words are what What may be for a kind in the script's world.
func (s *Script) words(k Kind) []string {
	if s.Vault && (k == CostlyClass || k == TrafficSurge) {
		return VaultClasses
	}
	return kinds[k].what
}

// count is how many nodes the world has whose names begin with a letter.
func (s *Script) count(letter byte) int {
	switch letter {
	case 's', 'w':
		return s.Servers
	case 'p':
		return s.Proxies
	case 'o':
		return s.WebFrontends
	case 'e':
		return s.Edges
	case 'v':
		if s.Vault {
			return 1
		}
	}
	return 0
}

// Kinds are all kinds of fault, in a fixed order.
func Kinds() []Kind {
	out := make([]Kind, 0, len(kinds))
	for k := range kinds {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Fault is one thing that goes wrong.
type Fault struct {
	At     microtime.Time // since the run's start
	Kind   Kind
	Node   string
	Peer   string
	For    microtime.Time
	What   string
	Amount float64
}

// Script is a run: its world and its faults, by time.
type Script struct {
	Seed             uint64
	Profile          string // that it was drawn by; "" for none
	Servers          int
	Proxies          int
	WebFrontends     int            // AJP front ends
	Edges            int            // instances before the servers, to which all callers go; 0: they go to the servers
	Gossip           bool           // the edges tell each other what they know of the servers
	Store            bool           // the servers have a store of record
	Vault            bool           // requests call the vault v0 while they run; classes, allowance and figures are the second deployment's
	IdempotentOrders bool           // with a vault: print-order may come again within its window, in place of running once
	Length           microtime.Time // that requests come; the run goes on until all is answered
	Rate             float64        // first tries a second in all
	Faults           []Fault
}

// The bounds of a world.
const (
	MaxServers = 1000
	MaxProxies = 1000
	MaxFaults  = 10_000
	MaxLength  = 3600 * microtime.Second
	MaxRate    = 1e6
)

// Error is a fault of the text or of a record: it names the line and the field.
type Error struct {
	Line   int // from 1 on; 0: of the record
	Field  string
	Reason string
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("faults: %s: %s", e.Field, e.Reason)
	}
	return fmt.Sprintf("faults: line %d: %s: %s", e.Line, e.Field, e.Reason)
}

func wrong(field, format string, args ...any) *Error {
	return &Error{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Validate tells the first thing that is wrong with the script, as an *Error.
func (s *Script) Validate() error {
	if err := s.checkWorld(); err != nil {
		return err
	}
	for i, f := range s.Faults {
		if err := s.check(f); err != nil {
			return &Error{Field: fmt.Sprintf("fault %d: %s", i+1, err.Field), Reason: err.Reason}
		}
	}
	return nil
}

// Allows tells whether a fault may stand in the script.
func (s *Script) Allows(f Fault) bool { return s.check(f) == nil }

func (s *Script) checkWorld() *Error {
	within := func(field string, v, lo, hi float64) *Error {
		if !(v >= lo && v <= hi) {
			return wrong(field, "%v is not within %v to %v", v, lo, hi)
		}
		return nil
	}
	for _, err := range []*Error{
		within("servers", float64(s.Servers), 1, MaxServers), within("proxies", float64(s.Proxies), 0, MaxProxies),
		within("offices", float64(s.WebFrontends), 0, MaxProxies), within("seconds", s.Length.Duration().Seconds(), 0.001, MaxLength.Duration().Seconds()),
		within("edges", float64(s.Edges), 0, MaxServers), within("rate", s.Rate, 0, MaxRate), within("faults", float64(len(s.Faults)), 0, MaxFaults),
	} {
		if err != nil {
			return err
		}
	}
	switch {
	case s.Vault && s.Edges > 0:
		return wrong("vault", "edges pass work on to servers and make no calls")
	case s.IdempotentOrders && !s.Vault:
		return wrong("guarded", "needs vault=true")
	}
	return nil
}

func (s *Script) check(f Fault) *Error {
	r, ok := kinds[f.Kind]
	if !ok {
		return wrong("kind", "unknown %q", f.Kind)
	}
	if f.At < 0 || f.At > s.Length {
		return wrong("at", "%v is not within the run's %v", f.At.Duration(), s.Length.Duration())
	}
	if (f.Node != "") != (r.node != "") {
		return wrong("node", "%s", map[bool]string{true: "missing", false: "a " + string(f.Kind) + " has none"}[r.node != ""])
	}
	if f.Node != "" {
		if err := s.node("node", f.Node, r.node); err != nil {
			return err
		}
	}
	if (f.Peer != "") != r.peer {
		return wrong("peer", "%s", map[bool]string{true: "missing", false: "a " + string(f.Kind) + " has none"}[r.peer])
	}
	if f.Peer != "" {
		if err := s.node("peer", f.Peer, anyNode); err != nil {
			return err
		}
	}
	if f.For < 0 || f.For > MaxLength || f.For > 0 && !r.length {
		return wrong("for", "%v is not fit for a %s", f.For.Duration(), f.Kind)
	}
	if words := s.words(f.Kind); words == nil && f.What != "" || words != nil && !slices.Contains(words, f.What) {
		return wrong("what", "%q is none of %q", f.What, words)
	}
	if !(f.Amount >= r.lo && f.Amount <= r.hi) {
		return wrong("amount", "%v is not within %v to %v", f.Amount, r.lo, r.hi)
	}
	return nil
}

// node checks a name: s, w, p, o, e or v with a number, or control.
func (s *Script) node(field, name, letters string) *Error {
	if name == "control" && strings.Contains(letters, "c") {
		return nil
	}
	most := s.count(name[0])
	n, err := strconv.Atoi(name[1:])
	if err != nil || name[0] == 'c' || !strings.Contains(letters, name[:1]) || strconv.Itoa(n) != name[1:] {
		return wrong(field, "%q is no name that may stand here", name)
	}
	if n < 0 || n >= most {
		return wrong(field, "%q: there are %d", name, most)
	}
	return nil
}

// Parse reads the text form and checks it.
func Parse(text string) (Script, error) {
	var s Script
	seen := false
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		err := func() *Error {
			fields, err := split(words[1:])
			if err != nil {
				return err
			}
			switch {
			case words[0] == "world" && !seen:
				seen = true
				if err := s.readWorld(fields); err != nil {
					return err
				}
				return s.checkWorld()
			case words[0] == "world":
				return wrong("world", "there is one already")
			case words[0] != "fault":
				return wrong(words[0], "a line begins with world or fault")
			case !seen:
				return wrong("fault", "comes before the world")
			}
			f, err := readFault(fields)
			if err != nil {
				return err
			}
			s.Faults = append(s.Faults, f)
			if len(s.Faults) > MaxFaults {
				return wrong("fault", "over %d", MaxFaults)
			}
			return s.check(f)
		}()
		if err != nil {
			err.Line = i + 1
			return s, err
		}
	}
	if !seen {
		return s, wrong("world", "missing")
	}
	s.SortFaults()
	return s, nil
}

type field struct{ name, value string }

func split(words []string) ([]field, *Error) {
	var out []field
	for _, w := range words {
		name, value, ok := strings.Cut(w, "=")
		if !ok || name == "" || value == "" {
			return nil, wrong(w, "is not of the form name=value")
		}
		for _, f := range out {
			if f.name == name {
				return nil, wrong(name, "stands twice")
			}
		}
		out = append(out, field{name, value})
	}
	return out, nil
}

func (s *Script) readWorld(fields []field) *Error {
	for _, f := range fields {
		var err error
		switch f.name {
		case "seed":
			s.Seed, err = strconv.ParseUint(f.value, 10, 64)
		case "profile":
			s.Profile = f.value
		case "servers":
			s.Servers, err = strconv.Atoi(f.value)
		case "proxies":
			s.Proxies, err = strconv.Atoi(f.value)
		case "offices":
			s.WebFrontends, err = strconv.Atoi(f.value)
		case "edges":
			s.Edges, err = strconv.Atoi(f.value)
		case "advice":
			s.Gossip, err = strconv.ParseBool(f.value)
		case "store":
			s.Store, err = strconv.ParseBool(f.value)
		case "vault":
			s.Vault, err = strconv.ParseBool(f.value)
		case "guarded":
			s.IdempotentOrders, err = strconv.ParseBool(f.value)
		case "seconds":
			var v float64
			v, err = strconv.ParseFloat(f.value, 64)
			s.Length = microtime.Time(v * 1e6)
		case "rate":
			s.Rate, err = strconv.ParseFloat(f.value, 64)
		default:
			return wrong(f.name, "unknown")
		}
		if err != nil {
			return wrong(f.name, "%q cannot be read", f.value)
		}
	}
	return nil
}

func readFault(fields []field) (f Fault, _ *Error) {
	for _, x := range fields {
		var err error
		switch x.name {
		case "at":
			f.At, err = duration(x.value)
		case "kind":
			f.Kind = Kind(x.value)
		case "node":
			f.Node = x.value
		case "peer":
			f.Peer = x.value
		case "for":
			f.For, err = duration(x.value)
		case "what":
			f.What = x.value
		case "amount":
			f.Amount, err = strconv.ParseFloat(x.value, 64)
		default:
			return f, wrong(x.name, "unknown")
		}
		if err != nil {
			return f, wrong(x.name, "%q cannot be read", x.value)
		}
	}
	return f, nil
}

func duration(text string) (microtime.Time, error) {
	d, err := time.ParseDuration(text)
	return microtime.FromDuration(d), err
}

// SortFaults puts the faults in order of time.
func (s *Script) SortFaults() {
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// Clone returns a script that shares nothing with s.
func (s *Script) Clone() Script {
	c := *s
	c.Faults = slices.Clone(s.Faults)
	return c
}

// String is the text form; Parse reads it back.
func (s *Script) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "world seed=%d", s.Seed)
	if s.Profile != "" {
		fmt.Fprintf(&b, " profile=%s", s.Profile)
	}
	fmt.Fprintf(&b, " servers=%d proxies=%d offices=%d", s.Servers, s.Proxies, s.WebFrontends)
	if s.Edges > 0 {
		fmt.Fprintf(&b, " edges=%d", s.Edges)
	}
	if s.Gossip {
		b.WriteString(" advice=true")
	}
	if s.Store {
		b.WriteString(" store=true")
	}
	if s.Vault {
		b.WriteString(" vault=true")
	}
	if s.IdempotentOrders {
		b.WriteString(" guarded=true")
	}
	fmt.Fprintf(&b, " seconds=%v rate=%v\n", float64(s.Length)/1e6, s.Rate)
	for _, f := range s.Faults {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}

// String is the fault's line.
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "fault at=%v kind=%s", f.At.Duration(), f.Kind)
	for _, x := range []field{{"node", f.Node}, {"peer", f.Peer}, {"what", f.What}} {
		if x.value != "" {
			fmt.Fprintf(&b, " %s=%s", x.name, x.value)
		}
	}
	if f.For > 0 {
		fmt.Fprintf(&b, " for=%v", f.For.Duration())
	}
	if f.Amount != 0 {
		fmt.Fprintf(&b, " amount=%v", f.Amount)
	}
	return b.String()
}
