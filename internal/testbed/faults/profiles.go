package faults

import (
	"maps"
	"slices"
)

// profile defines the frequency and the mix of the faults of a drawn script, and its load.
type profile struct {
	interval     float64      // mean seconds between faults with one server
	load         float64      // approximate request rate as a fraction of the servers' capacity
	weights      map[Kind]int // relative frequency of each kind
	vaultWeights map[Kind]int // of additional kinds in a simulation with a vault
}

// ratePerServer is the approximate capacity, in requests a second, of a server with two warmed-up cores.
const ratePerServer = 24

// profiles maps the names that Draw accepts to the profiles.
var profiles = map[string]profile{
	"calm": {
		interval: 20,
		load:     0.5,
		weights: map[Kind]int{
			CutConnection:    2,
			DropDatagrams:    2,
			AddLatency:       2,
			ImpatientCaller:  1,
			DuplicateNotices: 1,
		},
		vaultWeights: map[Kind]int{
			VaultSlow:     1,
			VaultRefusing: 1,
			VaultReorder:  1,
		},
	},
	"dawn": {
		interval: 6,
		load:     0.9,
		weights: map[Kind]int{
			TrafficSurge:            5,
			ImmediateRetry:          3,
			UnidentifiedConnections: 2,
			CostlyClass:             2,
			AddLatency:              2,
			StallPath:               1,
			ImpatientCaller:         2,
			CutConnection:           2,
		},
		vaultWeights: map[Kind]int{
			VaultSlow:     3,
			VaultRefusing: 3,
			VaultFailing:  1,
			VaultReorder:  2,
		},
	},
	"noon": {
		interval: 5,
		load:     1.1,
		weights: map[Kind]int{
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
		vaultWeights: map[Kind]int{
			VaultSlow:       4,
			VaultRefusing:   3,
			VaultFailing:    3,
			VaultSilent:     2,
			VaultBreakReply: 1,
			VaultReorder:    1,
		},
	},
	"release": {
		interval: 5,
		load:     0.9,
		weights: map[Kind]int{
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
		vaultWeights: map[Kind]int{
			VaultDown:       4,
			VaultHang:       2,
			VaultBreakReply: 2,
			VaultSilent:     1,
		},
	},
	// Attempts of one request cross delayed paths and reach a busy server together.
	"retries": {
		interval: 1,
		load:     1.3,
		weights: map[Kind]int{
			OverlappingAttempts: 12,
			ImmediateRetry:      3,
			StoreSlow:           6,
			StoreFail:           6,
			StallPath:           5,
			Pause:               8,
			ImpatientCaller:     2,
			SlowPool:            3,
			CostlyClass:         2,
			TrafficSurge:        2,
			AddLatency:          1,
			CutConnection:       1,
			Terminate:           1,
			ReloadConfig:        1,
		},
		vaultWeights: map[Kind]int{
			VaultSlow:   2,
			VaultSilent: 1,
		},
	},
	"worst": {
		interval: 3,
		load:     1,
		weights: map[Kind]int{
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
		vaultWeights: map[Kind]int{
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

// defaultProfile is the profile for random faults of a script that was not drawn from a profile.
const defaultProfile = "worst"

// Profiles returns the names of the profiles that Draw accepts, sorted.
func Profiles() []string { return slices.Sorted(maps.Keys(profiles)) }
