package workerpool

import "fmt"

// retainedNotices is how many notices the worker pool can repeat.
const retainedNotices = 4000

// NoticeGapError says that a notice came with a number that is not the next one.
type NoticeGapError struct {
	Notice uint64 // the number that came
	Last   uint64 // the last number before it
}

// Error is part of error.
func (e *NoticeGapError) Error() string {
	return fmt.Sprintf("pool: notice %d came after %d", e.Notice, e.Last)
}

// noticeSequence checks the numbers of the notices. It protects the runs against a number that is spoilt or missing:
// taken as it came, a number too high would have all notices that follow pass for read, and their runs never end.
type noticeSequence struct {
	last    uint64 // the last notice that was read
	begun   bool   // a new notice has been read on the current connection
	chatter uint64 // messages without a meaning since the last notice, each of which has taken a number
	gap     uint64 // the number of the notice that came out of order last; 0: none has
}

// connectionChanged begins the numbers of a new connection.
func (s *noticeSequence) connectionChanged() { s.begun, s.chatter = false, 0 }

// chattered notes the number of a message without a meaning.
func (s *noticeSequence) chattered(number uint64) {
	if number == s.last+s.chatter+1 {
		s.chatter++
	}
}

// wasRead reports that a notice was read before, on this connection or an earlier one.
func (s *noticeSequence) wasRead(number uint64) bool { return number <= s.last }

// advance takes the number of a new notice; the error is a *NoticeGapError. The pool keeps a limited number of notices,
// so that some may be lost for good: where the next connection begins with a gap as well, about where the last gap was,
// those between are lost, and advance returns how many.
func (s *noticeSequence) advance(number uint64) (lost uint64, err error) {
	first, next := !s.begun, s.last+s.chatter+1
	s.begun, s.chatter = true, 0
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
