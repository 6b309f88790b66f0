package admin

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/protocol/adminhttp"
	"pewterline/internal/replication"
)

// maxExport bounds the keys of one answer.
const maxExport = 100

// groupState is what a server tells of the group that holds copies with it.
type groupState struct {
	ID       uint32                     `json:"id"`
	Life     string                     `json:"life"`
	Group    string                     `json:"group"`
	Epoch    uint64                     `json:"epoch"`
	Copies   int                        `json:"copies"`
	Changing bool                       `json:"changing"`
	Marked   int                        `json:"changing_marked"` // members that have brought on what they hold
	Why      string                     `json:"why"`
	Lost     int64                      `json:"lost_ms"`
	Voting   bool                       `json:"voting"`
	Members  []replication.MemberStatus `json:"members"`
	Counters replication.Counters       `json:"counters"`
}

// groupCalls are known where there is a group.
var groupCalls = map[string]call{
	"/control/copies":         {http.MethodGet, (*Handler).groupState},
	"/control/copies/found":   {http.MethodPut, (*Handler).found},
	"/control/copies/give-up": {http.MethodPut, (*Handler).giveUp},
	"/control/copies/repair":  {http.MethodPut, (*Handler).repair},
	"/control/copies/add":     {http.MethodPut, (*Handler).addMember},
	"/control/copies/remove":  {http.MethodPut, (*Handler).removeMember},
	"/control/copies/force":   {http.MethodPut, (*Handler).forceMembers},
	"/control/copies/export":  {http.MethodGet, (*Handler).export},
}

func (h *Handler) groupState(url.Values) (any, error) {
	group, view := h.held.Membership(), h.held.Status()
	return groupState{ID: view.Self.ID, Life: fmt.Sprintf("%x", view.Self.Incarnation), Group: fmt.Sprintf("%x", group.ClusterID), Epoch: group.Epoch,
		Copies: group.ReplicationFactor, Changing: len(group.Next) > 0, Marked: view.MembersTransferred, Why: group.Reason, Lost: group.ForcedAt, Voting: view.Voting,
		Members: view.Members, Counters: h.held.Counters()}, nil
}

func (h *Handler) found(url.Values) (any, error) { return h.changed(h.held.Bootstrap()) }

func (h *Handler) giveUp(url.Values) (any, error) { return h.changed(h.held.AbandonChange()) }

func (h *Handler) repair(url.Values) (any, error) {
	h.held.Repair()
	return h.groupState(nil)
}

func (h *Handler) addMember(query url.Values) (any, error) {
	id, err := parseServer(query.Get("id"), "id")
	if err != nil {
		return nil, err
	}
	return h.changed(h.held.AddMember(id, query.Get("address"), query.Get("why")))
}

func (h *Handler) removeMember(query url.Values) (any, error) {
	id, err := parseServer(query.Get("id"), "id")
	if err != nil {
		return nil, err
	}
	return h.changed(h.held.RemoveMember(id, query.Get("why")))
}

func (h *Handler) forceMembers(query url.Values) (any, error) {
	var keep []uint32
	for _, text := range strings.Split(query.Get("keep"), ",") {
		id, err := parseServer(text, "keep")
		if err != nil {
			return nil, err
		}
		keep = append(keep, id)
	}
	return h.changed(h.held.ForceMembership(slices.Compact(keep), query.Get("why")))
}

func (h *Handler) export(query url.Values) (any, error) {
	return h.held.Export(query.Get("after"), maxExport), nil
}

// parseServer reads the number of a server; the error names the query's key.
func parseServer(text, key string) (uint32, error) {
	id, err := strconv.ParseUint(text, 10, 32)
	if err != nil || id == 0 {
		return 0, &adminhttp.Error{Status: http.StatusBadRequest, Text: fmt.Sprintf("%s: %q is not the number of a server", key, text)}
	}
	return uint32(id), nil
}

// changed tells what a change of members has come to.
func (h *Handler) changed(err error) (any, error) {
	switch {
	case err == nil:
		return h.groupState(nil)
	case errors.Is(err, consensus.ErrChangeInProgress), errors.Is(err, consensus.ErrInvalidChange), errors.Is(err, consensus.ErrNoMembership):
		return nil, &adminhttp.Error{Status: http.StatusConflict, Text: err.Error()}
	}
	return nil, &adminhttp.Error{Status: http.StatusBadRequest, Text: err.Error()}
}
