package replication

// Counters counts events since the process started. The last five fields are gauges of the current state.
type Counters struct {
	LeasesRequested      int    `json:"leaves_asked"`
	LeasesGranted        int    `json:"leaves_granted"`
	ResultsFound         int    `json:"results_found"`    // of runs in other processes
	ResultsReplicated    int    `json:"results_copied"`   // of this server's runs, accepted by a majority
	ResultsAtRisk        int    `json:"results_at_risk"`  // of this server's runs, not accepted by a majority in time
	OutcomesUnknown      int    `json:"outcomes_unknown"` // attempts whose request may or may not have run
	RejectedUnreplicated int    `json:"refused_uncopied"` // attempts rejected without a run: no majority in time
	DiskFailures         int    `json:"disk_failures"`
	DiskSyncs            int64  `json:"disk_syncs"` // since the log was opened
	DiskBytes            int64  `json:"disk_bytes"` // since the log was opened
	KeysRepaired         uint64 `json:"keys_repaired"`
	KeysToRepair         int    `json:"keys_to_repair"`
	KeysPendingTransfer  int    `json:"keys_owed"` // keys that must be repaired before a membership change can complete
	KeysHeld             int    `json:"keys_held"`
	ProposalsInFlight    int    `json:"changes_under_way"`
	MembersUnreachable   int    `json:"members_unreachable"`
}

// Counters returns the current values of the counters and gauges.
func (r *Replica) Counters() Counters {
	counters := r.counters
	counters.KeysToRepair, counters.KeysRepaired = r.node.RepairProgress()
	counters.KeysPendingTransfer = r.node.PendingTransfers()
	counters.DiskSyncs, counters.DiskBytes = r.storage.committer.Written()
	counters.KeysHeld = r.node.KeyCount()
	counters.ProposalsInFlight = r.node.InFlight()
	for _, member := range r.node.Membership().Members() {
		if member.ID != r.config.ID && !r.links.Connected(member.ID) {
			counters.MembersUnreachable++
		}
	}
	return counters
}
