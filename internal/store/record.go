package store

// Record is a keyed request that ran, or that is about to run.
type Record struct {
	Class          string
	Tenant         string // "": there are no tenants
	IdempotencyKey string
	ArrivedAtMilli int64 // when the attempt that ran arrived, in Unix milliseconds
	Result         []byte
	Intent         bool // it may run from now on, and there is no result yet
}

// Cancelled returns the record of an intent that came to nothing: the request never ran. It is older than any time
// that records are loaded from.
func (r Record) Cancelled() Record {
	r.Intent = true
	r.ArrivedAtMilli = 0
	return r
}

// identity tells which request a record is of.
type identity struct{ class, tenant, idempotencyKey string }

func (r Record) identity() identity { return identity{r.Class, r.Tenant, r.IdempotencyKey} }
