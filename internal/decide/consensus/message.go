package consensus

// Request is what a proposer asks of an acceptor. With neither Accept nor Read it is the first phase of CASPaxos: the
// acceptor is asked for its promise and for what it has accepted.
type Request struct {
	To          Identity
	Key         string
	Epoch       uint64 // of the membership that the proposer goes by
	AttemptedAt int64  // of the attempt that it is for, Unix milliseconds: the key expires by that
	Ballot      Ballot
	Accept      bool  // the second phase: Value is to be accepted
	Read        bool  // what was accepted is wanted, without a promise
	Value       Value // of Accept
}

// Reply is the acceptor's answer to a Request.
type Reply struct {
	From     Identity
	Key      string
	Epoch    uint64 // of the membership that the acceptor goes by; it takes no request of another epoch
	Ballot   Ballot // of the request
	Accept   bool   // as in the request
	Read     bool   // as in the request
	OK       bool
	Promised Ballot // where the reply is not OK: the ballot that stands in the way
	Accepted Ballot // of Value
	Value    Value  // the value that the acceptor has accepted last
}

// TransferAck says that a member has transferred all keys that it replicates to the replicas of the next configuration.
type TransferAck struct {
	Epoch uint64
	From  Identity
}
