package edge

// seat is a session's place in a bag.
type seat struct{ at int }

func (s *seat) seated() *seat { return s }

// bag is a set that is gone through in an order that depends on nothing but what was done to it. Guards replays,
// which a map's order would make differ. Adding and removing take no more than a map's.
type bag[T interface{ seated() *seat }] struct{ items []T }

func (b *bag[T]) add(x T) {
	x.seated().at = len(b.items)
	b.items = append(b.items, x)
}

// remove takes x out, which must be in; the last one takes its place.
func (b *bag[T]) remove(x T) {
	at, end := x.seated().at, len(b.items)-1
	b.items[at] = b.items[end]
	b.items[at].seated().at = at
	var none T
	b.items[end] = none
	b.items = b.items[:end]
}

func (b *bag[T]) len() int { return len(b.items) }
