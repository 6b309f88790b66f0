package simnet

import (
	"errors"

	"pewterline/internal/microtime"
)

const (
	maxSegment  = 16 << 10 // bytes that arrive at once
	sendWindow  = 64 << 10 // bytes under way or unread in one direction, before a sender has to keep the rest
	dialTimeout = microtime.Second
)

// What may become of a connect.
var (
	ErrRefused = errors.New("connection refused")
	ErrTimeout = errors.New("connect timed out")
)

// Net joins nodes.
type Net struct {
	world   *World
	Default Quality
	Tap     func(Event) // nil: none
	// Intercept, where a test sets it, changes what a stream writes before anything sees it: a bug between a program
	// and the network.
	Intercept  func(e *Stream, p []byte) []byte
	nodes      map[string]*Node
	paths      map[[2]string]*Path
	listeners  map[string]*Listener
	lastConnID uint64
}

// NewNet returns a network without nodes.
func NewNet(w *World, q Quality) *Net {
	return &Net{
		world:     w,
		Default:   q,
		nodes:     map[string]*Node{},
		paths:     map[[2]string]*Path{},
		listeners: map[string]*Listener{},
	}
}

// World is the clock below.
func (n *Net) World() *World { return n.world }
