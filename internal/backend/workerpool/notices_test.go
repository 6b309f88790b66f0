package workerpool

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A notice is accepted if its number follows that of the last message, which is a notice or an ignored message. A gap
// is accepted only if the first notice of the next connection shows about the same gap; the notices in it are lost.
func TestNoticeSequence(t *testing.T) {
	tests := map[string]struct {
		sequence noticeSequence
		ignored  []uint64 // numbers of the messages ignored before the notice
		number   uint64   // of the notice
		wantLost uint64
		wantGap  bool // a NoticeGapError is expected
	}{
		"first notice":           {number: 1},
		"next number":            {sequence: noticeSequence{last: 7, hasNotice: true}, number: 8},
		"too high":               {sequence: noticeSequence{last: 7, hasNotice: true}, number: 9, wantGap: true},
		"too high, reconnected":  {sequence: noticeSequence{last: 7}, number: 9, wantGap: true},
		"after ignored messages": {sequence: noticeSequence{last: 7, hasNotice: true}, ignored: []uint64{8, 9}, number: 10},
		"ignored messages without numbers": {
			sequence: noticeSequence{last: 7, hasNotice: true},
			ignored:  []uint64{0, 0},
			number:   8,
		},
		"ignored message out of order": {
			sequence: noticeSequence{last: 7, hasNotice: true},
			ignored:  []uint64{9},
			number:   9,
			wantGap:  true,
		},
		"same gap after reconnection": {sequence: noticeSequence{last: 7, gap: 10}, number: 10, wantLost: 2},
		"gap within retention": {
			sequence: noticeSequence{last: 7, gap: 10},
			number:   10 + retainedNotices - 1,
			wantLost: retainedNotices + 1,
		},
		"gap beyond retention": {
			sequence: noticeSequence{last: 7, gap: 10},
			number:   10 + retainedNotices,
			wantGap:  true,
		},
		"smaller gap after reconnection": {sequence: noticeSequence{last: 7, gap: 10}, number: 9, wantGap: true},
		"same gap, not the first notice": {
			sequence: noticeSequence{last: 7, gap: 10, hasNotice: true},
			number:   10,
			wantGap:  true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sequence := tc.sequence
			for _, number := range tc.ignored {
				sequence.recordIgnored(number)
			}
			lost, err := sequence.advance(tc.number)
			require.Equal(t, tc.wantLost, lost)
			if tc.wantGap {
				var gap *NoticeGapError
				require.ErrorAs(t, err, &gap)
				require.Equal(t, tc.number, gap.Notice)
				require.Equal(t, tc.sequence.last, sequence.last, "the next bind must carry the last notice in order")
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
