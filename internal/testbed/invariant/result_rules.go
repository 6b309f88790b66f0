package invariant

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/protocol/pool"
)

// maxQuotedResult is the maximum number of bytes of a wrong result that a violation quotes.
const maxQuotedResult = 60

// checkResult checks that a served result was produced by a run of the request, or of another attempt with the same
// idempotency key.
func (o *Observer) checkResult(server *serverState, request *requestState, result []byte) {
	for _, candidate := range runsFor(server, request) {
		if candidate.ended && candidate.outcome == pool.Pass && string(candidate.result) == string(result) {
			return
		}
	}
	madeForBody := strings.HasPrefix(string(result), resultPrefix(request.bodyHash))
	if server.isEdge() && o.resultsMade[string(result)] && madeForBody {
		return // produced by a server behind the edge
	}
	// A retry may get the recorded result of an earlier incarnation; its prefix identifies the body that it belongs to.
	if request.idempotencyKey != "" && server.incarnation > 1 && madeForBody {
		return
	}
	o.report(ruleResult, server, request, "served what no run made for it: request %s got %q",
		request.id, result[:min(len(result), maxQuotedResult)])
}

// runsFor returns the runs on a server whose results may answer a request.
func runsFor(server *serverState, request *requestState) []*run {
	if request.idempotencyKey != "" {
		return server.keys[request.idempotencyKey].runs
	}
	var runs []*run
	for own := server.runs[request.id]; own != nil; own = own.previous {
		runs = append(runs, own)
	}
	return runs
}

// Result returns the result of a simulated worker pool for a body. It differs for each body and for each run.
func Result(body []byte, run uint64) []byte {
	return fmt.Appendf(nil, "%s run %d", resultPrefix(xxhash.Sum64(body)), run)
}

// resultPrefix returns the prefix of every result for a body with that hash.
func resultPrefix(bodyHash uint64) string { return fmt.Sprintf("made of %016x in", bodyHash) }

// checkBind checks that a bind command does not claim notices that have not reached the server, as the worker pool
// would never send them again.
func (o *Observer) checkBind(server *serverState, command pool.Command) {
	if command.Notice > server.lastNotice {
		o.report(ruleResult, server, nil, "notices passed over: bound after notice %d, but the last one received is %d",
			command.Notice, server.lastNotice)
	}
}
