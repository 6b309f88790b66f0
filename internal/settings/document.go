package settings

// document is the settings text, a JSON object. Its keys are fixed by the platform; unknown keys are ignored. Fields
// that end in MS are in milliseconds.
type document struct {
	Classes         []classText  `json:"classes"`
	Tenants         []tenantText `json:"tenants"`
	Peers           int          `json:"peers_total"`
	Clients         clientsText  `json:"client_habits"`
	Limits          limitsText   `json:"limits"`
	OverQuotaWeight float64      `json:"over_share_worth"`
	WeightCountsFor string       `json:"worth_by"`
	Rules           rulesText    `json:"rules"`
	Site            siteText     `json:"extra"`
}

// classText is a class of requests.
type classText struct {
	Name               string  `json:"name"`
	LatencyObjectiveMS float64 `json:"aim_ms"`
	ObjectiveStretch   float64 `json:"aim_stretch"`
	DeadlineMS         float64 `json:"hard_limit_ms"`
	RetentionWindowMS  float64 `json:"window_ms"`
	Weight             float64 `json:"worth"`
	LateWeightShare    float64 `json:"late_worth"`
	Idempotency        string  `json:"effect"`
}

// tenantText is a tenant. The quota is in requests per second over all servers.
type tenantText struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_rps"`
}

// clientsText describes the behaviour of the callers.
type clientsText struct {
	RetriesMarked bool `json:"marks_retry"`
}

// limitsText holds what the platform permits a server.
type limitsText struct {
	MaxRetryAfterMS     float64 `json:"max_retry_after_ms"`
	RetryAfterForwarded bool    `json:"retry_after"`
}

// rulesText holds the parameters of the invariants that a server must keep.
type rulesText struct {
	AnswerGraceMS          float64 `json:"grace_to_answer_ms"`
	WarmUpMinSpeed         float64 `json:"cold_from"`
	WarmUpTimeMS           float64 `json:"ramp_time_ms"`
	DrainGraceMS           float64 `json:"stop_sending_within_ms"`
	MaxConcurrencyPerCore  float64 `json:"fall_multiple"`
	MaxConcurrencyWindowMS float64 `json:"tip_after_ms"`
}

// siteText describes the server and its environment.
type siteText struct {
	Callers                 int       `json:"callers"`
	CallConcurrencyShare    float64   `json:"calls_out"`
	CallConcurrencyWindowMS float64   `json:"calls_over_ms"`
	ClassMakesCalls         []bool    `json:"class_calls"` // in the order of the classes
	Cores                   int       `json:"cores"`
	Dependency              string    `json:"downstream"`
	ResultFreshnessMS       float64   `json:"fresh_ms"`
	Gauges                  []string  `json:"gauges"`
	LoadSignalTTLMS         float64   `json:"heeded_ms"`
	ColdStart               bool      `json:"just_started"`
	MaxKeepAliveMS          float64   `json:"keepalive_max_ms"`
	KeyKB                   float64   `json:"key_kb"`
	MemoryKB                float64   `json:"memory_kb"`
	ListFollowsHealth       *bool     `json:"readiness"` // nil if the key is missing
	DeadlinePropagated      bool      `json:"passes_deadline"`
	RunningMemoryFactor     float64   `json:"run_factor"`
	LoadSignal              string    `json:"say"`
	AbandonedCallTimeMS     float64   `json:"stays_for_ms"`
	Preemption              string    `json:"stop_mode"`
	SkippedCallWeightShares []float64 `json:"worth_without"` // in the order of the classes
}
