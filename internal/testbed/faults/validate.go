package faults

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// allowedWhat returns the values that What may have for a kind in this script; nil: What is unused.
func (s *Script) allowedWhat(kind Kind) []string {
	if s.Vault && (kind == CostlyClass || kind == TrafficSurge) {
		return VaultClasses
	}
	return rules[kind].what
}

// count returns the number of nodes whose names begin with a letter.
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

// minSeconds is the shortest allowed length of a script.
const minSeconds = 0.001

// Error reports an invalid text or record; it names the line and the field.
type Error struct {
	Line   int // from 1; 0: the error is in a record, or concerns no line
	Field  string
	Reason string
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("faults: %s: %s", e.Field, e.Reason)
	}
	return fmt.Sprintf("faults: line %d: %s: %s", e.Line, e.Field, e.Reason)
}

func fieldErrorf(field, format string, args ...any) *Error {
	return &Error{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Validate returns an *Error for the first invalid field of the script, or nil.
func (s *Script) Validate() error {
	if err := s.checkSetup(); err != nil {
		return err
	}
	for i, f := range s.Faults {
		if err := s.check(f); err != nil {
			return &Error{Field: fmt.Sprintf("fault %d: %s", i+1, err.Field), Reason: err.Reason}
		}
	}
	return nil
}

// Allows reports whether a fault is valid in the script.
func (s *Script) Allows(f Fault) bool { return s.check(f) == nil }

func (s *Script) checkSetup() *Error {
	checkRange := func(field string, value, lo, hi float64) *Error {
		if !(value >= lo && value <= hi) {
			return fieldErrorf(field, "%v is not within %v to %v", value, lo, hi)
		}
		return nil
	}
	for _, err := range []*Error{
		checkRange("servers", float64(s.Servers), 1, MaxServers),
		checkRange("proxies", float64(s.Proxies), 0, MaxProxies),
		checkRange("offices", float64(s.WebFrontends), 0, MaxProxies),
		checkRange("seconds", s.Length.Duration().Seconds(), minSeconds, MaxLength.Duration().Seconds()),
		checkRange("edges", float64(s.Edges), 0, MaxServers),
		checkRange("rate", s.Rate, 0, MaxRate),
		checkRange("faults", float64(len(s.Faults)), 0, MaxFaults),
	} {
		if err != nil {
			return err
		}
	}
	switch {
	case s.Vault && s.Edges > 0:
		return fieldErrorf("vault", "not supported with edges, which forward requests to servers and make no calls")
	case s.IdempotentOrders && !s.Vault:
		return fieldErrorf("guarded", "needs vault=true")
	}
	return nil
}

// check returns an error for the first invalid field of a fault, or nil.
func (s *Script) check(fault Fault) *Error {
	rule, ok := rules[fault.Kind]
	if !ok {
		return fieldErrorf("kind", "unknown %q", fault.Kind)
	}
	if fault.At < 0 || fault.At > s.Length {
		return fieldErrorf("at", "%v is not within the run's %v", fault.At.Duration(), s.Length.Duration())
	}
	if err := s.checkNodes(fault, rule); err != nil {
		return err
	}
	if fault.For < 0 || fault.For > MaxLength || fault.For > 0 && !rule.length {
		return fieldErrorf("for", "%v is not valid for kind %s", fault.For.Duration(), fault.Kind)
	}
	allowed := s.allowedWhat(fault.Kind)
	if allowed == nil && fault.What != "" || allowed != nil && !slices.Contains(allowed, fault.What) {
		return fieldErrorf("what", "%q is not one of %q", fault.What, allowed)
	}
	if !(fault.Amount >= rule.lo && fault.Amount <= rule.hi) { // also false for NaN
		return fieldErrorf("amount", "%v is not within %v to %v", fault.Amount, rule.lo, rule.hi)
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

// checkNode checks a field that holds a node's name. The field must be set if and only if the kind uses it.
func (s *Script) checkNode(field, name string, kind Kind, letters string) *Error {
	switch {
	case name == "" && letters == "":
		return nil
	case name == "":
		return fieldErrorf(field, "missing")
	case letters == "":
		return fieldErrorf(field, "not used by kind %s", kind)
	}
	return s.checkName(field, name, letters)
}

// checkName checks a node's name: one of the letters s, w, p, o, e and v followed by a number, or control.
func (s *Script) checkName(field, name, letters string) *Error {
	if name == "control" && strings.Contains(letters, "c") {
		return nil
	}
	count := s.count(name[0])
	number, err := strconv.Atoi(name[1:])
	if err != nil || name[0] == 'c' || !strings.Contains(letters, name[:1]) || strconv.Itoa(number) != name[1:] {
		return fieldErrorf(field, "%q is not a valid node name for this field", name)
	}
	if number < 0 || number >= count {
		return fieldErrorf(field, "%q is out of range: there are %d such nodes", name, count)
	}
	return nil
}
