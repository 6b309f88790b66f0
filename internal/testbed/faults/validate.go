package faults

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

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

// minSeconds is the length of the shortest script.
const minSeconds = 0.001

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
		within("servers", float64(s.Servers), 1, MaxServers),
		within("proxies", float64(s.Proxies), 0, MaxProxies),
		within("offices", float64(s.WebFrontends), 0, MaxProxies),
		within("seconds", s.Length.Duration().Seconds(), minSeconds, MaxLength.Duration().Seconds()),
		within("edges", float64(s.Edges), 0, MaxServers),
		within("rate", s.Rate, 0, MaxRate),
		within("faults", float64(len(s.Faults)), 0, MaxFaults),
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

// check returns what is wrong with a fault, nil for nothing.
func (s *Script) check(fault Fault) *Error {
	rule, ok := kinds[fault.Kind]
	if !ok {
		return wrong("kind", "unknown %q", fault.Kind)
	}
	if fault.At < 0 || fault.At > s.Length {
		return wrong("at", "%v is not within the run's %v", fault.At.Duration(), s.Length.Duration())
	}
	if err := s.checkNodes(fault, rule); err != nil {
		return err
	}
	if fault.For < 0 || fault.For > MaxLength || fault.For > 0 && !rule.length {
		return wrong("for", "%v is not fit for a %s", fault.For.Duration(), fault.Kind)
	}
	words := s.words(fault.Kind)
	if words == nil && fault.What != "" || words != nil && !slices.Contains(words, fault.What) {
		return wrong("what", "%q is none of %q", fault.What, words)
	}
	if !(fault.Amount >= rule.lo && fault.Amount <= rule.hi) { // also false for NaN
		return wrong("amount", "%v is not within %v to %v", fault.Amount, rule.lo, rule.hi)
	}
	return nil
}

func (s *Script) checkNodes(f Fault, rule rule) *Error {
	if err := s.checkNode("node", f.Node, f.Kind, rule.node); err != nil {
		return err
	}
	peers := ""
	if rule.peer {
		peers = anyNode
	}
	return s.checkNode("peer", f.Peer, f.Kind, peers)
}

// checkNode checks a field with a node's name, which is missing exactly where the kind takes none.
func (s *Script) checkNode(field, name string, kind Kind, letters string) *Error {
	switch {
	case name == "" && letters == "":
		return nil
	case name == "":
		return wrong(field, "missing")
	case letters == "":
		return wrong(field, "a %s has none", kind)
	}
	return s.checkName(field, name, letters)
}

// checkName checks a name: s, w, p, o, e or v with a number, or control.
func (s *Script) checkName(field, name, letters string) *Error {
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
