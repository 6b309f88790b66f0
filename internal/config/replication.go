package config

import (
	"errors"
	"fmt"
	"slices"

	"pewterline/internal/decide/consensus"
)

// Replication is the file copies.toml: the group of servers that replicate each other's idempotency keys.
type Replication struct {
	ServerID          uint32 // of this server; 0: replication is off
	Listen            string // where the other members connect
	Directory         string // of the write-ahead log
	ReplicationFactor int    // of a group that this server bootstraps
	Consensus         consensus.Config
	Peers             []consensus.Member // members of the group to bootstrap, or the addresses of its current members
}

// The defaults of copies.toml.
const (
	defaultReplicationFactor = 3
	defaultAttemptTimeoutMS  = 100
	defaultProposalTimeoutMS = 1000
	defaultMaxInFlight       = 1024
	defaultRepairRate        = 2000 // keys per second
	defaultMaxRepairs        = 32
)

type replicationFile struct {
	ID                uint32 `toml:"id"`
	Listen            string `toml:"listen"`
	Directory         string `toml:"folder"`
	ReplicationFactor int    `toml:"copies"`
	AttemptTimeoutMS  int    `toml:"wait_ms"`
	ProposalTimeoutMS int    `toml:"most_ms"`
	MaxInFlight       int    `toml:"changes"`
	RepairRate        int    `toml:"repair_keys_per_s"`
	MaxRepairs        int    `toml:"repair_at_once"`
	Member            []struct {
		ID      uint32 `toml:"id"`
		Address string `toml:"address"`
	} `toml:"member"`
}

func parseReplication(text []byte) (Replication, error) {
	const in inFile = replicationFileName
	file := replicationFile{
		ReplicationFactor: defaultReplicationFactor,
		AttemptTimeoutMS:  defaultAttemptTimeoutMS,
		ProposalTimeoutMS: defaultProposalTimeoutMS,
		MaxInFlight:       defaultMaxInFlight,
		RepairRate:        defaultRepairRate,
		MaxRepairs:        defaultMaxRepairs,
	}
	if err := in.decode(text, &file); err != nil {
		return Replication{}, err
	}
	cfg := Replication{
		ServerID:          file.ID,
		Listen:            file.Listen,
		Directory:         file.Directory,
		ReplicationFactor: file.ReplicationFactor,
		Consensus: consensus.Config{
			AttemptTimeout:  milliseconds(file.AttemptTimeoutMS),
			ProposalTimeout: milliseconds(file.ProposalTimeoutMS),
			MaxInFlight:     file.MaxInFlight,
			RepairRate:      file.RepairRate,
			MaxRepairs:      file.MaxRepairs,
		},
	}
	for i, member := range file.Member {
		if err := in.checkAddress(fmt.Sprintf("member %d: address", i+1), member.Address); err != nil {
			return cfg, err
		}
		identity := consensus.Identity{ID: member.ID}
		cfg.Peers = append(cfg.Peers, consensus.Member{Identity: identity, Addr: member.Address})
	}
	if cfg.ServerID == 0 {
		return cfg, nil
	}
	if err := in.checkAddress("listen", cfg.Listen); err != nil {
		return cfg, err
	}
	if err := cfg.check(); err != nil {
		return cfg, &KeyError{File: string(in), Err: err}
	}
	return cfg, nil
}

var errNoFolder = errors.New("folder: missing")

// notMemberError means that the configured group does not contain this server.
type notMemberError struct {
	serverID uint32 // id of this server
}

// Error implements error.
func (e *notMemberError) Error() string {
	return fmt.Sprintf("member: none has id %d, this server's own", e.serverID)
}

// check checks that the members form a valid group that contains this server.
func (c Replication) check() error {
	if c.Directory == "" {
		return errNoFolder
	}
	group := consensus.Membership{ClusterID: 1, Epoch: 1, ReplicationFactor: c.ReplicationFactor, Current: c.Peers}
	if err := errors.Join(c.Consensus.Validate(), group.Validate()); err != nil {
		return err
	}
	if !slices.ContainsFunc(c.Peers, func(peer consensus.Member) bool { return peer.ID == c.ServerID }) {
		return &notMemberError{serverID: c.ServerID}
	}
	return nil
}
