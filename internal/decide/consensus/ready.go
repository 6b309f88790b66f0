package consensus

// Ready is what the host of a Node must do, in this order: make Membership and Registers durable, then send Requests,
// Replies, the membership to the servers in Notify, and TransferAcks, and handle the Results. If Membership is nil,
// Requests may be sent before Registers are durable, as only Replies contain votes of this server.
type Ready struct {
	Membership   *Membership // nil: unchanged
	Registers    []SavedRegister
	Requests     []Request
	Replies      []AddressedReply
	Notify       []uint32      // IDs of servers to which the membership must be sent
	TransferAcks []TransferAck // to be sent to all members
	Results      []Result
}

// SavedRegister is a changed register, which must be durable before the Replies of the same Ready are sent.
type SavedRegister struct {
	Key      string
	Register Register
}

// AddressedReply is a reply with the proposer to which it must be sent.
type AddressedReply struct {
	To Identity
	Reply
}

// Result is the result of a proposal. If Known is false, no majority replied before the deadline, and the change may or
// may not have been made.
type Result struct {
	ID      uint64
	Key     string
	Known   bool
	Outcome Outcome
	Value   Value
}
