package server

import (
	"fmt"

	"pewterline/internal/decide/execution"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/store"
)

// RecordStore is a database of executions. Package store's Store implements it.
type RecordStore interface {
	// Load reads the records since a time in Unix milliseconds, oldest first.
	Load(sinceMilli int64) ([]store.Record, error)
	// Record writes a record. done is called once, from any goroutine but never before Record returns: with nil when
	// the record is durable, or with an error, after which the record may or may not be durable.
	Record(record store.Record, done func(error))
}

// UseStore restores the executions that earlier incarnations of this server recorded, and records executions of
// idempotency keys from then on. It must be called before Attach, and may block on the database.
func (s *Server) UseStore(records RecordStore, now microtime.Time) error {
	restored, err := records.Load(s.clock.UnixMilli(now - s.LongestRetention()))
	if err != nil {
		return fmt.Errorf("server: restore executions: %w", err)
	}
	indeterminate := 0
	for _, record := range restored {
		class, known := s.names.class(record.Class)
		if !known {
			continue // the settings have changed since the record was written
		}
		tenant, _ := s.names.tenant(record.Tenant)
		request := dispatch.KeyedRequest{
			Class:          class,
			Tenant:         tenant,
			IdempotencyKey: record.IdempotencyKey,
			ArrivedAt:      s.clock.FromUnixMilli(record.ArrivedAtMilli),
			Result:         record.Result,
		}
		if record.Intent {
			indeterminate++
			s.core.RestoreLease(request)
		} else {
			s.core.Restore(request)
		}
	}
	s.core.UseExecutionStore(&databaseStore{server: s, records: records, inProgress: map[recordKey]*databaseExecution{}})
	s.logf("server: executions restored: restored=%d indeterminate=%d", len(restored), indeterminate)
	return nil
}

// recordKey identifies an execution in the database.
type recordKey struct {
	tenant         string
	idempotencyKey string
}

// databaseStore implements dispatch.ExecutionStore with a database that only this server uses. Writes run on goroutines
// of the database, and their results return to the loop through EventLoop.Execute. The core keeps the results of
// executions; databaseStore keeps only the executions in progress.
type databaseStore struct {
	server     *Server
	records    RecordStore
	inProgress map[recordKey]*databaseExecution
}

// databaseExecution is an execution in progress.
type databaseExecution struct {
	execution.Lifecycle
	// lastWrite numbers the writes. The lifecycle awaits the result of the last one only: an attempt may arrive, and
	// write its intent, before the cancellation of an earlier intent has ended.
	lastWrite int
}

// Lookup implements dispatch.ExecutionStore. No other server writes to this database, and its records were loaded at
// startup, so there is nothing to look up.
func (d *databaseStore) Lookup(dispatch.KeyedRequest, func(dispatch.LeaseResult)) bool { return false }

// Acquire implements dispatch.ExecutionStore.
func (d *databaseStore) Acquire(request dispatch.KeyedRequest, done func(dispatch.LeaseResult)) {
	d.apply(request, execution.EventAttemptArrived, func(action execution.Action, err error) {
		if action == execution.ActionStart {
			done(dispatch.LeaseResult{})
			return
		}
		done(dispatch.LeaseResult{Verdict: dispatch.VerdictUnavailable, Err: err})
	})
}

// ReleaseLease implements dispatch.ExecutionStore. If the write is lost, the intent stays on record, and a retry after
// a restart fails: the server can no longer know that the request never ran.
func (d *databaseStore) ReleaseLease(request dispatch.KeyedRequest) {
	d.apply(request, execution.EventRunNotStarted, func(execution.Action, error) {})
}

// RecordFailure implements dispatch.ExecutionStore.
func (d *databaseStore) RecordFailure(request dispatch.KeyedRequest) {
	d.apply(request, execution.EventRunFailed, func(execution.Action, error) {})
}

// RecordResult implements dispatch.ExecutionStore.
func (d *databaseStore) RecordResult(request dispatch.KeyedRequest, done func(error)) {
	d.apply(request, execution.EventRunSucceeded, func(_ execution.Action, err error) { done(err) })
}

// record returns the database record of a request.
func (d *databaseStore) record(request dispatch.KeyedRequest) store.Record {
	return store.Record{
		Class:          d.server.cfg.Settings.Classes[request.Class].Name,
		Tenant:         d.server.tenantName(request.Tenant),
		IdempotencyKey: request.IdempotencyKey,
		ArrivedAtMilli: d.server.clock.UnixMilli(request.ArrivedAt),
		Result:         request.Result,
	}
}

// apply applies an event to the lifecycle of a request's execution. notify is called with each action that is addressed
// to the caller rather than to the database.
func (d *databaseStore) apply(
	request dispatch.KeyedRequest, event execution.Event, notify func(execution.Action, error),
) {
	record := d.record(request)
	key := recordKey{tenant: record.Tenant, idempotencyKey: record.IdempotencyKey}
	current := d.inProgress[key]
	if current == nil {
		current = &databaseExecution{}
		d.inProgress[key] = current
	}
	change := &executionChange{store: d, key: key, record: record, execution: current, notify: notify}
	change.step(event)
}

// executionChange applies one event to an execution and performs the resulting database writes.
type executionChange struct {
	store     *databaseStore
	key       recordKey
	record    store.Record
	execution *databaseExecution
	notify    func(execution.Action, error)
	err       error // the result of the last write
}

// step applies an event and performs the actions that it returns. The caller is notified last: it may start another
// attempt at once, whose writes must follow those of this event.
func (c *executionChange) step(event execution.Event) {
	var notices []execution.Action
	for _, action := range c.execution.Step(event) {
		switch action {
		case execution.ActionAcquireLease:
			intent := c.record
			intent.Intent, intent.Result = true, nil
			c.write(intent, execution.EventLeaseGranted)
		case execution.ActionRecord:
			if event == execution.EventRunFailed {
				// The intent stays on record: after a restart, the outcome of the execution is indeterminate.
				c.step(execution.EventFailureFound)
			} else {
				c.write(c.record, execution.EventResultFound)
			}
		case execution.ActionReleaseLease:
			c.write(c.record.Cancelled(), execution.EventVacant)
		case execution.ActionRetryLater: // the client's next attempt retries
		default:
			notices = append(notices, action)
		}
	}
	c.removeIfEnded()
	if event == execution.EventUnavailable && c.execution.State == execution.StateIdle {
		c.store.server.logf("server: the intent of a request that did not run stays on record: key=%q error=%v",
			c.key.idempotencyKey, c.err)
	}
	for _, action := range notices {
		c.notify(action, c.err)
	}
}

// removeIfEnded removes the execution once it has ended; the core keeps the result.
func (c *executionChange) removeIfEnded() {
	ended := c.execution.State == execution.StateIdle || c.execution.State == execution.StateRecorded
	if ended && c.store.inProgress[c.key] == c.execution {
		delete(c.store.inProgress, c.key)
	}
}

// write writes a record. Once the record is durable, it applies durableEvent on the loop, unless another write of the
// execution has been queued since.
func (c *executionChange) write(record store.Record, durableEvent execution.Event) {
	c.execution.lastWrite++
	number := c.execution.lastWrite
	c.store.records.Record(record, func(err error) {
		// Execute fails only after the loop has ended, when no request is left to answer.
		_ = c.store.server.loop.Execute(func() {
			if number != c.execution.lastWrite {
				return
			}
			c.err = err
			if err != nil {
				c.step(execution.EventUnavailable)
				return
			}
			c.step(durableEvent)
		})
	})
}
