package consensus

import "cmp"

// Identity names one incarnation of a server. As an acceptor a server keeps its incarnation as long as its disk: one
// whose disk was lost is another acceptor, and no vote of it counts as one of its old self. As a proposer it has a new
// incarnation with each process.
type Identity struct {
	ID          uint32
	Incarnation uint64
}

// Ballot orders the attempts to change a key. No two attempts have the same ballot: a process that starts anew may not
// know which numbers the one before it has used, and is another proposer.
type Ballot struct {
	Number   uint64
	Proposer Identity
}

// Less reports whether b comes before other.
func (b Ballot) Less(other Ballot) bool {
	return cmp.Or(
		cmp.Compare(b.Number, other.Number),
		cmp.Compare(b.Proposer.ID, other.Proposer.ID),
		cmp.Compare(b.Proposer.Incarnation, other.Proposer.Incarnation),
	) < 0
}
