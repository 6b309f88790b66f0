package consensus

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Member is a member, and where the others reach it.
type Member struct {
	Identity
	Addr string
}

// Membership is who holds copies. Each group names the one that follows it, in a register of its own at all its members: so there is
// one line of groups, and whoever has heard of the newest knows it all. A change of members goes by two steps (D. Ongaro and
// J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, joint consensus): first Next is named, and from then
// on each key needs a majority of its holders of both; once what is held has been brought to those of Next, Next is all there is.
// Those of Now alone agree on what follows, so that a change whose newcomer is lost can be given up.
type Membership struct {
	ClusterID         uint64 // drawn when it was founded: those of another name are strangers
	Epoch             uint64 // one more with each group; 0: none is known
	ReplicationFactor int    // of each key
	Current           []Member
	Next              []Member // empty: no change is under way
	ForcedAt          int64    // Unix milliseconds: an operator went on then without a majority. 0: that was never so
	Reason            string
}

// ErrInvalidMembership is wrapped by what makes no sense of a group.
var ErrInvalidMembership = errors.New("copies: group")

// MaxMembers are the members of a group at most.
const MaxMembers = 300

// Validate names what makes no sense.
func (g Membership) Validate() error {
	if g.ClusterID == 0 || g.Epoch == 0 {
		return fmt.Errorf("%w: it has no name or no epoch", ErrInvalidMembership)
	}
	if g.ReplicationFactor < 1 || g.ReplicationFactor%2 == 0 || g.ReplicationFactor > 9 {
		return fmt.Errorf("%w: %d copies are not odd and within 1 to 9", ErrInvalidMembership, g.ReplicationFactor)
	}
	for _, set := range [][]Member{g.Current, g.Next} {
		if len(set) > MaxMembers {
			return fmt.Errorf("%w: %d members are over %d", ErrInvalidMembership, len(set), MaxMembers)
		}
		ids := map[uint32]bool{}
		for _, p := range set {
			if p.ID == 0 || ids[p.ID] || p.Addr == "" || strings.ContainsAny(p.Addr, " |\"") {
				return fmt.Errorf("%w: member %d at %q: its number is 0 or not its own, or its address none", ErrInvalidMembership, p.ID, p.Addr)
			}
			ids[p.ID] = true
		}
	}
	if len(g.Current) == 0 {
		return fmt.Errorf("%w: it has no members", ErrInvalidMembership)
	}
	return nil
}

// Find is the member of that number, of those to come first.
func (g Membership) Find(id uint32) (Member, bool) {
	for _, set := range [][]Member{g.Next, g.Current} {
		if i := slices.IndexFunc(set, func(p Member) bool { return p.ID == id }); i >= 0 {
			return set[i], true
		}
	}
	return Member{}, false
}

// Contains says that a member is of the group, now or to come.
func (g Membership) Contains(m Identity) bool {
	is := func(p Member) bool { return p.Identity == m }
	return slices.ContainsFunc(g.Current, is) || slices.ContainsFunc(g.Next, is)
}

// Members are the members, now and to come, each once.
func (g Membership) Members() []Member {
	out := slices.Clone(g.Current)
	for _, p := range g.Next {
		if !slices.ContainsFunc(out, func(o Member) bool { return o.Identity == p.Identity }) {
			out = append(out, p)
		}
	}
	return out
}

func members(peers []Member) (out []Identity) {
	for _, p := range peers {
		out = append(out, p.Identity)
	}
	return out
}

// sets are the members now, and those to come if there are any.
func (g Membership) sets() [][]Identity {
	if len(g.Next) == 0 {
		return [][]Identity{members(g.Current)}
	}
	return [][]Identity{members(g.Current), members(g.Next)}
}

// Replicas are the sets of holders of a key.
func (g Membership) Replicas(key string, score func(string) uint64) [][]Identity {
	out := g.sets()
	for i := range out {
		out[i] = Replicas(key, out[i], g.ReplicationFactor, score)
	}
	return out
}

// ToleratedFailures is how many members may be lost without any key's majority being lost.
func (g Membership) ToleratedFailures() int {
	return (min(g.ReplicationFactor, len(g.Current)) - 1) / 2
}

// String is the text that Parse reads.
func (g Membership) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %d %d %d", g.ClusterID, g.Epoch, g.ReplicationFactor, g.ForcedAt)
	for _, set := range [][]Member{g.Current, g.Next} {
		b.WriteString(" |")
		for _, p := range set {
			fmt.Fprintf(&b, " %d %d %s", p.ID, p.Incarnation, p.Addr)
		}
	}
	return b.String() + " | " + strconv.Quote(g.Reason)
}

// ParseMembership reads a group.
func ParseMembership(text string) (g Membership, err error) {
	parts := strings.SplitN(text, " |", 4)
	if len(parts) != 4 {
		return g, fmt.Errorf("%w: %q is no group's text", ErrInvalidMembership, text)
	}
	if _, err := fmt.Sscan(parts[0], &g.ClusterID, &g.Epoch, &g.ReplicationFactor, &g.ForcedAt); err != nil {
		return g, fmt.Errorf("%w: %w", ErrInvalidMembership, err)
	}
	for i, set := range []*[]Member{&g.Current, &g.Next} {
		f := strings.Fields(parts[i+1])
		for len(f) >= 3 {
			id, err := strconv.ParseUint(f[0], 10, 32)
			life, err2 := strconv.ParseUint(f[1], 10, 64)
			if err := errors.Join(err, err2); err != nil {
				return g, fmt.Errorf("%w: %w", ErrInvalidMembership, err)
			}
			*set = append(*set, Member{Identity{uint32(id), life}, f[2]})
			f = f[3:]
		}
		if len(f) > 0 {
			return g, fmt.Errorf("%w: half a member", ErrInvalidMembership)
		}
	}
	if g.Reason, err = strconv.Unquote(strings.TrimSpace(parts[3])); err != nil {
		return g, fmt.Errorf("%w: %w", ErrInvalidMembership, err)
	}
	return g, g.Validate()
}

// follow is the group after g, with the members given to come.
func (g Membership) follow(next []Member, why string) Membership {
	return Membership{ClusterID: g.ClusterID, Epoch: g.Epoch + 1, ReplicationFactor: g.ReplicationFactor, Current: g.Current, Next: next, ForcedAt: g.ForcedAt, Reason: why}
}

// back is the group after g, without the change that is under way.
func (g Membership) back() Membership { return g.follow(nil, "the change is given up: "+g.Reason) }

// settle is the group after g, whose members to come are all there is.
func (g Membership) settle() Membership {
	return Membership{ClusterID: g.ClusterID, Epoch: g.Epoch + 1, ReplicationFactor: g.ReplicationFactor, Current: g.Next, ForcedAt: g.ForcedAt, Reason: g.Reason}
}

// groupKey is the register that names the group after one.
func groupKey(epoch uint64) string { return fmt.Sprintf("\x00group/%d", epoch) }

func isGroupKey(key string) bool { return strings.HasPrefix(key, "\x00group/") }
