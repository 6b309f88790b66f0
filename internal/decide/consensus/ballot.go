package consensus

import "cmp"

// Identity identifies one incarnation of a server. As an acceptor, a server keeps its incarnation for as long as it has
// its disk: after the loss of the disk it is a new acceptor, whose votes do not count as those of the former one. As a
// proposer, it has a new incarnation with each process.
type Identity struct {
	ID          uint32
	Incarnation uint64
}

// Ballot orders the attempts to change a key. Ballots are unique: a restarted process does not know which numbers the
// process before it has used, and therefore counts as another proposer.
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
