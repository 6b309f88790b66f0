package config

import (
	"errors"
	"fmt"
	"slices"

	"pewterline/internal/decide/consensus"
)

// Replication is the file copies.toml: the group of servers that replicate each other's idempotency keys.
type Replication struct {
	ServerID          uint32 // of this server; 0: there is no replication
	Listen            string // where the other members connect
	Directory         string // of the log on disk
	ReplicationFactor int    // of a group that is bootstrapped here
	Consensus         consensus.Config
	Peers             []consensus.Member // of the group to be, or where its members are reached from here
}

// The defaults of copies.toml.
const (
	defaultReplicationFactor = 3
	defaultAttemptTimeoutMS  = 100
	defaultProposalTimeoutMS = 1000
	defaultMaxInFlight       = 1024
	defaultRepairRate        = 2000 // keys a second
	defaultMaxRepairs        = 32
)

type replicationFile struct {
	ID     uint32 `toml:"id"`
	Listen string `toml:"listen"`
	Folder string `toml:"folder"`
	Copies int    `toml:"copies"`
	Wait   int    `toml:"wait_ms"`
	Most   int    `toml:"most_ms"`
	Keys   int    `toml:"changes"`
	Rate   int    `toml:"repair_keys_per_s"`
	AtOnce int    `toml:"repair_at_once"`
	Member []struct {
		ID      uint32 `toml:"id"`
		Address string `toml:"address"`
	} `toml:"member"`
}

func parseReplication(text []byte) (Replication, error) {
	const in inFile = replicationFileName
	file := replicationFile{
		Copies: defaultReplicationFactor,
		Wait:   defaultAttemptTimeoutMS,
		Most:   defaultProposalTimeoutMS,
		Keys:   defaultMaxInFlight,
		Rate:   defaultRepairRate,
		AtOnce: defaultMaxRepairs,
	}
	if err := in.decode(text, &file); err != nil {
		return Replication{}, err
	}
	cfg := Replication{
		ServerID:          file.ID,
		Listen:            file.Listen,
		Directory:         file.Folder,
		ReplicationFactor: file.Copies,
		Consensus: consensus.Config{
			AttemptTimeout:  milliseconds(file.Wait),
			ProposalTimeout: milliseconds(file.Most),
			MaxInFlight:     file.Keys,
			RepairRate:      file.Rate,
			MaxRepairs:      file.AtOnce,
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

// check checks that the members can be a group that this server is in.
func (c Replication) check() error {
	if c.Directory == "" {
		return errNoFolder
	}
	group := consensus.Membership{ClusterID: 1, Epoch: 1, ReplicationFactor: c.ReplicationFactor, Current: c.Peers}
	if err := errors.Join(c.Consensus.Validate(), group.Validate()); err != nil {
		return err
	}
	if !slices.ContainsFunc(c.Peers, func(peer consensus.Member) bool { return peer.ID == c.ServerID }) {
		return fmt.Errorf("member: none has id %d, this server's own", c.ServerID)
	}
	return nil
}
