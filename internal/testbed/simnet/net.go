package simnet

import (
	"errors"

	"pewterline/internal/microtime"
)

const (
	maxSegment  = 16 << 10 // bytes in one segment
	sendWindow  = 64 << 10 // bytes in flight or unread in one direction; the sender buffers the rest
	dialTimeout = microtime.Second
)

// The errors of a connect.
var (
	ErrRefused = errors.New("connection refused")
	ErrTimeout = errors.New("connect timed out")
)

// Net is the simulated network: its nodes, the paths between them, and their listeners.
type Net struct {
	clock   *Clock
	Default Quality     // of new paths
	Tap     func(Event) // observes all events; nil: none
	// Intercept, if set, replaces the bytes of each write before they are recorded and sent. Tests use it to plant a bug
	// between a program and the network.
	Intercept  func(stream *Stream, p []byte) []byte
	nodes      map[string]*Node
	paths      map[[2]string]*Path
	listeners  map[string]*Listener
	lastConnID uint64
}

// NewNet returns a network without nodes.
func NewNet(clock *Clock, q Quality) *Net {
	return &Net{
		clock:     clock,
		Default:   q,
		nodes:     map[string]*Node{},
		paths:     map[[2]string]*Path{},
		listeners: map[string]*Listener{},
	}
}

// Clock returns the virtual clock that schedules the network's events.
func (n *Net) Clock() *Clock { return n.clock }
