package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"pewterline/internal/config"
	"pewterline/internal/replication"
)

// copiesCmd asks a running server about its group, or changes that. It finds the server by --admin, or as that one does by its files.
type copiesCmd struct {
	Admin string `help:"Where the running server takes operators' calls; by default as RELAY_ADMIN or RELAY_CONFIG say."`

	Status  struct{} `cmd:"" default:"1" help:"Tell how the group is, as this server sees it, and what is at risk."`
	Members struct{} `cmd:"" help:"List the members."`
	Found   struct{} `cmd:"" help:"Make a group of the servers in this one's file, all of which have to be up and without one."`
	Add     struct {
		ID      uint32 `arg:"" help:"The server's number."`
		Address string `help:"Where the others reach it; by default as in this server's file."`
		Why     string `help:"Kept with the change."`
	} `cmd:"" help:"Take a server into the group."`
	Remove struct {
		ID  uint32 `arg:"" help:"The server's number."`
		Why string `help:"Kept with the change."`
	} `cmd:"" help:"Take a server out of the group."`
	GiveUp struct{} `cmd:"" help:"End a change of members that does not come to an end: the members stay as they were."`
	Repair struct{} `cmd:"" help:"Have all that this server holds brought to all its holders."`
	Force  struct {
		Keep string `arg:"" help:"The servers that are left, such as 1,3."`
		Why  string `required:"" help:"Kept with the loss."`
		Sure bool   `help:"Say that the others are lost for good: what only they held is lost with them."`
	} `cmd:"" help:"Go on after the loss of a majority."`
	Export struct{} `cmd:"" help:"Print what this server holds, a line of JSON each."`
}

// state is what a server says of its group.
type copiesState struct {
	ID       uint32                     `json:"id"`
	Life     string                     `json:"life"`
	Group    string                     `json:"group"`
	Epoch    uint64                     `json:"epoch"`
	Copies   int                        `json:"copies"`
	Changing bool                       `json:"changing"`
	Marked   int                        `json:"changing_marked"`
	Why      string                     `json:"why"`
	Lost     int64                      `json:"lost_ms"`
	Voting   bool                       `json:"voting"`
	Members  []replication.MemberStatus `json:"members"`
	Counters replication.Counters       `json:"counters"`
}

// run does what the command line says: the words behind copies.
func (c *copiesCmd) run(words string, getenv func(string) string, out io.Writer) error {
	admin := c.Admin
	if admin == "" {
		if admin = getenv("RELAY_ADMIN"); admin == "" {
			cfg, err := config.Load(getenv)
			if err != nil {
				return fmt.Errorf("%w; or say --admin", err)
			}
			admin = cfg.AdminAddress
		}
	}
	if admin == "" {
		return errors.New("copies: the server has no address for operators; set admin or RELAY_ADMIN, or say --admin")
	}
	q := url.Values{}
	method, call := http.MethodPut, strings.Fields(words)[0]
	switch call {
	case "status", "members":
		method, call = http.MethodGet, ""
	case "export":
		return export(admin, out)
	case "add":
		q.Set("id", fmt.Sprint(c.Add.ID))
		q.Set("address", c.Add.Address)
		q.Set("why", c.Add.Why)
	case "remove":
		q.Set("id", fmt.Sprint(c.Remove.ID))
		q.Set("why", c.Remove.Why)
	case "force":
		if !c.Force.Sure {
			return errors.New("copies: force gives up what only the other servers hold; if they are lost for good, say --sure")
		}
		q.Set("keep", c.Force.Keep)
		q.Set("why", c.Force.Why)
	}
	var s copiesState
	if err := ask(admin, method, call, q, &s); err != nil {
		return err
	}
	if strings.HasPrefix(words, "members") {
		return tellMembers(out, s)
	}
	return tellState(out, s)
}

// ask has a running server obey a call.
func ask(admin, method, call string, q url.Values, into any) error {
	path := "/control/copies"
	if call != "" {
		path += "/" + call
	}
	req, err := http.NewRequest(method, "http://"+admin+path+"?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	res, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		return fmt.Errorf("copies: no server answers at %s: %w", admin, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		var no struct{ Error string }
		if err := json.NewDecoder(res.Body).Decode(&no); err != nil || no.Error == "" {
			no.Error = res.Status
		}
		if res.StatusCode == http.StatusNotFound {
			no.Error += "; are copies on (deploy/copies.toml)?"
		}
		return errors.New("copies: " + strings.TrimPrefix(no.Error, "copies: "))
	}
	return json.NewDecoder(res.Body).Decode(into)
}

func export(admin string, out io.Writer) error {
	for after := ""; ; {
		var some []replication.ExportedKey
		if err := ask(admin, http.MethodGet, "export", url.Values{"after": {after}}, &some); err != nil || len(some) == 0 {
			return err
		}
		for _, k := range some {
			if err := json.NewEncoder(out).Encode(k); err != nil {
				return err
			}
		}
		after = some[len(some)-1].Key
	}
}

func tellMembers(out io.Writer, s copiesState) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ID\tADDRESS\tREACHED\tMEMBER\tLIFE")
	for _, m := range s.Members {
		part, life := "now", m.Incarnation
		switch {
		case !m.InCurrent:
			part = "to come"
		case s.Changing && !m.InNext:
			part = "leaving"
		}
		if m.CurrentIncarnation != "" && m.CurrentIncarnation != m.Incarnation {
			life += ", lost; it lives as " + m.CurrentIncarnation
		}
		fmt.Fprintf(w, "%d\t%s\t%v\t%s\t%s\n", m.ID, m.Address, m.Up, part, life)
	}
	return w.Flush()
}

func tellState(out io.Writer, s copiesState) error {
	if s.Epoch == 0 {
		fmt.Fprintf(out, "Server %d has no group yet. With all servers up: pewterline copies found\n", s.ID)
		return nil
	}
	fmt.Fprintf(out, "Group %s, epoch %d, %d copies of each intake; the last change: %s\n", s.Group, s.Epoch, s.Copies, s.Why)
	if s.Changing {
		fmt.Fprintf(out, "Members change: %d of them have brought on what they hold, %d keys here are owed\n", s.Marked, s.Counters.KeysPendingTransfer)
	}
	if s.Lost > 0 {
		fmt.Fprintf(out, "A majority was given up: until %s and a window nothing runs of which nothing is known\n", time.UnixMilli(s.Lost).UTC().Format(time.RFC3339))
	}
	if !s.Voting {
		fmt.Fprintln(out, "THE DISK HAS FAILED: this server does not vote until its log can be opened anew")
	}
	if err := tellMembers(out, s); err != nil {
		return err
	}
	c := s.Counters
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w)
	for _, l := range []struct {
		n    any
		what string
	}{
		{c.KeysHeld, "keys held here"}, {c.KeysToRepair, "keys to be brought to other holders"}, {c.KeysRepaired, "keys brought so far"},
		{c.LeasesGranted, "leaves to run given"}, {c.ResultsReplicated, "results copied"}, {c.ResultsFound, "results found for a repeat"},
		{c.RejectedUnreplicated, "intakes refused before they ran: no majority in time"}, {c.OutcomesUnknown, "answers that nobody knows whether it ran"},
		{c.ResultsAtRisk, "results AT RISK: ran, and no majority took the result in time"}, {c.DiskFailures, "failures of the disk"},
		{c.MembersUnreachable, "members that can't be reached"},
	} {
		fmt.Fprintf(w, "%v\t  %s\n", l.n, l.what)
	}
	return w.Flush()
}
