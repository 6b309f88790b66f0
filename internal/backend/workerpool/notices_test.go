package workerpool

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A notice is taken under the number that follows the last one, or the chatter since.
func TestNoticeSequence(t *testing.T) {
	tests := map[string]struct {
		sequence noticeSequence
		chatter  []uint64
		number   uint64
		lost     uint64
		gap      bool // the number is out of order
	}{
		"the first of all":           {number: 1},
		"the next":                   {sequence: noticeSequence{last: 7, begun: true}, number: 8},
		"one too high":               {sequence: noticeSequence{last: 7, begun: true}, number: 9, gap: true},
		"one too high, on a new one": {sequence: noticeSequence{last: 7}, number: 9, gap: true},
		"behind chatter":             {sequence: noticeSequence{last: 7, begun: true}, chatter: []uint64{8, 9}, number: 10},
		"chatter takes no number":    {sequence: noticeSequence{last: 7, begun: true}, chatter: []uint64{0, 0}, number: 8},
		"chatter out of order": {
			sequence: noticeSequence{last: 7, begun: true},
			chatter:  []uint64{9},
			number:   9,
			gap:      true,
		},
		"the same gap again": {sequence: noticeSequence{last: 7, gap: 10}, number: 10, lost: 2},
		"a gap that has grown": {
			sequence: noticeSequence{last: 7, gap: 10},
			number:   10 + retainedNotices - 1,
			lost:     retainedNotices + 1,
		},
		"a gap that grew too much":  {sequence: noticeSequence{last: 7, gap: 10}, number: 10 + retainedNotices, gap: true},
		"a gap before the last one": {sequence: noticeSequence{last: 7, gap: 10}, number: 9, gap: true},
		"not the first of its own":  {sequence: noticeSequence{last: 7, gap: 10, begun: true}, number: 10, gap: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sequence := tc.sequence
			for _, number := range tc.chatter {
				sequence.ignored(number)
			}
			lost, err := sequence.advance(tc.number)
			require.Equal(t, tc.lost, lost)
			if tc.gap {
				var gap *NoticeGapError
				require.ErrorAs(t, err, &gap)
				require.Equal(t, tc.number, gap.Notice)
				require.Equal(t, tc.sequence.last, sequence.last, "the next connection is bound with it")
				require.Equal(t, tc.number, sequence.gap)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tc.number, sequence.last)
			require.Zero(t, sequence.gap)
			require.True(t, sequence.wasRead(tc.number))
			require.False(t, sequence.wasRead(tc.number+1))
		})
	}
}

// The error names both numbers.
func TestNoticeGapErrorText(t *testing.T) {
	err := &NoticeGapError{Notice: 9, Last: 7}
	require.EqualError(t, err, "pool: notice 9 came after 7")
}
