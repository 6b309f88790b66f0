// Package planted names faults that can be put into the program on purpose, to show that the search for faults
// finds them. They exist only where the program is built with the tag "planted"; without it Bug is constantly false
// and the compiler leaves them out, so that the shipped program cannot reach them.
package planted

// ID names a planted bug.
type ID string

// The planted bugs.
const (
	None        ID = ""
	KeyTwice    ID = "key-twice"     // a key is forgotten while its run goes on: a repeat runs it again
	AnswerTwice ID = "answer-twice"  // what was failed by its due time is answered by its run as well
	LateStart   ID = "late-start"    // the notice to drain does not reach the decisions
	GiveUpOther ID = "give-up-other" // a give-up for what is not open frees another request
	PassLate    ID = "pass-late"     // a run that was not started is passed on to whoever came past the drain limit
	RefuseRun   ID = "refuse-run"    // a run that is given up is refused, not failed
)

// All are the planted bugs in a fixed order.
var All = []ID{KeyTwice, AnswerTwice, LateStart, GiveUpOther, PassLate, RefuseRun}

// The planted bugs of internal/decide/copies, which its own simulated group finds.
const (
	CopyFirst    ID = "copy-first"    // the first answer's value is taken, not the newest
	CopyMinority ID = "copy-minority" // half of a set is enough
	CopyOneSet   ID = "copy-one-set"  // while a group changes, a majority of those to come is enough
	CopyEarly    ID = "copy-early"    // a change of members ends before what is held was brought on
	CopyPromise  ID = "copy-promise"  // a holder takes what comes under a number below its promise
)

// Copies are those, in a fixed order.
var Copies = []ID{CopyFirst, CopyMinority, CopyOneSet, CopyEarly, CopyPromise}
