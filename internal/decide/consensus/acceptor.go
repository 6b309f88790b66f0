package consensus

import (
	"maps"
	"slices"
)

// staleKeyAllowance prevents a short keyOrder from being compacted again and again: keyOrder is compacted only when its
// stale entries outnumber the registers by more than this.
const staleKeyAllowance = 1000

// Register is the state of a key at an acceptor. A change must be durable before the reply that depends on it is sent.
type Register struct {
	Promised         Ballot // the highest ballot that the acceptor has promised
	Accepted         Ballot // the ballot of Value
	Value            Value
	LastAttemptAt    int64  // time of the last attempt for the key, Unix milliseconds
	TransferredEpoch uint64 // the last epoch in which the key was transferred to the replicas of the next configuration
}

// Acceptor is the acceptor role of the protocol: it promises ballots, accepts values and keeps the registers.
type Acceptor struct {
	Self      Identity
	Epoch     uint64 // of the membership in force
	registers map[string]Register
	// keyOrder holds the keys in the order in which they were added, so that a scan can process them in batches. It may
	// also hold expired keys and duplicates.
	keyOrder []string
}

// NewAcceptor returns an acceptor with the registers that were read from its disk; nil for a new incarnation.
func NewAcceptor(self Identity, registers map[string]Register) *Acceptor {
	if registers == nil {
		registers = map[string]Register{}
	}
	return &Acceptor{Self: self, registers: registers, keyOrder: slices.Sorted(maps.Keys(registers))}
}

// Handle answers a request. changed means that the key's register must be made durable before the reply is sent. ok is
// false, and there is no reply, if the request is addressed to another acceptor or to another incarnation of this one.
func (a *Acceptor) Handle(request Request) (_ Reply, changed, ok bool) {
	if request.To != a.Self {
		return Reply{}, false, false
	}
	register, known := a.registers[request.Key]
	reply := Reply{
		From:   a.Self,
		Key:    request.Key,
		Epoch:  a.Epoch,
		Ballot: request.Ballot,
		Accept: request.Accept,
		Read:   request.Read,
	}
	switch {
	case request.Epoch != a.Epoch:
		return reply, false, true
	case request.Read:
	case request.Ballot.Less(register.Promised):
		reply.Promised = register.Promised
		return reply, false, true
	default:
		register.Promised = request.Ballot
		if request.Accept {
			register.Accepted = request.Ballot
			register.Value = request.Value
		}
		register.LastAttemptAt = max(register.LastAttemptAt, request.AttemptedAt)
		a.registers[request.Key] = register
		if !known {
			a.keyOrder = append(a.keyOrder, request.Key)
		}
		changed = true
	}
	reply.OK = true
	reply.Accepted = register.Accepted
	reply.Value = register.Value
	return reply, changed, true
}

// Register returns the register of a key; the zero value if there is none.
func (a *Acceptor) Register(key string) Register { return a.registers[key] }

// Expire drops the keys whose LastAttemptAt is earlier than before (Unix milliseconds), and returns their number.
// before must be earlier than the current time by more than the retention plus the longest delay of a message: a
// replica that drops a key while an attempt for it is still in flight could grant the lease again.
func (a *Acceptor) Expire(before int64) (dropped int) {
	for key, register := range a.registers {
		if register.LastAttemptAt < before {
			delete(a.registers, key)
			dropped++
		}
	}
	return dropped
}

// Len returns how many keys have a register.
func (a *Acceptor) Len() int { return len(a.registers) }

// setEpoch sets the epoch of the membership in force. It drops the registers in which earlier memberships were decided,
// as requests of earlier epochs are refused.
func (a *Acceptor) setEpoch(epoch uint64) {
	a.Epoch = epoch
	for key := range a.registers {
		if isMembershipKey(key) && key != membershipKey(epoch) {
			delete(a.registers, key)
		}
	}
}

// markTransferred records that a majority of the key's replicas in the next configuration has accepted its value.
func (a *Acceptor) markTransferred(key string) (_ Register, changed bool) {
	register, ok := a.registers[key]
	if !ok || register.TransferredEpoch == a.Epoch {
		return register, false
	}
	register.TransferredEpoch = a.Epoch
	a.registers[key] = register
	return register, true
}

// compactKeyOrder drops the stale entries (expired keys and duplicates) from keyOrder, once they outnumber the
// registers by more than staleKeyAllowance.
func (a *Acceptor) compactKeyOrder() {
	if len(a.keyOrder) <= 2*len(a.registers)+staleKeyAllowance {
		return
	}
	seen := make(map[string]bool, len(a.registers))
	a.keyOrder = slices.DeleteFunc(a.keyOrder, func(key string) bool {
		_, kept := a.registers[key]
		stale := !kept || seen[key]
		seen[key] = true
		return stale
	})
}

// repairable reports whether a key has a value that other replicas may lack.
func (a *Acceptor) repairable(key string) bool {
	return !isMembershipKey(key) && a.registers[key].Value.Kind != KindNone
}

// valueKeys returns the repairable keys, sorted.
func (a *Acceptor) valueKeys() (keys []string) {
	for key := range a.registers {
		if a.repairable(key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
