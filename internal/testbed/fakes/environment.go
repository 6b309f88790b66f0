package fakes

import (
	"fmt"

	"pewterline/control"
	"pewterline/internal/testbed/simnet"
)

// Environment holds the data that all fakes of a simulation share.
type Environment struct {
	Net           *simnet.Net
	Clock         *simnet.Clock
	Settings      control.Settings
	Deployment    Deployment
	Requests      *RequestRegistry
	Registry      *Registry
	TrafficFactor map[string]float64 // by tenant, or by class in a deployment without tenants; 1 if absent
	Served        map[string]int     // jobs whose result was received, by class
	Started       map[string]int     // jobs started, by class
	WeightServed  float64            // of jobs served within their latency objective, and a share of it if late
	WeightStarted float64
	wall          simnet.WallClock
}

// EnvironmentConfig are the parameters of an Environment.
type EnvironmentConfig struct {
	Net        *simnet.Net
	Settings   control.Settings
	Deployment Deployment
	Seed       uint64
}

// NewEnvironment returns an environment with a running control plane.
func NewEnvironment(config EnvironmentConfig) *Environment {
	env := &Environment{
		Net:           config.Net,
		Clock:         config.Net.Clock(),
		Settings:      config.Settings,
		Deployment:    config.Deployment,
		Requests:      &RequestRegistry{attempts: map[string]*sentAttempt{}},
		TrafficFactor: map[string]float64{},
		Served:        map[string]int{},
		Started:       map[string]int{},
	}
	env.Registry = newRegistry(env, env.Clock.Fork(config.Seed, controlNode))
	return env
}

// mustListen makes a node listen at an address. Listening fails only if the address is in use; as each fake has its own
// addresses, that would be a bug in this package, hence the panic.
func mustListen(node *simnet.Node, address string, listener simnet.Listener) *simnet.Listener {
	listening, err := node.Listen(address, listener)
	if err != nil {
		panic(fmt.Errorf("fakes: listen at %s: %w", address, err))
	}
	return listening
}
