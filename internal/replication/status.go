package replication

import (
	"encoding/base64"
	"fmt"
	"slices"

	"pewterline/internal/decide/consensus"
)

// MemberStatus is the status of a member of the group, as shown to operators. Incarnations are in hexadecimal.
type MemberStatus struct {
	ID          uint32 `json:"id"`
	Incarnation string `json:"life"`
	Address     string `json:"address"`
	Up          bool   `json:"up"`
	InCurrent   bool   `json:"now"`     // is one of the current members
	InNext      bool   `json:"to_come"` // is one of the next members, while a change is in progress
	// CurrentIncarnation is the incarnation in the latest hello of the server. It differs from Incarnation if the server
	// has lost its disk. "": unknown.
	CurrentIncarnation string `json:"lives"`
}

// Status is this server's view of the group.
type Status struct {
	Self               consensus.Identity
	Voting             bool // false: this server's disk has failed
	MembersTransferred int  // how many members have transferred their registers to the next members
	Members            []MemberStatus
}

// Status returns this server's view of the group.
func (r *Replica) Status() Status {
	membership := r.node.Membership()
	status := Status{
		Self:               r.node.AcceptorID,
		Voting:             !r.diskFailed,
		MembersTransferred: r.node.TransferAcks(),
	}
	for _, member := range membership.Members() {
		memberStatus := MemberStatus{
			ID:          member.ID,
			Incarnation: formatIncarnation(member.Incarnation),
			Address:     member.Addr,
			Up:          member.ID == r.config.ID || r.links.Connected(member.ID),
			InCurrent:   slices.Contains(membership.Current, member),
			InNext:      slices.Contains(membership.Next, member),
		}
		if incarnation, known := r.incarnation(member.ID); known {
			memberStatus.CurrentIncarnation = formatIncarnation(incarnation)
		}
		status.Members = append(status.Members, memberStatus)
	}
	return status
}

func formatIncarnation(incarnation uint64) string { return fmt.Sprintf("%x", incarnation) }

// incarnation returns the incarnation in the latest hello of a server.
func (r *Replica) incarnation(id uint32) (incarnation uint64, known bool) {
	if id == r.config.ID {
		return r.node.AcceptorID.Incarnation, true
	}
	hello, known := r.links.LastHello(id)
	return hello.Incarnation, known
}

// ExportedKey is a key that this server stores, as shown to operators.
type ExportedKey struct {
	Key            string `json:"key"`  // tenant, a zero byte and the idempotency key
	Kind           string `json:"kind"` // "intent", "passed" or "failed"
	Owner          uint32 `json:"owner"`
	ArrivedAtMilli int64  `json:"at_ms"`
	Result         string `json:"result"` // in base64
}

// Export returns at most limit keys that this server stores and that are greater than after, in ascending order.
func (r *Replica) Export(after string, limit int) []ExportedKey {
	exported := []ExportedKey{} // not nil, so that no keys are encoded as an empty list
	for _, key := range r.node.Keys(after, limit) {
		value := r.node.Register(key).Value
		exported = append(exported, ExportedKey{
			Key:            key,
			Kind:           exportedKind(value.Kind),
			Owner:          value.Owner,
			ArrivedAtMilli: value.AttemptedAt,
			Result:         base64.StdEncoding.EncodeToString([]byte(value.Result)),
		})
	}
	return exported
}

// exportedKind returns the name of a kind in the operators' export.
func exportedKind(kind consensus.ValueKind) string {
	switch kind {
	case consensus.KindLeased:
		return "intent"
	case consensus.KindSucceeded:
		return "passed"
	case consensus.KindFailed:
		return "failed"
	default:
		return ""
	}
}
