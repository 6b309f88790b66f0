package store

// Record is a request with an idempotency key that ran, or that is about to run.
type Record struct {
	Class          string
	Tenant         string // "": there are no tenants
	IdempotencyKey string
	ArrivedAtMilli int64 // when the attempt that ran arrived, in Unix milliseconds
	Result         []byte
	Intent         bool // the request may have run; there is no result yet
}

// Cancelled returns the record that replaces an intent whose request never ran. Its arrival time is 0, which is before
// any time that callers pass to Load.
func (r Record) Cancelled() Record {
	r.Intent = true
	r.ArrivedAtMilli = 0
	return r
}

// identity identifies the request of a record.
type identity struct{ class, tenant, idempotencyKey string }

func (r Record) identity() identity { return identity{r.Class, r.Tenant, r.IdempotencyKey} }
