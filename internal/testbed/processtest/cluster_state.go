package processtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
)

// ExportedKey is a key that a server holds.
type ExportedKey struct {
	Key   string `json:"key"`  // tenant, a zero byte, and the idempotency key
	Kind  string `json:"kind"` // "intent", "passed" or "failed"
	Owner uint32 `json:"owner"`
}

// MemberState is a server's view of a member of its replication group.
type MemberState struct {
	ID          uint32 `json:"id"`
	Incarnation string `json:"life"` // recorded by the group
	Address     string `json:"address"`
	Up          bool   `json:"up"`
	InCurrent   bool   `json:"now"` // whether it belongs to the membership in force
	// CurrentIncarnation is the incarnation that the member itself has last reported. It differs from Incarnation if
	// the member has lost its disk.
	CurrentIncarnation string `json:"lives"`
}

// StateCounters are the counters of a server's replication.
type StateCounters struct {
	Held             int    `json:"keys_held"`
	PendingTransfers int    `json:"keys_owed"`
	InFlight         int    `json:"changes_under_way"`
	Repairing        int    `json:"keys_to_repair"`
	Repaired         uint64 `json:"keys_repaired"`
	Indeterminate    int    `json:"outcomes_unknown"`
	Rejected         int    `json:"refused_uncopied"`
	AtRisk           int    `json:"results_at_risk"`
	DiskFailures     int    `json:"disk_failures"`
	DiskSyncs        int64  `json:"disk_syncs"`
	DiskBytes        int64  `json:"disk_bytes"`
}

// State is a server's view of its replication group.
type State struct {
	ID           uint32        `json:"id"`
	Incarnation  string        `json:"life"`
	Epoch        uint64        `json:"epoch"` // 0: the server knows no group
	Changing     bool          `json:"changing"`
	Acknowledged int           `json:"changing_marked"` // members that have transferred their keys
	Reason       string        `json:"why"`             // of the last change
	ForcedAtMS   int64         `json:"lost_ms"`         // Unix time of the last forced membership; 0: never
	Voting       bool          `json:"voting"`
	Members      []MemberState `json:"members"`
	Counters     StateCounters `json:"counters"`
}

// adminCall sends an administrative request to a server, and returns the body of the response.
func (c *Cluster) adminCall(id int, method, path string) (body string, err error) {
	status, body, err := c.member(id).Process().AdminCall(method, path)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", &StatusError{Operation: fmt.Sprintf("%s %s of server %d", method, path, id), Status: status, Body: body}
	}
	return body, nil
}

// AdminCall requests an administrative change of a server's group, such as "remove?id=3".
func (c *Cluster) AdminCall(id int, change string) error {
	_, err := c.adminCall(id, http.MethodPut, "/control/copies/"+change)
	return err
}

// State returns a server's view of its group.
func (c *Cluster) State(id int) (state State, err error) {
	body, err := c.adminCall(id, http.MethodGet, "/control/copies")
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal([]byte(body), &state); err != nil {
		return state, fmt.Errorf("processtest: state of server %d: %w", id, err)
	}
	return state, nil
}

// Export returns the keys that a server holds.
func (c *Cluster) Export(id int) (keys []ExportedKey, err error) {
	after := ""
	for {
		page, err := c.exportPage(id, after)
		if err != nil || len(page) == 0 {
			return keys, err
		}
		keys = append(keys, page...)
		after = page[len(page)-1].Key
	}
}

// exportPage returns a page of the keys that a server holds, beginning after the given key.
func (c *Cluster) exportPage(id int, after string) (page []ExportedKey, err error) {
	body, err := c.adminCall(id, http.MethodGet, "/control/copies/export?after="+url.QueryEscape(after))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal([]byte(body), &page); err != nil {
		return nil, fmt.Errorf("processtest: export of server %d: %w", id, err)
	}
	return page, nil
}

// AwaitStable waits until all running servers agree on one epoch with no membership change in progress, vote, and have
// nothing to repair. Each running member must also be reachable from all others, with its current incarnation recorded
// in the group.
func (c *Cluster) AwaitStable() error { return c.Eventually(c.checkStable) }

func (c *Cluster) checkStable() error {
	alive := map[uint32]bool{}
	for _, member := range c.Servers {
		process := member.Process()
		alive[uint32(member.ID)] = process != nil && !process.Ended()
	}
	var epoch uint64
	for _, member := range c.Servers {
		if !alive[uint32(member.ID)] {
			continue
		}
		state, err := c.State(member.ID)
		if err != nil {
			return err
		}
		if epoch == 0 {
			epoch = state.Epoch
		}
		if err := checkStableState(state, epoch, alive); err != nil {
			return fmt.Errorf("processtest: server %d: %w", member.ID, err)
		}
	}
	return nil
}

// checkStableState returns an error that describes what is not yet stable in a server's view of its group.
func checkStableState(state State, epoch uint64, alive map[uint32]bool) error {
	if state.Epoch == 0 || state.Epoch != epoch || state.Changing || !state.Voting || state.Counters.Repairing > 0 {
		return fmt.Errorf("group not stable at epoch %d: %+v", epoch, state)
	}
	for _, member := range state.Members {
		if alive[member.ID] && (!member.Up || member.CurrentIncarnation != member.Incarnation) {
			return fmt.Errorf("member %d is unreachable or has a different incarnation: %+v", member.ID, state)
		}
	}
	return nil
}
