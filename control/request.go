package control

import "time"

type requestState uint8

const (
	stateQueued       requestState = iota
	stateRunning                   // on the cores or at the disk
	stateAwaitingCall              // waits for permission to call
	stateCalling                   // its call is in flight
	stateReplaying                 // waits for the result of its original
	stateEnded
	requestStates // how many there are
)

type request struct {
	RequestArrived
	arrivedAt, dueAt      time.Duration // reached the machine; an answer is owed by then
	state                 requestState
	answered              bool          // answered while running, or its caller has left
	startedAt, stateSince time.Duration // of its run; of its state, or of its next call
	slotTime              time.Duration // on the cores or at the disk so far
	overQuota             bool          // beyond its tenant's share
	callsSucceeded        float64       // calls that succeeded
	callsFailed           int           // and that did not
}
