package holdings

import (
	"encoding/base64"
	"errors"
	"fmt"
	"slices"

	"pewterline/internal/decide/copies"
	"pewterline/internal/micro"
)

// Member is a member as operators see it.
type Member struct {
	ID      uint32 `json:"id"`
	Life    string `json:"life"`
	Address string `json:"address"`
	Up      bool   `json:"up"`
	Now     bool   `json:"now"`
	ToCome  bool   `json:"to_come"` // of the group that follows, while a change is under way
	Lives   string `json:"lives"`   // the life that the server has now; unlike Life where its disk was lost. "": not known
}

// View is the group as this server sees it.
type View struct {
	Self    copies.Member
	Voting  bool
	Marked  int
	Members []Member
}

// View returns the group as this server sees it.
func (h *Holdings) View() View {
	g := h.node.Group()
	v := View{Self: h.node.Self, Voting: !h.broken, Marked: h.node.Marked()}
	for _, p := range g.All() {
		m := Member{ID: p.ID, Life: fmt.Sprintf("%x", p.Life), Address: p.Addr, Up: p.ID == h.cfg.ID || h.peers.Up(p.ID),
			Now: slices.Contains(g.Now, p), ToCome: slices.Contains(g.Next, p)}
		if life, ok := h.life(p.ID); ok {
			m.Lives = fmt.Sprintf("%x", life)
		}
		v.Members = append(v.Members, m)
	}
	return v
}

// life is that of a server, as it has said itself.
func (h *Holdings) life(id uint32) (uint64, bool) {
	if id == h.cfg.ID {
		return h.node.Self.Life, true
	}
	k, ok := h.peers.Known(id)
	return k.Life, ok
}

// done sends what an operator's word has led to.
func (h *Holdings) done(err error) error {
	h.flush(h.loop.Now())
	return err
}

// Found makes a group of the servers in the file, all of which have to be there and without one.
func (h *Holdings) Found() error {
	name, err := random()
	if err != nil {
		return err
	}
	g := copies.Group{Name: name, Copies: h.cfg.Copies, Why: "founded"}
	var missing []error
	for _, p := range h.cfg.Peers {
		life, ok := h.life(p.ID)
		if k, _ := h.peers.Known(p.ID); !ok || p.ID != h.cfg.ID && (!h.peers.Up(p.ID) || k.Group != 0) {
			missing = append(missing, fmt.Errorf("server %d at %s can't be reached, or has a group", p.ID, p.Addr))
		}
		g.Now = append(g.Now, copies.Peer{Member: copies.Member{ID: p.ID, Life: life}, Addr: p.Addr})
	}
	if h.node.Group().Epoch == 0 && len(missing) > 0 {
		return fmt.Errorf("%w: %w", copies.ErrMember, errors.Join(missing...))
	}
	return h.done(h.node.Found(h.loop.Now(), g))
}

// Add takes a server into the group; at an address, or that of the file.
func (h *Holdings) Add(id uint32, addr, why string) error {
	g := h.node.Group()
	life, ok := h.life(id)
	if !ok {
		return fmt.Errorf("%w: server %d has not been heard of; it has to be up, with this server in its file", copies.ErrMember, id)
	}
	if i := slices.IndexFunc(h.cfg.Peers, func(p copies.Peer) bool { return p.ID == id }); addr == "" && i >= 0 {
		addr = h.cfg.Peers[i].Addr
	}
	next := slices.DeleteFunc(slices.Clone(g.Now), func(p copies.Peer) bool { return p.ID == id })
	next = append(next, copies.Peer{Member: copies.Member{ID: id, Life: life}, Addr: addr})
	return h.done(h.node.Propose(h.loop.Now(), next, because(why, "added server %d", id)))
}

// Remove takes a server out of the group.
func (h *Holdings) Remove(id uint32, why string) error {
	next := slices.DeleteFunc(slices.Clone(h.node.Group().Now), func(p copies.Peer) bool { return p.ID == id })
	return h.done(h.node.Propose(h.loop.Now(), next, because(why, "removed server %d", id)))
}

// GiveUp ends a change of members that is under way.
func (h *Holdings) GiveUp() error { return h.done(h.node.GiveUp(h.loop.Now())) }

// Repair has all that is held here brought to all its holders.
func (h *Holdings) Repair() {
	h.node.Repair()
	h.flush(h.loop.Now())
}

// Force goes on with some members, without a majority; see copies.Node.
func (h *Holdings) Force(keep []uint32, why string) error {
	now := h.loop.Now()
	lost := h.wall(now) + lostSlack
	err := h.node.Force(now, keep, lost, because(why, "forced: kept %v", keep))
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

// Kept is a key that is held here, as operators see it.
type Kept struct {
	Key    string `json:"key"` // tenant, a zero, and the once-key
	Kind   string `json:"kind"`
	Owner  uint32 `json:"owner"`
	At     int64  `json:"at_ms"`
	Result string `json:"result"` // in base64
}

var kinds = map[copies.Kind]string{copies.Intent: "intent", copies.Passed: "passed", copies.Failed: "failed"}

// Export returns what is held here, in the order of keys, behind one; at most so many.
func (h *Holdings) Export(after string, most int) (out []Kept) {
	out = []Kept{}
	for _, key := range h.node.Keys(after, most) {
		v := h.node.Slot(key).Value
		out = append(out, Kept{key, kinds[v.Kind], v.Owner, v.At, base64.StdEncoding.EncodeToString([]byte(v.Result))})
	}
	return out
}

// Window sets the longest that any key is kept, when the settings change.
func (h *Holdings) Window(w micro.Time) { h.window = max(h.window, int64(w/micro.Millisecond)) }
