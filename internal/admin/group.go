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

// maxExportedKeys limits the number of keys in one response.
const maxExportedKeys = 100

// GroupState is the state of a replication group in a response, as JSON.
type GroupState struct {
	ID                 uint32                     `json:"id"`
	Incarnation        string                     `json:"life"`
	ClusterID          string                     `json:"group"`
	Epoch              uint64                     `json:"epoch"`
	ReplicationFactor  int                        `json:"copies"`
	ChangeInProgress   bool                       `json:"changing"`
	MembersTransferred int                        `json:"changing_marked"` // members that have transferred their keys
	Reason             string                     `json:"why"`             // reason of the last change
	ForcedAt           int64                      `json:"lost_ms"`         // Unix ms of a forced membership; 0: none
	Voting             bool                       `json:"voting"`
	Members            []replication.MemberStatus `json:"members"`
	Counters           replication.Counters       `json:"counters"`
}

// groupRoutes maps paths to the routes about the replication group. They are known only if the server belongs to one.
var groupRoutes = map[string]route{
	"/control/copies":         {http.MethodGet, (*Handler).groupState},
	"/control/copies/found":   {http.MethodPut, (*Handler).bootstrap},
	"/control/copies/give-up": {http.MethodPut, (*Handler).abandonChange},
	"/control/copies/repair":  {http.MethodPut, (*Handler).repair},
	"/control/copies/add":     {http.MethodPut, (*Handler).addMember},
	"/control/copies/remove":  {http.MethodPut, (*Handler).removeMember},
	"/control/copies/force":   {http.MethodPut, (*Handler).forceMembership},
	"/control/copies/export":  {http.MethodGet, (*Handler).exportKeys},
}

func (h *Handler) groupState(url.Values) (any, error) {
	membership, status := h.replica.Membership(), h.replica.Status()
	return GroupState{
		ID:                 status.Self.ID,
		Incarnation:        fmt.Sprintf("%x", status.Self.Incarnation),
		ClusterID:          fmt.Sprintf("%x", membership.ClusterID),
		Epoch:              membership.Epoch,
		ReplicationFactor:  membership.ReplicationFactor,
		ChangeInProgress:   len(membership.Next) > 0,
		MembersTransferred: status.MembersTransferred,
		Reason:             membership.Reason,
		ForcedAt:           membership.ForcedAt,
		Voting:             status.Voting,
		Members:            status.Members,
		Counters:           h.replica.Counters(),
	}, nil
}

func (h *Handler) bootstrap(url.Values) (any, error) { return h.changeResult(h.replica.Bootstrap()) }

func (h *Handler) abandonChange(url.Values) (any, error) {
	return h.changeResult(h.replica.AbandonChange())
}

func (h *Handler) repair(url.Values) (any, error) {
	h.replica.Repair()
	return h.groupState(nil)
}

func (h *Handler) addMember(query url.Values) (any, error) {
	id, err := parseMemberID(query.Get("id"), "id")
	if err != nil {
		return nil, err
	}
	return h.changeResult(h.replica.AddMember(id, query.Get("address"), query.Get("why")))
}

func (h *Handler) removeMember(query url.Values) (any, error) {
	id, err := parseMemberID(query.Get("id"), "id")
	if err != nil {
		return nil, err
	}
	return h.changeResult(h.replica.RemoveMember(id, query.Get("why")))
}

func (h *Handler) forceMembership(query url.Values) (any, error) {
	var kept []uint32
	for _, text := range strings.Split(query.Get("keep"), ",") {
		id, err := parseMemberID(text, "keep")
		if err != nil {
			return nil, err
		}
		kept = append(kept, id)
	}
	return h.changeResult(h.replica.ForceMembership(slices.Compact(kept), query.Get("why")))
}

func (h *Handler) exportKeys(query url.Values) (any, error) {
	return h.replica.Export(query.Get("after"), maxExportedKeys), nil
}

// parseMemberID parses the ID of a member. The error is of type *adminhttp.Error and names queryKey.
func parseMemberID(text, queryKey string) (uint32, error) {
	id, err := strconv.ParseUint(text, 10, 32)
	if err != nil || id == 0 {
		reason := fmt.Sprintf("%s: %q is not the number of a server", queryKey, text)
		return 0, &adminhttp.Error{Status: http.StatusBadRequest, Text: reason}
	}
	return uint32(id), nil
}

// changeResult returns the response to a membership change that was proposed, or that failed with err.
func (h *Handler) changeResult(err error) (any, error) {
	if err == nil {
		return h.groupState(nil)
	}
	status := http.StatusBadRequest
	for _, conflict := range []error{
		consensus.ErrChangeInProgress, consensus.ErrInvalidChange, consensus.ErrNoMembership,
	} {
		if errors.Is(err, conflict) {
			status = http.StatusConflict
		}
	}
	return nil, &adminhttp.Error{Status: status, Text: err.Error()}
}
