package faults

import (
	"maps"
	"slices"
)

// profile says how much goes wrong, and what.
type profile struct {
	every  float64 // seconds between faults, for each server
	load   float64 // of what the servers can do, roughly
	weight map[Kind]int
	vault  map[Kind]int // besides, in a world with a vault
}

// ratePerServer is what a server with two warm cores serves a second, roughly.
const ratePerServer = 24

// profiles are the mixes of faults that a script can be drawn by.
var profiles = map[string]profile{
	"calm": {
		every: 20,
		load:  0.5,
		weight: map[Kind]int{
			CutConnection:    2,
			DropDatagrams:    2,
			AddLatency:       2,
			ImpatientCaller:  1,
			DuplicateNotices: 1,
		},
		vault: map[Kind]int{
			VaultSlow:     1,
			VaultRefusing: 1,
			VaultReorder:  1,
		},
	},
	"dawn": {
		every: 6,
		load:  0.9,
		weight: map[Kind]int{
			TrafficSurge:            5,
			ImmediateRetry:          3,
			UnidentifiedConnections: 2,
			CostlyClass:             2,
			AddLatency:              2,
			StallPath:               1,
			ImpatientCaller:         2,
			CutConnection:           2,
		},
		vault: map[Kind]int{
			VaultSlow:     3,
			VaultRefusing: 3,
			VaultFailing:  1,
			VaultReorder:  2,
		},
	},
	"noon": {
		every: 5,
		load:  1.1,
		weight: map[Kind]int{
			SlowPool:           4,
			CostlyClass:        4,
			Pause:              3,
			StoreSlow:          3,
			StoreFail:          1,
			StallPath:          2,
			LimitBandwidth:     2,
			CallerStopsReading: 1,
			CutConnection:      2,
			TrafficSurge:       2,
			ImmediateRetry:     1,
		},
		vault: map[Kind]int{
			VaultSlow:       4,
			VaultRefusing:   3,
			VaultFailing:    3,
			VaultSilent:     2,
			VaultBreakReply: 1,
			VaultReorder:    1,
		},
	},
	"release": {
		every: 5,
		load:  0.9,
		weight: map[Kind]int{
			Terminate:      6,
			ReloadConfig:   4,
			Kill:           2,
			StaleEndpoints: 3,
			CallerCrash:    2,
			RegistryDown:   1,
			DropDatagrams:  2,
			StallPath:      2,
			CutConnection:  2,
			Blackhole:      1,
		},
		vault: map[Kind]int{
			VaultDown:       4,
			VaultHang:       2,
			VaultBreakReply: 2,
			VaultSilent:     1,
		},
	},
	"worst": {
		every: 3,
		load:  1,
		weight: map[Kind]int{
			Kill:                    3,
			MachineLost:             1,
			Terminate:               3,
			ReloadConfig:            3,
			Pause:                   2,
			SlowPool:                2,
			CostlyClass:             2,
			StallPath:               4,
			CutConnection:           5,
			HalfClose:               1,
			AddLatency:              2,
			LimitBandwidth:          1,
			Blackhole:               2,
			DropDatagrams:           2,
			DuplicateDatagrams:      1,
			TrafficSurge:            2,
			CallerCrash:             2,
			StaleEndpoints:          1,
			ImpatientCaller:         3,
			LateCancel:              2,
			CallerStopsReading:      1,
			ImmediateRetry:          1,
			ConnectionLimit:         2,
			UnidentifiedConnections: 2,
			DuplicateNotices:        2,
			RegistryDown:            1,
			StoreSlow:               1,
			StoreFail:               1,
		},
		vault: map[Kind]int{
			VaultDown:       3,
			VaultSlow:       3,
			VaultRefusing:   3,
			VaultFailing:    4,
			VaultBreakReply: 3,
			VaultReorder:    2,
			VaultStrayReply: 3,
			VaultSilent:     3,
			VaultHang:       2,
		},
	},
}

// defaultProfile is for scripts that were not drawn by one.
const defaultProfile = "worst"

// Profiles are the names that Draw takes, in a fixed order.
func Profiles() []string { return slices.Sorted(maps.Keys(profiles)) }
