package config

import (
	"fmt"

	"pewterline/internal/decide/loadbalancer"
)

// Fleet is the file fleet.toml: the log servers to which requests are forwarded in place of a worker pool.
type Fleet struct {
	Members  []Member // none: requests are not forwarded
	CallerID uint32   // identifies this instance to the members
	// GossipListen is the address at which other instances reach this one, and GossipPeers are the addresses of the
	// others. No file sets them, because gossip must only be exchanged over TLS.
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

// The limits of fleet.toml.
const (
	maxMembers          = 1000
	maxMemberNameLength = 64
)

type fleetFile struct {
	Edge struct {
		CallerID              uint32  `toml:"from"`
		InitialProbeBackoffMS int     `toml:"probe_first_ms"`
		MaxProbeBackoffMS     int     `toml:"probe_most_ms"`
		SlowStartMS           int     `toml:"warm_ms"`
		SlowStartShare        float64 `toml:"warm_from"`
		MaxEjectedShare       float64 `toml:"eject_most"`
		InitialConcurrency    float64 `toml:"limit_first"`
		MaxConcurrency        float64 `toml:"limit_most"`
		MaxAttempts           int     `toml:"tries"`
		TokensPerSuccess      float64 `toml:"retry_earn"`
		MaxTokens             float64 `toml:"retry_budget"`
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
		CallerID: edge.CallerID,
		LoadBalancer: loadbalancer.Config{
			InitialProbeBackoff: milliseconds(edge.InitialProbeBackoffMS),
			MaxProbeBackoff:     milliseconds(edge.MaxProbeBackoffMS),
			SlowStart:           milliseconds(edge.SlowStartMS),
			SlowStartShare:      edge.SlowStartShare,
			MaxEjectedShare:     edge.MaxEjectedShare,
			InitialConcurrency:  edge.InitialConcurrency,
			MaxConcurrency:      edge.MaxConcurrency,
		},
		Retries: loadbalancer.RetryConfig{
			TokensPerSuccess: edge.TokensPerSuccess,
			MaxTokens:        edge.MaxTokens,
			MaxAttempts:      edge.MaxAttempts,
		},
	}
	if err := checkMembers(in, cfg.Members); err != nil {
		return cfg, err
	}
	balancer := cfg.LoadBalancer
	balancer.Classes = 1 // the real number comes from the settings
	for _, err := range []error{balancer.Validate(), cfg.Retries.Validate()} {
		if err != nil {
			return cfg, &KeyError{File: string(in), Key: "edge", Err: err}
		}
	}
	return cfg, nil
}

// checkMembers checks that the members have valid names, which differ, and valid addresses.
func checkMembers(in inFile, members []Member) error {
	if len(members) > maxMembers {
		return in.errorf("server", "%d servers exceed the limit of %d", len(members), maxMembers)
	}
	seen := map[string]bool{}
	for i, member := range members {
		key := fmt.Sprintf("server %d", i+1)
		if !isWord(member.Name) || len(member.Name) > maxMemberNameLength || seen[member.Name] {
			return in.errorf(key+": name", "%q is empty, too long, not unique or has white space", member.Name)
		}
		seen[member.Name] = true
		if err := in.checkAddress(key+": address", member.Address); err != nil {
			return err
		}
	}
	return nil
}
