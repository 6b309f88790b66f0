package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"pewterline/internal/admin"
	"pewterline/internal/config"
	"pewterline/internal/replication"
)

// replicationCommand asks a running server about its replication group, or changes the group.
type replicationCommand struct {
	Admin string `help:"Where the running server takes operators' calls; by default as RELAY_ADMIN or RELAY_CONFIG say."`

	Status      statusCommand    `cmd:"" default:"1" help:"Tell how the group is, as this server sees it, and what is at risk."`
	Members     membersCommand   `cmd:"" help:"List the members."`
	Bootstrap   bootstrapCommand `cmd:"" help:"Make a group of the servers in this one's file, which are all up and in no group."`
	Add         addCommand       `cmd:"" help:"Add a server to the group."`
	Remove      removeCommand    `cmd:"" help:"Remove a server from the group."`
	AbortChange abortCommand     `cmd:"" help:"Abort a change of members that does not end: the members stay as they were."`
	Repair      repairCommand    `cmd:"" help:"Transfer all keys of this server to all their replicas."`
	Force       forceCommand     `cmd:"" help:"Go on after the loss of a majority."`
	Export      exportCommand    `cmd:"" help:"Print the keys that this server holds, a line of JSON each."`

	// The former names of these commands, still accepted.
	OldBootstrap   bootstrapCommand `cmd:"" name:"found" hidden:""`
	OldAbortChange abortCommand     `cmd:"" name:"give-up" hidden:""`
}

// The operators' calls of a server, as paths below /control/copies, and their parameters.
const (
	callStatus      = ""
	callBootstrap   = "found"
	callAdd         = "add"
	callRemove      = "remove"
	callAbortChange = "give-up"
	callRepair      = "repair"
	callForce       = "force"
	callExport      = "export"

	parameterID      = "id"
	parameterAddress = "address"
	parameterReason  = "why"
	parameterKeep    = "keep"
	parameterAfter   = "after"
)

var (
	errNoAdminAddress = errors.New("replication: the server has no address for operators; " +
		"set admin or RELAY_ADMIN, or pass --admin")
	errUnconfirmed = errors.New("replication: force discards the keys that only the other servers hold; " +
		"if those servers are lost for good, pass --confirm")
)

// client returns a client of the running server. Its address comes from --admin, or else from the server's own
// environment and files.
func (c *replicationCommand) client(env *environment) (adminClient, error) {
	address := c.Admin
	if address == "" {
		address = env.getenv("RELAY_ADMIN")
	}
	if address == "" {
		cfg, err := config.Load(env.getenv)
		if err != nil {
			return adminClient{}, fmt.Errorf("%w; or pass --admin", err)
		}
		address = cfg.AdminAddress
	}
	if address == "" {
		return adminClient{}, errNoAdminAddress
	}
	return adminClient{address: address}, nil
}

// change makes a call that changes the group, and prints the resulting status.
func (c *replicationCommand) change(env *environment, call string, parameters url.Values) error {
	client, err := c.client(env)
	if err != nil {
		return err
	}
	var status admin.GroupState
	if err := client.do(http.MethodPut, call, parameters, &status); err != nil {
		return err
	}
	return printStatus(env.out, status)
}

// status returns the status of the group.
func (c *replicationCommand) status(env *environment) (admin.GroupState, error) {
	var status admin.GroupState
	client, err := c.client(env)
	if err != nil {
		return status, err
	}
	err = client.do(http.MethodGet, callStatus, nil, &status)
	return status, err
}

type statusCommand struct{}

// Run prints the status of the group.
func (statusCommand) Run(env *environment, parent *replicationCommand) error {
	status, err := parent.status(env)
	if err != nil {
		return err
	}
	return printStatus(env.out, status)
}

type membersCommand struct{}

// Run prints the members.
func (membersCommand) Run(env *environment, parent *replicationCommand) error {
	status, err := parent.status(env)
	if err != nil {
		return err
	}
	return printMembers(env.out, status)
}

type bootstrapCommand struct{}

// Run creates a group.
func (bootstrapCommand) Run(env *environment, parent *replicationCommand) error {
	return parent.change(env, callBootstrap, nil)
}

type addCommand struct {
	ID      uint32 `arg:"" help:"The server's number."`
	Address string `help:"Where the others reach it; by default as in this server's file."`
	Reason  string `aliases:"why" help:"Kept with the change."`
}

// Run adds a member.
func (c *addCommand) Run(env *environment, parent *replicationCommand) error {
	parameters := url.Values{}
	parameters.Set(parameterID, formatServerID(c.ID))
	parameters.Set(parameterAddress, c.Address)
	parameters.Set(parameterReason, c.Reason)
	return parent.change(env, callAdd, parameters)
}

type removeCommand struct {
	ID     uint32 `arg:"" help:"The server's number."`
	Reason string `aliases:"why" help:"Kept with the change."`
}

// Run removes a member.
func (c *removeCommand) Run(env *environment, parent *replicationCommand) error {
	parameters := url.Values{}
	parameters.Set(parameterID, formatServerID(c.ID))
	parameters.Set(parameterReason, c.Reason)
	return parent.change(env, callRemove, parameters)
}

type abortCommand struct{}

// Run aborts a change of members.
func (abortCommand) Run(env *environment, parent *replicationCommand) error {
	return parent.change(env, callAbortChange, nil)
}

type repairCommand struct{}

// Run starts a repair.
func (repairCommand) Run(env *environment, parent *replicationCommand) error {
	return parent.change(env, callRepair, nil)
}

type forceCommand struct {
	Keep    string `arg:"" help:"The servers that are left, such as 1,3."`
	Reason  string `required:"" aliases:"why" help:"Kept with the loss."`
	Confirm bool   `aliases:"sure" help:"Say that the others are lost for good: what only they held is lost with them."`
}

// Run forces the group's membership.
func (c *forceCommand) Run(env *environment, parent *replicationCommand) error {
	if !c.Confirm {
		return errUnconfirmed
	}
	parameters := url.Values{}
	parameters.Set(parameterKeep, c.Keep)
	parameters.Set(parameterReason, c.Reason)
	return parent.change(env, callForce, parameters)
}

type exportCommand struct{}

// Run prints all keys, a page of them at a time.
func (exportCommand) Run(env *environment, parent *replicationCommand) error {
	client, err := parent.client(env)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(env.out)
	for after := ""; ; {
		var page []replication.ExportedKey
		err := client.do(http.MethodGet, callExport, url.Values{parameterAfter: {after}}, &page)
		if err != nil || len(page) == 0 {
			return err
		}
		for _, key := range page {
			if err := encoder.Encode(key); err != nil {
				return err
			}
		}
		after = page[len(page)-1].Key
	}
}

func formatServerID(id uint32) string { return strconv.FormatUint(uint64(id), 10) }
