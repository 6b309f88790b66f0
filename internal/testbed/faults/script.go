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
	"strings"

	"pewterline/internal/microtime"
)

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
	Vault            bool           // requests call the vault v0 while they run, as on the second deployment
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

// String is the fault's line.
func (f Fault) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "fault at=%v kind=%s", f.At.Duration(), f.Kind)
	for _, x := range []field{{"node", f.Node}, {"peer", f.Peer}, {"what", f.What}} {
		if x.value != "" {
			fmt.Fprintf(&text, " %s=%s", x.name, x.value)
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
