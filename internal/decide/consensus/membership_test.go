package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// ParseMembership is the inverse of Membership.String.
func TestMembershipText(t *testing.T) {
	for name, membership := range map[string]Membership{
		"stable": {
			ClusterID:         1,
			Epoch:             2,
			ReplicationFactor: 3,
			Current:           []Member{member(1, 5), member(2, 6)},
			Reason:            "a \"why\" | of words\n",
		},
		"changing and forced": {
			ClusterID:         1 << 63,
			Epoch:             1 << 40,
			ReplicationFactor: 5,
			Current:           []Member{member(1, 5)},
			Next:              []Member{member(1, 5), member(9, 1<<63)},
			ForcedAt:          99,
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ParseMembership(membership.String())
			require.NoError(t, err)
			require.Equal(t, membership, got)
		})
	}
}

func TestParseMembershipRejects(t *testing.T) {
	for name, text := range map[string]string{
		"empty":                    "",
		"an incomplete member":     `1 2 3 0 | 1 | | ""`,
		"an even number of copies": `1 2 4 0 | 1 1 a | | ""`,
		"a duplicate server ID":    `1 2 3 0 | 1 1 a 1 2 b | | ""`,
		"a non-numeric server ID":  `1 2 3 0 | x 1 a | | ""`,
		"a reason without quotes":  `1 2 3 0 | 1 1 a | | no`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseMembership(text)
			require.ErrorIs(t, err, ErrInvalidMembership)
		})
	}
}
