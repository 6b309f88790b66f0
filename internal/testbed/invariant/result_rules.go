package invariant

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/protocol/pool"
)

// maxQuotedResult is how many bytes of a wrong result a violation quotes.
const maxQuotedResult = 60

// judgeResult judges that what is served is what a run made for the request, or for another attempt with the same
// idempotency key.
func (o *Observer) judgeResult(server *serverState, request *requestState, result []byte) {
	for _, candidate := range runsFor(server, request) {
		if candidate.ended && candidate.outcome == pool.Pass && string(candidate.result) == string(result) {
			return
		}
	}
	madeForBody := strings.HasPrefix(string(result), resultOf(request.bodyHash))
	if server.isEdge() && o.resultsMade[string(result)] && madeForBody {
		return // the servers behind an edge made it
	}
	// A record of an earlier incarnation may answer a retry: its result tells what it was made for.
	if request.idempotencyKey != "" && server.incarnation > 1 && madeForBody {
		return
	}
	o.report(ruleResult, server, request, "served what no run made for it: request %s got %q",
		request.id, result[:min(len(result), maxQuotedResult)])
}

// runsFor lists the runs on a server whose result a request may get.
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

// Result is what a worker pool of these worlds makes of a body: other bodies have other results, and so has each run.
func Result(body []byte, run uint64) []byte {
	return fmt.Appendf(nil, "%s run %d", resultOf(xxhash.Sum64(body)), run)
}

// resultOf begins every result that is made of a body with that hash.
func resultOf(bodyHash uint64) string { return fmt.Sprintf("made of %016x in", bodyHash) }

// judgeBind judges that a server binds a connection behind the last notice that has reached it, so that none is
// passed over.
func (o *Observer) judgeBind(server *serverState, command pool.Command) {
	if command.Notice > server.lastNotice {
		o.report(ruleResult, server, nil, "notices passed over: bound after number %d, and %d is the last that came",
			command.Notice, server.lastNotice)
	}
}
