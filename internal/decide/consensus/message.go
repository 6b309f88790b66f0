package consensus

// Request is a request of a proposer to an acceptor. With neither Accept nor Read set, it belongs to the prepare phase
// of CASPaxos and asks for a promise and for the accepted value.
type Request struct {
	To          Identity
	Key         string
	Epoch       uint64 // of the membership in force at the proposer
	AttemptedAt int64  // time of the attempt, Unix milliseconds; it determines when the key expires
	Ballot      Ballot
	Accept      bool  // the request belongs to the accept phase: it asks to accept Value
	Read        bool  // the request asks for the accepted value without a promise
	Value       Value // of Accept
}

// Reply is the acceptor's answer to a Request.
type Reply struct {
	From     Identity
	Key      string
	Epoch    uint64 // of the membership in force at the acceptor, which refuses requests of other epochs
	Ballot   Ballot // of the request
	Accept   bool   // as in the request
	Read     bool   // as in the request
	OK       bool   // the request was granted
	Promised Ballot // if not OK: the higher ballot that was promised; zero if the request was of another epoch
	Accepted Ballot // of Value
	Value    Value  // the accepted value
}

// TransferAck acknowledges that a member has transferred all its keys to their replicas in the next configuration.
type TransferAck struct {
	Epoch uint64
	From  Identity
}
