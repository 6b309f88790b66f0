package copies

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Peer is a member, and where the others reach it.
type Peer struct {
	Member
	Addr string
}

// Group is who holds copies. Each group names the one that follows it, in a register of its own at all its members: so there is
// one line of groups, and whoever has heard of the newest knows it all. A change of members goes by two steps (D. Ongaro and
// J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, joint consensus): first Next is named, and from then
// on each key needs a majority of its holders of both; once what is held has been brought to those of Next, Next is all there is.
// Those of Now alone agree on what follows, so that a change whose newcomer is lost can be given up.
type Group struct {
	Name   uint64 // drawn when it was founded: those of another name are strangers
	Epoch  uint64 // one more with each group; 0: none is known
	Copies int    // of each key
	Now    []Peer
	Next   []Peer // empty: no change is under way
	Lost   int64  // Unix milliseconds: an operator went on then without a majority. 0: that was never so
	Why    string
}

// ErrGroup is wrapped by what makes no sense of a group.
var ErrGroup = errors.New("copies: group")

// Most are the members of a group at most.
const Most = 300

// Check names what makes no sense.
func (g Group) Check() error {
	if g.Name == 0 || g.Epoch == 0 {
		return fmt.Errorf("%w: it has no name or no epoch", ErrGroup)
	}
	if g.Copies < 1 || g.Copies%2 == 0 || g.Copies > 9 {
		return fmt.Errorf("%w: %d copies are not odd and within 1 to 9", ErrGroup, g.Copies)
	}
	for _, set := range [][]Peer{g.Now, g.Next} {
		if len(set) > Most {
			return fmt.Errorf("%w: %d members are over %d", ErrGroup, len(set), Most)
		}
		ids := map[uint32]bool{}
		for _, p := range set {
			if p.ID == 0 || ids[p.ID] || p.Addr == "" || strings.ContainsAny(p.Addr, " |\"") {
				return fmt.Errorf("%w: member %d at %q: its number is 0 or not its own, or its address none", ErrGroup, p.ID, p.Addr)
			}
			ids[p.ID] = true
		}
	}
	if len(g.Now) == 0 {
		return fmt.Errorf("%w: it has no members", ErrGroup)
	}
	return nil
}

// Find is the member of that number, of those to come first.
func (g Group) Find(id uint32) (Peer, bool) {
	for _, set := range [][]Peer{g.Next, g.Now} {
		if i := slices.IndexFunc(set, func(p Peer) bool { return p.ID == id }); i >= 0 {
			return set[i], true
		}
	}
	return Peer{}, false
}

// Has says that a member is of the group, now or to come.
func (g Group) Has(m Member) bool {
	is := func(p Peer) bool { return p.Member == m }
	return slices.ContainsFunc(g.Now, is) || slices.ContainsFunc(g.Next, is)
}

// All are the members, now and to come, each once.
func (g Group) All() []Peer {
	out := slices.Clone(g.Now)
	for _, p := range g.Next {
		if !slices.ContainsFunc(out, func(o Peer) bool { return o.Member == p.Member }) {
			out = append(out, p)
		}
	}
	return out
}

func members(peers []Peer) (out []Member) {
	for _, p := range peers {
		out = append(out, p.Member)
	}
	return out
}

// sets are the members now, and those to come if there are any.
func (g Group) sets() [][]Member {
	if len(g.Next) == 0 {
		return [][]Member{members(g.Now)}
	}
	return [][]Member{members(g.Now), members(g.Next)}
}

// Holders are the sets of holders of a key.
func (g Group) Holders(key string, score func(string) uint64) [][]Member {
	out := g.sets()
	for i := range out {
		out[i] = Holders(key, out[i], g.Copies, score)
	}
	return out
}

// Spare is how many members may be lost without any key's majority being lost.
func (g Group) Spare() int { return (min(g.Copies, len(g.Now)) - 1) / 2 }

// String is the text that Parse reads.
func (g Group) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %d %d %d", g.Name, g.Epoch, g.Copies, g.Lost)
	for _, set := range [][]Peer{g.Now, g.Next} {
		b.WriteString(" |")
		for _, p := range set {
			fmt.Fprintf(&b, " %d %d %s", p.ID, p.Life, p.Addr)
		}
	}
	return b.String() + " | " + strconv.Quote(g.Why)
}

// Parse reads a group.
func Parse(text string) (g Group, err error) {
	parts := strings.SplitN(text, " |", 4)
	if len(parts) != 4 {
		return g, fmt.Errorf("%w: %q is no group's text", ErrGroup, text)
	}
	if _, err := fmt.Sscan(parts[0], &g.Name, &g.Epoch, &g.Copies, &g.Lost); err != nil {
		return g, fmt.Errorf("%w: %w", ErrGroup, err)
	}
	for i, set := range []*[]Peer{&g.Now, &g.Next} {
		f := strings.Fields(parts[i+1])
		for len(f) >= 3 {
			id, err := strconv.ParseUint(f[0], 10, 32)
			life, err2 := strconv.ParseUint(f[1], 10, 64)
			if err := errors.Join(err, err2); err != nil {
				return g, fmt.Errorf("%w: %w", ErrGroup, err)
			}
			*set = append(*set, Peer{Member{uint32(id), life}, f[2]})
			f = f[3:]
		}
		if len(f) > 0 {
			return g, fmt.Errorf("%w: half a member", ErrGroup)
		}
	}
	if g.Why, err = strconv.Unquote(strings.TrimSpace(parts[3])); err != nil {
		return g, fmt.Errorf("%w: %w", ErrGroup, err)
	}
	return g, g.Check()
}

// follow is the group after g, with the members given to come.
func (g Group) follow(next []Peer, why string) Group {
	return Group{Name: g.Name, Epoch: g.Epoch + 1, Copies: g.Copies, Now: g.Now, Next: next, Lost: g.Lost, Why: why}
}

// back is the group after g, without the change that is under way.
func (g Group) back() Group { return g.follow(nil, "the change is given up: "+g.Why) }

// settle is the group after g, whose members to come are all there is.
func (g Group) settle() Group {
	return Group{Name: g.Name, Epoch: g.Epoch + 1, Copies: g.Copies, Now: g.Next, Lost: g.Lost, Why: g.Why}
}

// groupKey is the register that names the group after one.
func groupKey(epoch uint64) string { return fmt.Sprintf("\x00group/%d", epoch) }

func isGroupKey(key string) bool { return strings.HasPrefix(key, "\x00group/") }
