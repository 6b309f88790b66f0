package workerpool

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A notice is accepted if its number follows that of the last notice or of the ignored messages since.
func TestNoticeSequence(t *testing.T) {
	tests := map[string]struct {
		sequence noticeSequence
		ignored  []uint64
		number   uint64
		lost     uint64
		gap      bool // the number is out of order
	}{
		"first notice":           {number: 1},
		"next number":            {sequence: noticeSequence{last: 7, hasNotice: true}, number: 8},
		"too high":               {sequence: noticeSequence{last: 7, hasNotice: true}, number: 9, gap: true},
		"too high, reconnected":  {sequence: noticeSequence{last: 7}, number: 9, gap: true},
		"after ignored":          {sequence: noticeSequence{last: 7, hasNotice: true}, ignored: []uint64{8, 9}, number: 10},
		"ignored without number": {sequence: noticeSequence{last: 7, hasNotice: true}, ignored: []uint64{0, 0}, number: 8},
		"ignored out of order": {
			sequence: noticeSequence{last: 7, hasNotice: true},
			ignored:  []uint64{9},
			number:   9,
			gap:      true,
		},
		"same gap again": {sequence: noticeSequence{last: 7, gap: 10}, number: 10, lost: 2},
		"gap within retention": {
			sequence: noticeSequence{last: 7, gap: 10},
			number:   10 + retainedNotices - 1,
			lost:     retainedNotices + 1,
		},
		"gap beyond retention": {sequence: noticeSequence{last: 7, gap: 10}, number: 10 + retainedNotices, gap: true},
		"smaller gap":          {sequence: noticeSequence{last: 7, gap: 10}, number: 9, gap: true},
		"same gap, not first":  {sequence: noticeSequence{last: 7, gap: 10, hasNotice: true}, number: 10, gap: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sequence := tc.sequence
			for _, number := range tc.ignored {
				sequence.recordIgnored(number)
			}
			lost, err := sequence.advance(tc.number)
			require.Equal(t, tc.lost, lost)
			if tc.gap {
				var gap *NoticeGapError
				require.ErrorAs(t, err, &gap)
				require.Equal(t, tc.number, gap.Notice)
				require.Equal(t, tc.sequence.last, sequence.last, "the last notice in order is kept for the next bind")
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

// The error text contains both numbers.
func TestNoticeGapErrorText(t *testing.T) {
	err := &NoticeGapError{Notice: 9, Last: 7}
	require.EqualError(t, err, "pool: notice 9 came after 7")
}
