// Package orderedset provides a set whose iteration order depends only on the calls made to it, so that replays of the
// same events behave the same. The iteration order of a map is random.
//
// The frontends and backends keep their sessions, connections and runs in it. It is not safe for concurrent use.
package orderedset

// Position is the index of an element in its set. A type whose pointers are elements embeds it. An element must be in
// one set at most.
type Position struct{ index int }

func (p *Position) position() *Position { return p }

// Element is the constraint of a set's elements: pointers to a type that embeds Position.
type Element interface{ position() *Position }

// Set is a set of elements. Adding and removing take constant time. The zero value is empty.
type Set[E Element] struct{ items []E }

// Add adds an element that is in no set.
func (s *Set[E]) Add(element E) {
	element.position().index = len(s.items)
	s.items = append(s.items, element)
}

// Remove removes an element, which must be in the set. The last element takes its place in the order.
func (s *Set[E]) Remove(element E) {
	index := element.position().index
	last := len(s.items) - 1
	s.items[index] = s.items[last]
	s.items[index].position().index = index
	var zero E
	s.items[last] = zero // Drop the reference for the garbage collector.
	s.items = s.items[:last]
}

// Len returns the number of elements.
func (s *Set[E]) Len() int { return len(s.items) }

// Items returns the elements in order. The slice is the set's own, and valid until the next Add or Remove.
func (s *Set[E]) Items() []E { return s.items }
