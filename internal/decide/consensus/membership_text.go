package consensus

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// membershipKeyPrefix is the prefix of the keys of membership registers. No idempotency key starts with a zero byte.
const membershipKeyPrefix = "\x00group/"

// membershipKey returns the key of the register in which the membership that follows an epoch is decided.
func membershipKey(epoch uint64) string { return membershipKeyPrefix + strconv.FormatUint(epoch, 10) }

func isMembershipKey(key string) bool { return strings.HasPrefix(key, membershipKeyPrefix) }

const (
	// memberFields is the number of fields of a member: ID, incarnation and address.
	memberFields = 3
	// membershipParts is the number of parts of a membership: the numbers, both configurations and the quoted reason.
	membershipParts = 4
)

// String returns the text that ParseMembership reads. It is part of the wire and disk formats.
func (m Membership) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %d %d %d", m.ClusterID, m.Epoch, m.ReplicationFactor, m.ForcedAt)
	for _, configuration := range [][]Member{m.Current, m.Next} {
		b.WriteString(" |")
		for _, member := range configuration {
			fmt.Fprintf(&b, " %d %d %s", member.ID, member.Incarnation, member.Addr)
		}
	}
	return b.String() + " | " + strconv.Quote(m.Reason)
}

// ParseMembership parses the text of a membership and validates it. All errors wrap ErrInvalidMembership.
func ParseMembership(text string) (m Membership, err error) {
	parts := strings.SplitN(text, " |", membershipParts)
	if len(parts) != membershipParts {
		return m, fmt.Errorf("%w: %q is not the text of a membership", ErrInvalidMembership, text)
	}
	if _, err := fmt.Sscan(parts[0], &m.ClusterID, &m.Epoch, &m.ReplicationFactor, &m.ForcedAt); err != nil {
		return m, fmt.Errorf("%w: %w", ErrInvalidMembership, err)
	}
	if m.Current, err = parseMembers(parts[1]); err != nil {
		return m, err
	}
	if m.Next, err = parseMembers(parts[2]); err != nil {
		return m, err
	}
	if m.Reason, err = strconv.Unquote(strings.TrimSpace(parts[3])); err != nil {
		return m, fmt.Errorf("%w: %w", ErrInvalidMembership, err)
	}
	return m, m.Validate()
}

func parseMembers(text string) (members []Member, err error) {
	fields := strings.Fields(text)
	if len(fields)%memberFields != 0 {
		return nil, fmt.Errorf("%w: the last member is incomplete", ErrInvalidMembership)
	}
	for ; len(fields) > 0; fields = fields[memberFields:] {
		id, idErr := strconv.ParseUint(fields[0], 10, 32)
		incarnation, incarnationErr := strconv.ParseUint(fields[1], 10, 64)
		if err := errors.Join(idErr, incarnationErr); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalidMembership, err)
		}
		members = append(members, Member{Identity{uint32(id), incarnation}, fields[2]})
	}
	return members, nil
}
