package sim

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/protocol/pool"
)

// Bugs of the request core that each violate one rule.
var (
	plantedKeyTwice = plantedBug{
		name: "key-twice", wantViolation: "duplicate/run twice within its window",
		interpose: plantCoreBug(forgetRunningKey{}),
	}
	plantedAnswerTwice = plantedBug{
		name: "answer-twice", wantViolation: "duplicate/answered twice", interpose: plantCoreBug(answerFailedAgain{}),
	}
	plantedRefuseRun = plantedBug{
		name: "refuse-run", wantViolation: "duplicate/refused after a run", interpose: plantCoreBug(rejectRunning{}),
	}
	plantedPassLate = plantedBug{
		name: "pass-late", wantViolation: "drain/run past the limit", interpose: plantCoreBug(startLateRetry{}),
	}
)

// plantDroppedDrainNotice drops the notice to drain before the decision module. The resulting violation depends on the
// script: requests that arrive too late are run, or requests are unanswered when the server ends.
func plantDroppedDrainNotice() interposer { return drainNoticeDropper{} }

var plantedDroppedDrainNotice = []plantedBug{
	{name: "late-start", wantViolation: "lost/closed by the server", interpose: plantDroppedDrainNotice},
	{name: "late-start-run", wantViolation: "drain/run past the limit", interpose: plantDroppedDrainNotice},
}

// forgetRunningKey changes the key of a retry that arrives while a request with that key is running, so that the core
// takes the retry for another request.
type forgetRunningKey struct{ noCoreBug }

func (forgetRunningKey) received(core *observedCore, request *observedRequest, raw []byte) []byte {
	if request.key == "" || !core.anyRunning(request.key) {
		return raw
	}
	changedKey := []byte(request.key)
	changedKey[len(changedKey)-1] = '~' // No key of a proxy ends with this character.
	return bytes.Replace(raw, []byte(request.key), changedKey, 1)
}

// answerFailedAgain answers a request a second time when its run ends after the request has failed.
type answerFailedAgain struct{ noCoreBug }

func (answerFailedAgain) finished(_ *observedCore, request *observedRequest) {
	if request.resendFailure != nil {
		request.resendFailure()
	}
}

// failed answers twice immediately if the run has already ended and its result is being written to the store of record.
func (answerFailedAgain) failed(request *observedRequest, response failure) []byte {
	if request.ended && request.outcome == pool.Pass {
		return slices.Concat(response.raw, response.raw)
	}
	return response.raw
}

// rejectRunning rejects, rather than fails, a request that the server gives up while it is running.
type rejectRunning struct{ noCoreBug }

func (rejectRunning) failed(request *observedRequest, response failure) []byte {
	if request.running() {
		return response.rejection
	}
	return response.raw
}

// startLateRetry starts a retry in place of an attempt that the pool did not run, although the retry arrived after the
// limit of a drain.
type startLateRetry struct{ noCoreBug }

func (startLateRetry) finished(core *observedCore, request *observedRequest) {
	if request.outcome != pool.Noop || request.key == "" {
		return
	}
	index := slices.IndexFunc(core.requests, func(retry *observedRequest) bool {
		return retry.key == request.key && retry.afterDrainLimit && !retry.started
	})
	if index >= 0 {
		retry := core.requests[index]
		core.poolConn.Write(pool.AppendSpawn(nil, retry.id, retry.class, retry.body))
	}
}

// drainNoticeDropper drops the notice to drain before the decision module.
type drainNoticeDropper struct{ passThrough }

func (drainNoticeDropper) newController(settings control.Settings) (dispatch.Controller, error) {
	controller, err := control.New(settings)
	return noDrainController{controller}, err
}

type noDrainController struct{ *control.Controller }

func (c noDrainController) Step(now time.Duration, events []control.Event) []control.Action {
	remaining := slices.DeleteFunc(slices.Clone(events), func(event control.Event) bool {
		_, drain := event.(control.DrainRequested)
		return drain
	})
	return c.Controller.Step(now, remaining)
}

// The invariants detect each planted bug on its kept script, where the server without the bug violates none.
func TestPlantedDispatchBugsAreDetected(t *testing.T) {
	bugs := []plantedBug{plantedKeyTwice, plantedAnswerTwice, plantedRefuseRun, plantedPassLate}
	for _, bug := range append(bugs, plantedDroppedDrainNotice...) {
		t.Run(bug.name, bug.requireDetected)
	}
}

// The search finds the planted bugs. pass-late is left out: neither the random nor the guided search found it within
// 1,400 scripts in earlier measurements (docs/design/faults.md), so that only its kept script tests its detection.
func TestSearchFindsPlantedDispatchBugs(t *testing.T) {
	t.Parallel()
	for _, bug := range []plantedBug{plantedKeyTwice, plantedAnswerTwice, plantedRefuseRun, plantedDroppedDrainNotice[1]} {
		t.Run(bug.name, func(t *testing.T) { bug.requireFound(t, wideSearch) })
	}
}
