package store

import (
	"cmp"
	"context"
	"database/sql"
	"errors"
	"fmt"
	"slices"
	"time"

	_ "github.com/jackc/pgx/v5/stdlib" // the driver of PostgreSQL
	_ "modernc.org/sqlite"             // the driver of SQLite, without cgo
)

const (
	queueSize = 256 // limit of the records that wait to be written; Record rejects more with ErrQueueFull
	maxBatch  = 64  // limit of the records in one transaction
)

// The errors of Store.Record, besides those of the database.
var (
	ErrQueueFull = errors.New("store: the queue is full")
	ErrClosed    = errors.New("store: closed")
)

// Config configures a Store.
type Config struct {
	Driver  string        // SQLite or Postgres
	DSN     string        // a file for SQLite, a URL for PostgreSQL
	Server  string        // the server whose records are read and written; servers may share a database
	Timeout time.Duration // limit of each operation on the database
}

// Store writes the records of one server, in the order of the calls of Record. It is safe for concurrent use.
type Store struct {
	db         *sql.DB
	config     Config
	statements statements
	queue      chan submission
	closing    chan struct{} // closed by Close
	writerDone chan struct{} // closed once the writer has ended
}

// submission is a record that waits to be written.
type submission struct {
	record Record
	done   func(error)
}

// Open connects to the database, creates missing tables, and starts the writer, a goroutine that Close ends. It fails
// if the database cannot be reached: without it, the server would not know which requests have run.
func Open(config Config) (*Store, error) {
	dialect, dsn, err := dialectOf(config.Driver, config.DSN)
	if err != nil {
		return nil, err
	}
	store := &Store{
		config:     config,
		statements: newStatements(dialect),
		queue:      make(chan submission, queueSize),
		closing:    make(chan struct{}),
		writerDone: make(chan struct{}),
	}
	if store.db, err = sql.Open(dialect.driverName, dsn); err != nil {
		return nil, fmt.Errorf("store: open: %w", err)
	}
	store.db.SetMaxOpenConns(1)
	if err := store.createTables(); err != nil {
		return nil, errors.Join(err, store.db.Close())
	}
	go store.runWriter()
	return store, nil
}

// operationContext returns a context for one operation on the database, which expires after Config.Timeout.
func (s *Store) operationContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.config.Timeout)
}

func (s *Store) createTables() error {
	ctx, cancel := s.operationContext()
	defer cancel()
	for _, statement := range s.statements.createTables {
		if _, err := s.db.ExecContext(ctx, statement); err != nil {
			return fmt.Errorf("store: create table: %w", err)
		}
	}
	return nil
}

// Load returns the results since a time in Unix milliseconds, and the intents since then that have no result: their
// requests may have run. The records are in the order of arrival.
func (s *Store) Load(sinceMilli int64) ([]Record, error) {
	ctx, cancel := s.operationContext()
	defer cancel()
	records, err := s.query(ctx, s.statements.selectResults, sinceMilli, scanResult)
	if err != nil {
		return nil, fmt.Errorf("store: load results: %w", err)
	}
	resultAt := map[identity]int64{}
	for _, record := range records {
		resultAt[record.identity()] = record.ArrivedAtMilli
	}
	intents, err := s.query(ctx, s.statements.selectIntents, sinceMilli, scanIntent)
	if err != nil {
		return nil, fmt.Errorf("store: load intents: %w", err)
	}
	for _, intent := range intents {
		if at, hasResult := resultAt[intent.identity()]; !hasResult || at < intent.ArrivedAtMilli {
			records = append(records, intent)
		}
	}
	byArrival := func(a, b Record) int { return cmp.Compare(a.ArrivedAtMilli, b.ArrivedAtMilli) }
	slices.SortStableFunc(records, byArrival)
	return records, nil
}

// query returns the records of this server since a time. scan reads one row.
func (s *Store) query(
	ctx context.Context, statement string, sinceMilli int64, scan func(*sql.Rows) (Record, error),
) ([]Record, error) {
	rows, err := s.db.QueryContext(ctx, statement, s.config.Server, sinceMilli)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }() // rows.Err reports the errors of the query
	var records []Record
	for rows.Next() {
		record, err := scan(rows)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, rows.Err()
}

func scanResult(rows *sql.Rows) (record Record, err error) {
	err = rows.Scan(&record.Class, &record.Tenant, &record.IdempotencyKey, &record.ArrivedAtMilli, &record.Result)
	if record.Result == nil {
		record.Result = []byte{} // some drivers return an empty result as nil
	}
	return record, err
}

func scanIntent(rows *sql.Rows) (record Record, err error) {
	record.Intent = true
	err = rows.Scan(&record.Class, &record.Tenant, &record.IdempotencyKey, &record.ArrivedAtMilli)
	return record, err
}

// Record queues a record to be written. done is called once, on another goroutine. Without an error the record is
// durable; after an error it may be durable or not.
func (s *Store) Record(record Record, done func(error)) {
	select {
	case <-s.closing:
		go done(ErrClosed) // on a new goroutine, because the caller may hold a lock that done needs
		return
	default:
	}
	select {
	case s.queue <- submission{record, done}:
	default:
		go done(ErrQueueFull) // on a new goroutine for the same reason
	}
}

// Close writes the queued records and closes the database. It must be called only once.
func (s *Store) Close() error {
	close(s.closing)
	<-s.writerDone
	return s.db.Close()
}

// runWriter is the body of the writer's goroutine. It returns once Close has been called and the queue is empty.
func (s *Store) runWriter() {
	defer close(s.writerDone)
	for {
		select {
		case first := <-s.queue:
			s.write(s.fillBatch(first))
		case <-s.closing:
			s.writeQueued()
			return
		}
	}
}

// writeQueued writes batches until the queue is empty.
func (s *Store) writeQueued() {
	for {
		select {
		case first := <-s.queue:
			s.write(s.fillBatch(first))
		default:
			return
		}
	}
}

// fillBatch returns a batch of first and further queued records, which are written in one transaction.
func (s *Store) fillBatch(first submission) []submission {
	batch := []submission{first}
	for len(batch) < maxBatch {
		select {
		case next := <-s.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// write writes a batch and calls the done function of each record.
func (s *Store) write(batch []submission) {
	err := s.commit(batch)
	for _, submission := range batch {
		submission.done(err)
	}
}

// commit writes a batch in one transaction.
func (s *Store) commit(batch []submission) error {
	ctx, cancel := s.operationContext()
	defer cancel()
	tx, err := s.db.BeginTx(ctx, nil)
	if err != nil {
		return fmt.Errorf("store: begin: %w", err)
	}
	for _, submission := range batch {
		if err := s.insert(ctx, tx, submission.record); err != nil {
			return errors.Join(fmt.Errorf("store: insert: %w", err), tx.Rollback())
		}
	}
	if err := tx.Commit(); err != nil {
		return fmt.Errorf("store: commit: %w", err)
	}
	return nil
}

func (s *Store) insert(ctx context.Context, tx *sql.Tx, record Record) error {
	values := []any{s.config.Server, record.Class, record.Tenant, record.IdempotencyKey, record.ArrivedAtMilli}
	if record.Intent {
		_, err := tx.ExecContext(ctx, s.statements.insertIntent, values...)
		return err
	}
	result := record.Result
	if result == nil {
		result = []byte{} // drivers write nil as NULL
	}
	_, err := tx.ExecContext(ctx, s.statements.insertResult, append(values, result)...)
	return err
}
