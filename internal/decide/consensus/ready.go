package consensus

// Ready is what the host of a Node has to do, in this order: make Membership and Registers durable, send Requests,
// Replies, Notify and TransferAcks, and take the Results. Requests may be sent at once where Membership is nil: a vote
// of this server is a reply.
type Ready struct {
	Membership   *Membership // nil: as before
	Registers    []SavedRegister
	Requests     []Request
	Replies      []AddressedReply
	Notify       []uint32      // servers to which the membership has to be sent
	TransferAcks []TransferAck // for all members
	Results      []Result
}

// SavedRegister is a register that has to be durable before what comes with it is sent.
type SavedRegister struct {
	Key      string
	Register Register
}

// AddressedReply is a reply, and the proposer that it is for.
type AddressedReply struct {
	To Identity
	Reply
}

// Result is what a proposal has come to. Where it is not Known nobody can say whether the change was made: no majority
// replied in time.
type Result struct {
	ID      uint64
	Key     string
	Known   bool
	Outcome Outcome
	Value   Value
}
