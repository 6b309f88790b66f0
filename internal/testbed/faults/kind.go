package faults

import (
	"slices"
)

// Kind is what goes wrong.
type Kind string

// The kinds of fault. For, Peer, Amount and What are used where the kind's rule says so. The strings are those of
// scripts.
const (
	// Kill ends the server's process together with its worker pool; For later it is back, cold. Amount is the number of
	// calls into the program until it is killed, in the middle of a turn.
	Kill Kind = "kill"
	// MachineLost is a Kill of the whole machine: its peers hear nothing.
	MachineLost Kind = "vanish"
	// Terminate sends the notice to drain; For after its end the server is back, cold.
	Terminate Kind = "term"
	// ReloadConfig moves the pool's connection and the health reports to other addresses.
	ReloadConfig Kind = "hup"
	// Pause has the process stand still.
	Pause Kind = "pause"
	// SlowPool has the worker pool take Amount times as long.
	SlowPool Kind = "slow"
	// CostlyClass has the class What take Amount times as long at the worker pool.
	CostlyClass Kind = "costly"
	// StallPath has nothing pass between Node and Peer; nothing is lost.
	StallPath Kind = "stall"
	// CutConnection breaks connections of Node to Peer after Amount more bytes from Node.
	CutConnection Kind = "cut"
	// HalfClose closes connections of Node to Peer in the direction from Node.
	HalfClose Kind = "half"
	// AddLatency adds Amount milliseconds from Node to Peer and back.
	AddLatency Kind = "lag"
	// LimitBandwidth lets Amount bytes a second pass between Node and Peer.
	LimitBandwidth Kind = "thin"
	// Blackhole leaves connects and datagrams between Node and Peer without an answer.
	Blackhole Kind = "dark"
	// DropDatagrams drops datagrams between Node and Peer with the chance Amount.
	DropDatagrams Kind = "lose"
	// DuplicateDatagrams delivers datagrams between Node and Peer twice with the chance Amount.
	DuplicateDatagrams Kind = "double"
	// TrafficSurge has the tenant (or the class) What send Amount times as much.
	TrafficSurge Kind = "flood"
	// CallerCrash ends the proxy; For later it is back, with the endpoint list it had and an address of nobody's.
	CallerCrash Kind = "die"
	// StaleEndpoints has the proxy hear of no change of the endpoint list.
	StaleEndpoints Kind = "stale"
	// ImpatientCaller has the proxy cancel requests after Amount milliseconds.
	ImpatientCaller Kind = "hasty"
	// LateCancel has the proxy cancel what it has been answered, and numbers that it never used.
	LateCancel Kind = "give-late"
	// CallerStopsReading has the proxy read nothing.
	CallerStopsReading Kind = "deaf"
	// ImmediateRetry has the proxy retry the instant that it is rejected.
	ImmediateRetry Kind = "insist"
	// ConnectionLimit has the server's machine hold Amount connections at most.
	ConnectionLimit Kind = "table"
	// UnidentifiedConnections opens Amount connections to the server that send nothing, or half of something.
	UnidentifiedConnections Kind = "strangers"
	// DuplicateNotices has the worker pool send its notices twice.
	DuplicateNotices Kind = "doubled"
	// RegistryDown takes the control plane down.
	RegistryDown Kind = "mute"
	// StoreSlow has each write of the store of record take Amount milliseconds longer.
	StoreSlow Kind = "store-slow"
	// StoreFail has writes of the store of record fail.
	StoreFail Kind = "store-fail"
)

// The kinds of fault of the vault.
const (
	// VaultDown has it refuse connections; those that it had break.
	VaultDown Kind = "vault-down"
	// VaultSlow has it take Amount times as long.
	VaultSlow Kind = "vault-slow"
	// VaultRefusing has it reject calls with the chance Amount.
	VaultRefusing Kind = "vault-refusing"
	// VaultFailing has calls end as What says with the chance Amount, half of them after their effect.
	VaultFailing Kind = "vault-failing"
	// VaultBreakReply breaks a connection in the middle of a reply with the chance Amount.
	VaultBreakReply Kind = "vault-break"
	// VaultReorder holds replies back, so that they come in another order.
	VaultReorder Kind = "vault-shuffle"
	// VaultStrayReply has replies come twice, or beside others for nobody's call, with the chance Amount.
	VaultStrayReply Kind = "vault-stray"
	// VaultSilent has it take calls and reply to none.
	VaultSilent Kind = "vault-silent"
	// VaultHang has it not answer connects.
	VaultHang Kind = "vault-hang"
)

// rule says which fields a kind has.
type rule struct {
	node   string   // the first letters of the names that Node may have; "": no Node
	peer   bool     // there is a Peer
	length bool     // there is a For
	what   []string // What is one of these; nil: no What
	lo, hi float64  // the bounds of Amount; both 0: no Amount
}

// Tenants and Classes are the names that What may have.
var (
	Tenants = []string{"hill-estate", "lake-vines", "valley-rows"}
	Classes = []string{"block-view", "lot-update", "lot-intake"}
)

// VaultClasses are the classes of a world with a vault, which has no tenants.
var VaultClasses = []string{"page-view", "page-save", "print-order"}

// IndeterminateCallOutcomes are outcomes of a call that prove nothing of its effect.
var IndeterminateCallOutcomes = []string{"failed", "overdue"}

// anyNode has the first letters of the names of all nodes: servers, proxies, web frontends, worker pools, the control
// plane, edges and the vault.
const anyNode = "spowcev"

// kinds are the rules of all kinds.
var kinds = map[Kind]rule{
	Kill:                    {node: "se", length: true, hi: 1000},
	MachineLost:             {node: "se", length: true},
	Terminate:               {node: "se", length: true},
	ReloadConfig:            {node: "s"},
	Pause:                   {node: "se", length: true},
	SlowPool:                {node: "w", length: true, lo: 1, hi: 100},
	CostlyClass:             {node: "w", length: true, what: Classes, lo: 1, hi: 100},
	StallPath:               {node: anyNode, peer: true, length: true},
	CutConnection:           {node: anyNode, peer: true, hi: 1e7},
	HalfClose:               {node: anyNode, peer: true},
	AddLatency:              {node: anyNode, peer: true, length: true, hi: 10_000},
	LimitBandwidth:          {node: anyNode, peer: true, length: true, lo: 1000, hi: 1e9},
	Blackhole:               {node: anyNode, peer: true, length: true},
	DropDatagrams:           {node: anyNode, peer: true, length: true, hi: 1},
	DuplicateDatagrams:      {node: anyNode, peer: true, length: true, hi: 1},
	TrafficSurge:            {length: true, what: Tenants, lo: 1, hi: 100},
	CallerCrash:             {node: "p", length: true},
	StaleEndpoints:          {node: "p", length: true},
	ImpatientCaller:         {node: "p", length: true, hi: 10_000},
	LateCancel:              {node: "p", length: true},
	CallerStopsReading:      {node: "p", length: true},
	ImmediateRetry:          {node: "p", length: true},
	ConnectionLimit:         {node: "s", length: true, hi: 10_000},
	UnidentifiedConnections: {node: "s", lo: 1, hi: 5000},
	DuplicateNotices:        {node: "w", length: true},
	RegistryDown:            {length: true},
	StoreSlow:               {node: "s", length: true, hi: 60_000},
	StoreFail:               {node: "s", length: true},
	VaultDown:               {node: "v", length: true},
	VaultSlow:               {node: "v", length: true, lo: 1, hi: 100},
	VaultRefusing:           {node: "v", length: true, hi: 1},
	VaultFailing:            {node: "v", length: true, what: IndeterminateCallOutcomes, hi: 1},
	VaultBreakReply:         {node: "v", length: true, hi: 1},
	VaultReorder:            {node: "v", length: true},
	VaultStrayReply:         {node: "v", length: true, hi: 1},
	VaultSilent:             {node: "v", length: true},
	VaultHang:               {node: "v", length: true},
}

// Kinds are all kinds of fault, in a fixed order.
func Kinds() []Kind {
	out := make([]Kind, 0, len(kinds))
	for k := range kinds {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
