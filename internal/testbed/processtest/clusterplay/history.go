package clusterplay

import (
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// history records the requests of callers with their replies. It may be used from any goroutine.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation // inputs are keys, outputs are processtest.RequestOutcome
}

func (h *history) record(caller int, key string, outcome processtest.RequestOutcome, began, ended time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: caller,
		Input:    key,
		Output:   outcome,
		Call:     int64(began),
		Return:   int64(ended),
	})
}

// all returns the operations in the order in which they ended.
func (h *history) all() []porcupine.Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.operations)
}

// served returns the keys of the served requests, each once.
func (h *history) served() (keys []string) {
	seen := map[string]bool{}
	for _, operation := range h.all() {
		key := inputKey(operation.Input)
		if outputReply(operation.Output).Kind == thrift.ReplyAnswer && !seen[key] {
			seen[key] = true
			keys = append(keys, key)
		}
	}
	return keys
}

// inputKey returns the key of an operation; porcupine stores inputs as any.
func inputKey(input any) string {
	key, _ := input.(string)
	return key
}

// outputReply returns the reply of an operation; porcupine stores outputs as any.
func outputReply(output any) processtest.RequestOutcome {
	outcome, _ := output.(processtest.RequestOutcome)
	return outcome
}

// runOnceModel specifies the sequences of replies that a request may get: once the request is served, it is always
// served with the same result and never rejected. An attempt without a reply may have run or not. The state of the
// model is the result that was served; "": none.
var runOnceModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return "" },
	Step: func(state, _, output any) (possible bool, next any) {
		result, _ := state.(string)
		outcome := outputReply(output)
		switch outcome.Kind {
		case thrift.ReplyAnswer:
			return result == "" || result == outcome.Result, outcome.Result
		case thrift.ReplyThrottled:
			return result == "", result
		default:
			return true, result
		}
	},
}

// partitionByKey splits a history into one for each request.
func partitionByKey(operations []porcupine.Operation) (partitions [][]porcupine.Operation) {
	byKey := map[string][]porcupine.Operation{}
	for _, operation := range operations {
		key := inputKey(operation.Input)
		byKey[key] = append(byKey[key], operation)
	}
	for _, partition := range byKey {
		partitions = append(partitions, partition)
	}
	return partitions
}
