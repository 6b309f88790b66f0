package consensus

import (
	"maps"
	"slices"
)

// compactKeyOrderFrom is how many stale entries the order of keys may have before it is compacted.
const compactKeyOrderFrom = 1000

// Register is what an acceptor keeps of a key. It has to be durable before the reply goes out that it was changed for.
type Register struct {
	Promised, Accepted Ballot
	Value              Value
	LastAttemptAt      int64  // the last attempt that the key was asked for, Unix milliseconds
	TransferredEpoch   uint64 // the last epoch in which the key was transferred to the replicas of the next configuration
}

// Acceptor is the acceptors' side of the protocol: it promises, accepts and remembers.
type Acceptor struct {
	Self      Identity
	Epoch     uint64 // of the membership that it goes by
	registers map[string]Register
	// keyOrder has the keys as they came, so that they can be gone through a part at a time. It may have keys that have
	// expired, and keys twice.
	keyOrder []string
}

// NewAcceptor returns an acceptor with the registers that it had made durable; nil: none, as a new incarnation has.
func NewAcceptor(self Identity, registers map[string]Register) *Acceptor {
	if registers == nil {
		registers = map[string]Register{}
	}
	return &Acceptor{Self: self, registers: registers, keyOrder: slices.Sorted(maps.Keys(registers))}
}

// Handle answers a request. changed says that the key's register has to be made durable before the reply goes out. ok
// is false where there is no reply, because the request is for another incarnation.
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

// Register returns what is kept of a key.
func (a *Acceptor) Register(key string) Register { return a.registers[key] }

// Expire drops the keys whose last attempt came before a time (Unix milliseconds), and returns how many they were. All
// replicas of a key have to be past its retention by more than any request is on its way.
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

// setEpoch goes by the membership of an epoch from now on. Registers of earlier memberships are dropped, as requests of
// earlier epochs are refused.
func (a *Acceptor) setEpoch(epoch uint64) {
	a.Epoch = epoch
	for key := range a.registers {
		if isMembershipKey(key) && key != membershipKey(epoch) {
			delete(a.registers, key)
		}
	}
}

// markTransferred notes that a majority of the key's next replicas has accepted its value.
func (a *Acceptor) markTransferred(key string) (_ Register, changed bool) {
	register, ok := a.registers[key]
	if !ok || register.TransferredEpoch == a.Epoch {
		return register, false
	}
	register.TransferredEpoch = a.Epoch
	a.registers[key] = register
	return register, true
}

// compactKeyOrder drops stale entries from the order of keys, where these are most of it.
func (a *Acceptor) compactKeyOrder() {
	if len(a.keyOrder) <= 2*len(a.registers)+compactKeyOrderFrom {
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

// repairable reports whether a key has a value that may have to be brought to other replicas.
func (a *Acceptor) repairable(key string) bool {
	return !isMembershipKey(key) && a.registers[key].Value.Kind != KindNone
}

// valueKeys returns the keys that have a value, without those of memberships, in their order.
func (a *Acceptor) valueKeys() (keys []string) {
	for key := range a.registers {
		if a.repairable(key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
