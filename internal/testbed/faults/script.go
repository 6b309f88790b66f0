// Package faults defines fault scripts: typed records of the faults of a test run and of their times, with a text form
// that can be read and edited by hand. A script, which includes its seed, determines a simulated run completely.
//
// A line of the text is a keyword followed by fields of the form name=value; a # starts a comment:
//
//	world seed=7 profile=worst servers=3 proxies=4 offices=1 seconds=12 rate=120
//	fault at=1.25s kind=stall node=s0 peer=w0 for=2s
//	fault at=3s kind=kill node=s1 for=500ms amount=3
package faults

import (
	"fmt"
	"slices"
	"strings"

	"pewterline/internal/microtime"
)

// Fault is one injected fault. Its kind determines which of the other fields are used.
type Fault struct {
	At     microtime.Time // since the run's start
	Kind   Kind
	Node   string         // the node that the fault affects
	Peer   string         // the other node of an affected path or connection
	For    microtime.Time // duration
	What   string         // the affected tenant or class, or the outcome of affected calls
	Amount float64        // a factor, number, probability or time, by kind
}

// Script describes a run: its topology and load, and its faults in order of time.
type Script struct {
	Seed             uint64
	Profile          string // the profile that it was drawn from; "": none
	Servers          int
	Proxies          int
	WebFrontends     int            // AJP front ends
	Edges            int            // edges in front of the servers; 0: callers connect to the servers
	Gossip           bool           // the edges exchange gossip about the servers
	Store            bool           // the servers have a store of record
	Vault            bool           // requests call the vault v0 while they run, as on the second deployment
	IdempotentOrders bool           // with a vault: print-order is keyed, with a retention window, not single_shot
	Length           microtime.Time // how long callers send requests; the run lasts until all are answered
	Rate             float64        // first attempts a second in all
	Faults           []Fault
}

// The bounds of a script's fields.
const (
	MaxServers = 1000
	MaxProxies = 1000
	MaxFaults  = 10_000
	MaxLength  = 3600 * microtime.Second
	MaxRate    = 1e6
)

// SortFaults sorts the faults by time.
func (s *Script) SortFaults() {
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// Clone returns a copy of s that shares no memory with it.
func (s *Script) Clone() Script {
	clone := *s
	clone.Faults = slices.Clone(s.Faults)
	return clone
}

// String returns the text form, which Parse reads.
func (s *Script) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "world seed=%d", s.Seed)
	if s.Profile != "" {
		fmt.Fprintf(&text, " profile=%s", s.Profile)
	}
	fmt.Fprintf(&text, " servers=%d proxies=%d offices=%d", s.Servers, s.Proxies, s.WebFrontends)
	if s.Edges > 0 {
		fmt.Fprintf(&text, " edges=%d", s.Edges)
	}
	if s.Gossip {
		text.WriteString(" advice=true")
	}
	if s.Store {
		text.WriteString(" store=true")
	}
	if s.Vault {
		text.WriteString(" vault=true")
	}
	if s.IdempotentOrders {
		text.WriteString(" guarded=true")
	}
	fmt.Fprintf(&text, " seconds=%v rate=%v\n", float64(s.Length)/1e6, s.Rate)
	for _, f := range s.Faults {
		text.WriteString(f.String() + "\n")
	}
	return text.String()
}

// String returns the fault's line of the text form.
func (f Fault) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "fault at=%v kind=%s", f.At.Duration(), f.Kind)
	for _, named := range []field{{"node", f.Node}, {"peer", f.Peer}, {"what", f.What}} {
		if named.value != "" {
			fmt.Fprintf(&text, " %s=%s", named.name, named.value)
		}
	}
	if f.For > 0 {
		fmt.Fprintf(&text, " for=%v", f.For.Duration())
	}
	if f.Amount != 0 {
		fmt.Fprintf(&text, " amount=%v", f.Amount)
	}
	return text.String()
}
