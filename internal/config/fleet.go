package config

import (
	"fmt"

	"pewterline/internal/decide/loadbalancer"
)

// Fleet is the file fleet.toml: the log servers that do the work in place of a worker pool.
type Fleet struct {
	Members  []Member // none: the program is a log server itself
	CallerID uint32   // the number by which it makes itself known to them
	// GossipListen is where other instances reach this one, and GossipPeers where it reaches them. No file sets them:
	// what instances tell each other is to go over TLS alone.
	GossipListen string
	GossipPeers  []string
	LoadBalancer loadbalancer.Config
	Retries      loadbalancer.RetryConfig
}

// Member is one log server of a fleet.
type Member struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// The bounds of fleet.toml.
const (
	maxMembers          = 1000
	maxMemberNameLength = 64
)

type fleetFile struct {
	Edge struct {
		From        uint32  `toml:"from"`
		ProbeFirst  int     `toml:"probe_first_ms"`
		ProbeMost   int     `toml:"probe_most_ms"`
		Warm        int     `toml:"warm_ms"`
		WarmFrom    float64 `toml:"warm_from"`
		EjectMost   float64 `toml:"eject_most"`
		LimitFirst  float64 `toml:"limit_first"`
		LimitMost   float64 `toml:"limit_most"`
		Tries       int     `toml:"tries"`
		RetryEarn   float64 `toml:"retry_earn"`
		RetryBudget float64 `toml:"retry_budget"`
	} `toml:"edge"`
	Servers []Member `toml:"server"`
}

func parseFleet(text []byte) (Fleet, error) {
	const in inFile = fleetFileName
	var file fleetFile
	if err := in.decode(text, &file); err != nil {
		return Fleet{}, err
	}
	edge := file.Edge
	cfg := Fleet{
		Members:  file.Servers,
		CallerID: edge.From,
		LoadBalancer: loadbalancer.Config{
			InitialProbeBackoff: milliseconds(edge.ProbeFirst),
			MaxProbeBackoff:     milliseconds(edge.ProbeMost),
			SlowStart:           milliseconds(edge.Warm),
			SlowStartShare:      edge.WarmFrom,
			MaxEjectedShare:     edge.EjectMost,
			InitialConcurrency:  edge.LimitFirst,
			MaxConcurrency:      edge.LimitMost,
		},
		Retries: loadbalancer.RetryConfig{
			TokensPerSuccess: edge.RetryEarn,
			MaxTokens:        edge.RetryBudget,
			MaxAttempts:      edge.Tries,
		},
	}
	if err := checkMembers(in, cfg.Members); err != nil {
		return cfg, err
	}
	balancer := cfg.LoadBalancer
	balancer.Classes = 1 // the settings tell how many there are
	for _, err := range []error{balancer.Validate(), cfg.Retries.Validate()} {
		if err != nil {
			return cfg, &KeyError{File: string(in), Key: "edge", Err: err}
		}
	}
	return cfg, nil
}

// checkMembers checks that the members' names differ and that their addresses can be dialled.
func checkMembers(in inFile, members []Member) error {
	if len(members) > maxMembers {
		return in.errorf("server", "%d are over %d", len(members), maxMembers)
	}
	seen := map[string]bool{}
	for i, member := range members {
		key := fmt.Sprintf("server %d", i+1)
		if !isWord(member.Name) || len(member.Name) > maxMemberNameLength || seen[member.Name] {
			return in.errorf(key+": name", "%q is not one word of its own", member.Name)
		}
		seen[member.Name] = true
		if err := in.checkAddress(key+": address", member.Address); err != nil {
			return err
		}
	}
	return nil
}
