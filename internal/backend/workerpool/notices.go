package workerpool

import "fmt"

// retainedNotices is how many notices the worker pool retains, and so can repeat.
const retainedNotices = 4000

// NoticeGapError means that the number of a notice is not the next one.
type NoticeGapError struct {
	Notice uint64 // the number that came
	Last   uint64 // the last number before it
}

// Error is part of error.
func (e *NoticeGapError) Error() string {
	return fmt.Sprintf("pool: notice %d came after %d", e.Notice, e.Last)
}

// noticeSequence checks the numbers of the notices. Without the check, a corrupt number that is too high would make all
// notices that follow count as read, and their runs would never end.
type noticeSequence struct {
	last            uint64 // the last notice that was read
	begun           bool   // a new notice has been read on the current connection
	ignoredMessages uint64 // messages without meaning since the last notice, each of which has a number
	gap             uint64 // the number of the last notice that came out of order; 0: none has
}

// connectionChanged resets the state that belongs to a connection.
func (s *noticeSequence) connectionChanged() { s.begun, s.ignoredMessages = false, 0 }

// ignored records the number of a message without meaning.
func (s *noticeSequence) ignored(number uint64) {
	if number == s.last+s.ignoredMessages+1 {
		s.ignoredMessages++
	}
}

// wasRead reports that a notice was read before, on this connection or an earlier one.
func (s *noticeSequence) wasRead(number uint64) bool { return number <= s.last }

// advance accepts the number of a new notice. The error is a *NoticeGapError. The pool retains a limited number of
// notices, so some may be lost for good: if the next connection begins with a gap too, at about the same number, the
// notices in the gap are lost, and advance returns how many.
func (s *noticeSequence) advance(number uint64) (lost uint64, err error) {
	first, next := !s.begun, s.last+s.ignoredMessages+1
	s.begun, s.ignoredMessages = true, 0
	switch {
	case number <= next:
	case first && s.gap > 0 && number >= s.gap && number-s.gap < retainedNotices:
		lost = number - next
	default:
		s.gap = number
		return 0, &NoticeGapError{Notice: number, Last: next - 1}
	}
	s.gap = 0
	s.last = number
	return lost, nil
}
