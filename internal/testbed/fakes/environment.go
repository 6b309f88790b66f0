package fakes

import (
	"fmt"

	"pewterline/control"
	"pewterline/internal/testbed/simnet"
)

// Environment is what all fakes of a world share.
type Environment struct {
	Net           *simnet.Net
	World         *simnet.World
	Settings      control.Settings
	Deployment    Deployment
	Requests      *RequestRegistry
	Registry      *Registry
	TrafficFactor map[string]float64 // of each tenant, or each class where there are no tenants; 1 where absent
	Served        map[string]int     // jobs that got their result, by class
	Asked         map[string]int     // jobs that were begun, by class
	WeightServed  float64            // of jobs served within their objective, and a share of those served late
	WeightAsked   float64
	wall          simnet.WallClock
}

// EnvironmentConfig is what the fakes of a world are built from.
type EnvironmentConfig struct {
	Net        *simnet.Net
	Settings   control.Settings
	Deployment Deployment
	Seed       uint64
}

// NewEnvironment returns an environment with a control plane.
func NewEnvironment(config EnvironmentConfig) *Environment {
	env := &Environment{
		Net:           config.Net,
		World:         config.Net.World(),
		Settings:      config.Settings,
		Deployment:    config.Deployment,
		Requests:      &RequestRegistry{attempts: map[string]*sentAttempt{}},
		TrafficFactor: map[string]float64{},
		Served:        map[string]int{},
		Asked:         map[string]int{},
	}
	env.Registry = newRegistry(env, env.World.Fork(config.Seed, controlNode))
	return env
}

// mustListen has a node listen at an address. It fails only where the address is taken, and each fake has addresses
// of its own: that would be a fault of the package.
func mustListen(node *simnet.Node, address string, listener simnet.Listener) *simnet.Listener {
	listening, err := node.Listen(address, listener)
	if err != nil {
		panic(fmt.Errorf("fakes: listen at %s: %w", address, err))
	}
	return listening
}
