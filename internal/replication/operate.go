package replication

import (
	"encoding/base64"
	"errors"
	"fmt"
	"slices"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/microtime"
)

// MemberStatus is a member as operators see it.
type MemberStatus struct {
	ID                 uint32 `json:"id"`
	Incarnation        string `json:"life"`
	Address            string `json:"address"`
	Up                 bool   `json:"up"`
	InCurrent          bool   `json:"now"`
	InNext             bool   `json:"to_come"` // of the group that follows, while a change is under way
	CurrentIncarnation string `json:"lives"`   // the life that the server has now; unlike Life where its disk was lost. "": not known
}

// Status is the group as this server sees it.
type Status struct {
	Self               consensus.Identity
	Voting             bool
	MembersTransferred int
	Members            []MemberStatus
}

// Status returns the group as this server sees it.
func (h *Replica) Status() Status {
	g := h.node.Membership()
	v := Status{Self: h.node.AcceptorID, Voting: !h.broken, MembersTransferred: h.node.TransferAcks()}
	for _, p := range g.Members() {
		m := MemberStatus{ID: p.ID, Incarnation: fmt.Sprintf("%x", p.Incarnation), Address: p.Addr, Up: p.ID == h.cfg.ID || h.peers.Connected(p.ID),
			InCurrent: slices.Contains(g.Current, p), InNext: slices.Contains(g.Next, p)}
		if life, ok := h.life(p.ID); ok {
			m.CurrentIncarnation = fmt.Sprintf("%x", life)
		}
		v.Members = append(v.Members, m)
	}
	return v
}

// life is that of a server, as it has said itself.
func (h *Replica) life(id uint32) (uint64, bool) {
	if id == h.cfg.ID {
		return h.node.AcceptorID.Incarnation, true
	}
	k, ok := h.peers.LastHello(id)
	return k.Incarnation, ok
}

// done sends what an operator's word has led to.
func (h *Replica) done(err error) error {
	h.flush(h.loop.Now())
	return err
}

// Bootstrap makes a group of the servers in the file, all of which have to be there and without one.
func (h *Replica) Bootstrap() error {
	name, err := random()
	if err != nil {
		return err
	}
	g := consensus.Membership{ClusterID: name, ReplicationFactor: h.cfg.ReplicationFactor, Reason: "founded"}
	var missing []error
	for _, p := range h.cfg.Peers {
		life, ok := h.life(p.ID)
		if k, _ := h.peers.LastHello(p.ID); !ok || p.ID != h.cfg.ID && (!h.peers.Connected(p.ID) || k.ClusterID != 0) {
			missing = append(missing, fmt.Errorf("server %d at %s can't be reached, or has a group", p.ID, p.Addr))
		}
		g.Current = append(g.Current, consensus.Member{Identity: consensus.Identity{ID: p.ID, Incarnation: life}, Addr: p.Addr})
	}
	if h.node.Membership().Epoch == 0 && len(missing) > 0 {
		return fmt.Errorf("%w: %w", consensus.ErrInvalidChange, errors.Join(missing...))
	}
	return h.done(h.node.Bootstrap(h.loop.Now(), g))
}

// AddMember takes a server into the group; at an address, or that of the file.
func (h *Replica) AddMember(id uint32, addr, why string) error {
	g := h.node.Membership()
	life, ok := h.life(id)
	if !ok {
		return fmt.Errorf("%w: server %d has not been heard of; it has to be up, with this server in its file", consensus.ErrInvalidChange, id)
	}
	if i := slices.IndexFunc(h.cfg.Peers, func(p consensus.Member) bool { return p.ID == id }); addr == "" && i >= 0 {
		addr = h.cfg.Peers[i].Addr
	}
	next := slices.DeleteFunc(slices.Clone(g.Current), func(p consensus.Member) bool { return p.ID == id })
	next = append(next, consensus.Member{Identity: consensus.Identity{ID: id, Incarnation: life}, Addr: addr})
	return h.done(h.node.ProposeMembership(h.loop.Now(), next, because(why, "added server %d", id)))
}

// RemoveMember takes a server out of the group.
func (h *Replica) RemoveMember(id uint32, why string) error {
	next := slices.DeleteFunc(slices.Clone(h.node.Membership().Current), func(p consensus.Member) bool { return p.ID == id })
	return h.done(h.node.ProposeMembership(h.loop.Now(), next, because(why, "removed server %d", id)))
}

// AbandonChange ends a change of members that is under way.
func (h *Replica) AbandonChange() error { return h.done(h.node.AbandonChange(h.loop.Now())) }

// Repair has all that is held here brought to all its holders.
func (h *Replica) Repair() {
	h.node.RepairAll()
	h.flush(h.loop.Now())
}

// ForceMembership goes on with some members, without a majority; see copies.Node.
func (h *Replica) ForceMembership(keep []uint32, why string) error {
	now := h.loop.Now()
	lost := h.wall(now) + lostSlack
	err := h.node.ForceMembership(now, keep, lost, because(why, "forced: kept %v", keep))
	if err == nil {
		h.logf("holdings: LOSS: the group goes on with %v alone; what only others held is lost, and nothing runs of which nothing is known until %d", keep, lost+h.window)
	}
	return h.done(err)
}

func because(why, usual string, args ...any) string {
	if why != "" {
		return why
	}
	return fmt.Sprintf(usual, args...)
}

// ExportedKey is a key that is held here, as operators see it.
type ExportedKey struct {
	Key            string `json:"key"` // tenant, a zero, and the once-key
	Kind           string `json:"kind"`
	Owner          uint32 `json:"owner"`
	ArrivedAtMilli int64  `json:"at_ms"`
	Result         string `json:"result"` // in base64
}

var kinds = map[consensus.ValueKind]string{consensus.KindLeased: "intent", consensus.KindSucceeded: "passed", consensus.KindFailed: "failed"}

// Export returns what is held here, in the order of keys, behind one; at most so many.
func (h *Replica) Export(after string, most int) (out []ExportedKey) {
	out = []ExportedKey{}
	for _, key := range h.node.Keys(after, most) {
		v := h.node.Register(key).Value
		out = append(out, ExportedKey{key, kinds[v.Kind], v.Owner, v.AttemptedAt, base64.StdEncoding.EncodeToString([]byte(v.Result))})
	}
	return out
}

// ExtendRetention sets the longest that any key is kept, when the settings change.
func (h *Replica) ExtendRetention(w microtime.Time) {
	h.window = max(h.window, int64(w/microtime.Millisecond))
}
