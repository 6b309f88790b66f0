package invariant

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/protocol/pool"
)

// judgeResult judges that what is served is what a run made for the request, or for another try of the same intake.
func (o *Observer) judgeResult(s *server, r *request, result []byte) {
	var made []*run
	if r.once != "" {
		made = s.keys[r.once].runs
	} else {
		for u := s.runs[r.id]; u != nil; u = u.before {
			made = append(made, u)
		}
	}
	for _, u := range made {
		if u.ended && u.end == pool.Pass && string(u.result) == string(result) {
			return
		}
	}
	if s.name[0] == 'e' && o.made[string(result)] && strings.HasPrefix(string(result), resultOf(r.body)) {
		return // the servers behind an edge made it
	}
	// A record of an earlier life may answer a repeat: its result tells what it was made for.
	if r.once != "" && s.life > 1 && strings.HasPrefix(string(result), resultOf(r.body)) {
		return
	}
	o.report("result", s, r, "served what no run made for it: request %s got %q", r.id, result[:min(len(result), 60)])
}

// Result is what a worker pool of these worlds makes of a body: other bodies have other results, and so has each run.
func Result(body []byte, run uint64) []byte {
	return fmt.Appendf(nil, "%s run %d", resultOf(xxhash.Sum64(body)), run)
}

func resultOf(sum uint64) string { return fmt.Sprintf("made of %016x in", sum) }

// judgeBind judges that a server binds a link behind the last notice that has reached it, so that none is passed over.
func (o *Observer) judgeBind(s *server, m pool.Command) {
	if m.Notice > s.notice {
		o.report("result", s, nil, "notices passed over: bound after number %d, and %d is the last that came", m.Notice, s.notice)
	}
}
