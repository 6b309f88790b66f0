package workerpool

import "fmt"

// retainedNotices is the number of notices that the worker pool retains and can repeat.
const retainedNotices = 4000

// NoticeGapError means that the number of a notice does not follow the number of the message before it.
type NoticeGapError struct {
	Notice uint64 // the number that was received
	Last   uint64 // the number of the last message before it
}

// Error implements error.
func (e *NoticeGapError) Error() string {
	return fmt.Sprintf("pool: notice %d came after %d", e.Notice, e.Last)
}

// noticeSequence checks the numbers of the notices. Without the check, after a corrupt number that is too high, all
// following notices would count as read before, and their runs would never end.
type noticeSequence struct {
	last            uint64 // the last notice that was read
	hasNotice       bool   // a new notice has been read on the current connection
	ignoredMessages uint64 // how many numbered messages were ignored since the last notice
	gap             uint64 // the number of the last notice if it was out of order; 0: it was in order
}

// connectionChanged resets the state that belongs to a connection.
func (s *noticeSequence) connectionChanged() { s.hasNotice, s.ignoredMessages = false, 0 }

// recordIgnored records the number of a message that is otherwise ignored.
func (s *noticeSequence) recordIgnored(number uint64) {
	if number == s.last+s.ignoredMessages+1 {
		s.ignoredMessages++
	}
}

// wasRead reports whether a notice was read before, on this connection or an earlier one.
func (s *noticeSequence) wasRead(number uint64) bool { return number <= s.last }

// advance accepts the number of a new notice. The error is a *NoticeGapError. The pool retains a limited number of
// notices, so some may be lost for good: if the next connection begins with a gap too, at about the same number, the
// notices in the gap are lost, and advance returns how many.
func (s *noticeSequence) advance(number uint64) (lost uint64, err error) {
	first, next := !s.hasNotice, s.last+s.ignoredMessages+1
	s.hasNotice, s.ignoredMessages = true, 0
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
