package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"pewterline/internal/admin"
	"pewterline/internal/replication"
)

// columnPadding is the space between two columns.
const columnPadding = 2

// printMembers prints a table of the group's members.
func printMembers(out io.Writer, status admin.GroupState) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(table, "ID\tADDRESS\tREACHED\tMEMBER\tINCARNATION")
	for _, member := range status.Members {
		fmt.Fprintf(table, "%d\t%s\t%v\t%s\t%s\n", member.ID, member.Address, member.Up,
			membership(member, status.ChangeInProgress), incarnation(member))
	}
	return table.Flush()
}

// membership returns whether a member stays, joins or leaves.
func membership(member replication.MemberStatus, changing bool) string {
	switch {
	case !member.InCurrent:
		return "joining"
	case changing && !member.InNext:
		return "leaving"
	default:
		return "now"
	}
}

// incarnation returns a member's incarnation in the group and, if it differs, the incarnation of the server that runs
// now.
func incarnation(member replication.MemberStatus) string {
	if member.CurrentIncarnation == "" || member.CurrentIncarnation == member.Incarnation {
		return member.Incarnation
	}
	return member.Incarnation + ", lost; it runs as " + member.CurrentIncarnation
}

// printStatus prints the status of the group, its members and the counters of the server.
func printStatus(out io.Writer, status admin.GroupState) error {
	if status.Epoch == 0 {
		fmt.Fprintf(out, "Server %d has no group yet. With all servers up: pewterline replication bootstrap\n",
			status.ID)
		return nil
	}
	fmt.Fprintf(out, "Group %s, epoch %d, %d copies of each key; the last change: %s\n",
		status.ClusterID, status.Epoch, status.ReplicationFactor, status.Reason)
	if status.ChangeInProgress {
		fmt.Fprintf(out, "Membership change: %d members have transferred their keys, %d keys here are pending\n",
			status.MembersTransferred, status.Counters.KeysPendingTransfer)
	}
	if status.ForcedAt > 0 {
		forcedAt := time.UnixMilli(status.ForcedAt).UTC().Format(time.RFC3339)
		fmt.Fprintf(out, "Forced without a majority: no unknown key is run until %s plus a retention window\n", forcedAt)
	}
	if !status.Voting {
		fmt.Fprintln(out, "THE DISK HAS FAILED: this server does not vote until its log can be opened again")
	}
	if err := printMembers(out, status); err != nil {
		return err
	}
	fmt.Fprintln(out)
	return printCounters(out, status.Counters)
}

func printCounters(out io.Writer, counters replication.Counters) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', tabwriter.AlignRight)
	for _, line := range []struct {
		value any
		label string
	}{
		{counters.KeysHeld, "keys held here"},
		{counters.KeysToRepair, "keys to be transferred to other replicas"},
		{counters.KeysRepaired, "keys transferred so far"},
		{counters.LeasesGranted, "execution leases granted"},
		{counters.ResultsReplicated, "results replicated"},
		{counters.ResultsFound, "results found for a retry"},
		{counters.RejectedUnreplicated, "requests rejected before they ran: no majority in time"},
		{counters.OutcomesUnknown, "answers with an unknown outcome: the request may have run"},
		{counters.ResultsAtRisk, "results AT RISK: the request ran, but no majority stored its result in time"},
		{counters.DiskFailures, "disk failures"},
		{counters.MembersUnreachable, "members that cannot be reached"},
	} {
		fmt.Fprintf(table, "%v\t  %s\n", line.value, line.label)
	}
	return table.Flush()
}
