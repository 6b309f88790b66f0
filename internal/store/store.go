// Package store is the store of record: the intakes that ran and their results, in SQLite or PostgreSQL. It
// works off the event loop; every wait is bounded.
package store

import (
	"cmp"
	"context"
	"database/sql"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	_ "github.com/jackc/pgx/v5/stdlib" // PostgreSQL
	_ "modernc.org/sqlite"             // SQLite, in Go throughout
)

// The kinds of database.
const (
	SQLite   = "sqlite"
	Postgres = "postgres"
)

const (
	queueLen = 256 // intakes that may wait to be written; more are refused at once
	batchMax = 64  // that go into one transaction
)

// ErrQueueFull says that too many intakes wait to be written.
var ErrQueueFull = errors.New("store: the queue is full")

// ErrClosed says that the store has been closed.
var ErrClosed = errors.New("store: closed")

// Record is one intake that ran, or is about to.
type Record struct {
	Class, Tenant, IdempotencyKey string
	ArrivedAtMilli                int64 // when the try that ran came, in Unix milliseconds
	Result                        []byte
	Intent                        bool // it may run from now on; there is no result yet
}

// Cancelled is an intent that came to nothing: it never ran.
func (r Record) Cancelled() Record {
	r.Intent, r.ArrivedAtMilli = true, 0 // before any window
	return r
}

// Store writes records of one server, in the order they come.
type Store struct {
	db      *sql.DB
	server  string
	timeout time.Duration
	insert  string
	intend  string
	sel     string
	open    string // intents
	queue   chan job
	closing chan struct{}
	done    chan struct{}
}

type job struct {
	rec  Record
	done func(error)
}

const schema = `CREATE TABLE IF NOT EXISTS intakes (
 server TEXT NOT NULL, class TEXT NOT NULL, tenant TEXT NOT NULL, once TEXT NOT NULL,
 at_ms BIGINT NOT NULL, result %s NOT NULL, PRIMARY KEY (server, class, tenant, once))`

// An intent is older than its result, or as old; one that is younger was not settled. Void ones are of the time 0.
const intents = `CREATE TABLE IF NOT EXISTS intents (
 server TEXT NOT NULL, class TEXT NOT NULL, tenant TEXT NOT NULL, once TEXT NOT NULL,
 at_ms BIGINT NOT NULL, PRIMARY KEY (server, class, tenant, once))`

// Open connects to the database and makes its tables where there are none. The store must be there at the start:
// without it, what has run would not be known.
func Open(driver, dsn, server string, timeout time.Duration) (*Store, error) {
	s := &Store{server: server, timeout: timeout, queue: make(chan job, queueLen),
		closing: make(chan struct{}), done: make(chan struct{})}
	name, blob := "pgx", "BYTEA"
	param := func(i int) string { return fmt.Sprintf("$%d", i) }
	switch driver {
	case Postgres:
	case SQLite:
		name, blob = "sqlite", "BLOB"
		param = func(int) string { return "?" }
		sep := "?"
		if strings.Contains(dsn, "?") {
			sep = "&"
		}
		// Full: a commit returns when the disk has it.
		dsn = "file:" + strings.TrimPrefix(dsn, "file:") + sep + "_pragma=journal_mode(WAL)&_pragma=synchronous(FULL)&_pragma=busy_timeout(1000)"
	default:
		return nil, fmt.Errorf("store: unknown driver %q", driver)
	}
	p := make([]any, 6)
	for i := range p {
		p[i] = param(i + 1)
	}
	s.insert = fmt.Sprintf(`INSERT INTO intakes (server, class, tenant, once, at_ms, result)
 VALUES (%s, %s, %s, %s, %s, %s) ON CONFLICT (server, class, tenant, once)
 DO UPDATE SET at_ms = excluded.at_ms, result = excluded.result`, p...)
	s.intend = fmt.Sprintf(`INSERT INTO intents (server, class, tenant, once, at_ms)
 VALUES (%s, %s, %s, %s, %s) ON CONFLICT (server, class, tenant, once) DO UPDATE SET at_ms = excluded.at_ms`, p[:5]...)
	s.open = fmt.Sprintf("SELECT class, tenant, once, at_ms FROM intents WHERE server = %s AND at_ms >= %s ORDER BY at_ms", p[:2]...)
	s.sel = fmt.Sprintf("SELECT class, tenant, once, at_ms, result FROM intakes WHERE server = %s AND at_ms >= %s ORDER BY at_ms", p[:2]...)
	var err error
	if s.db, err = sql.Open(name, dsn); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s.db.SetMaxOpenConns(1)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, table := range []string{fmt.Sprintf(schema, blob), intents} {
		if _, err = s.db.ExecContext(ctx, table); err != nil {
			return nil, errors.Join(fmt.Errorf("store: table: %w", err), s.db.Close())
		}
	}
	go s.work()
	return s, nil
}

// Load reads the intakes since a time in Unix milliseconds, oldest first, and those among them that were to run and have no
// result: they may have run.
func (s *Store) Load(sinceMilli int64) ([]Record, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	out, err := s.query(ctx, s.sel, sinceMilli, false)
	if err != nil {
		return nil, err
	}
	type name struct{ class, tenant, once string }
	settled := map[name]int64{}
	for _, r := range out {
		settled[name{r.Class, r.Tenant, r.IdempotencyKey}] = r.ArrivedAtMilli
	}
	open, err := s.query(ctx, s.open, sinceMilli, true)
	for _, r := range open {
		if at, ok := settled[name{r.Class, r.Tenant, r.IdempotencyKey}]; !ok || at < r.ArrivedAtMilli {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b Record) int { return cmp.Compare(a.ArrivedAtMilli, b.ArrivedAtMilli) })
	return out, err
}

func (s *Store) query(ctx context.Context, text string, sinceMilli int64, intent bool) ([]Record, error) {
	rows, err := s.db.QueryContext(ctx, text, s.server, sinceMilli)
	if err != nil {
		return nil, fmt.Errorf("store: load: %w", err)
	}
	defer rows.Close() //nolint:errcheck // rows.Err tells
	var out []Record
	for rows.Next() {
		r := Record{Intent: intent}
		to := []any{&r.Class, &r.Tenant, &r.IdempotencyKey, &r.ArrivedAtMilli}
		if !intent {
			to = append(to, &r.Result)
		}
		if err := rows.Scan(to...); err != nil {
			return nil, fmt.Errorf("store: load: %w", err)
		}
		if r.Result == nil && !intent {
			r.Result = []byte{} // drivers differ over an empty one
		}
		out = append(out, r)
	}
	if err := rows.Err(); err != nil {
		return nil, fmt.Errorf("store: load: %w", err)
	}
	return out, nil
}

// Record writes r. done is called off the loop, once, when the database holds it or an error says that this is
// not known.
func (s *Store) Record(r Record, done func(error)) {
	select {
	case <-s.closing:
		go done(ErrClosed)
	default:
		select {
		case s.queue <- job{r, done}:
		default:
			go done(ErrQueueFull)
		}
	}
}

// Close writes what waits and closes the database.
func (s *Store) Close() error {
	close(s.closing)
	<-s.done
	return s.db.Close()
}

func (s *Store) work() {
	defer close(s.done)
	for {
		select {
		case j := <-s.queue:
			s.write(s.batch(j))
		case <-s.closing:
			for {
				select {
				case j := <-s.queue:
					s.write(s.batch(j))
				default:
					return
				}
			}
		}
	}
}

// batch takes what else waits: one commit serves all.
func (s *Store) batch(first job) []job {
	jobs := []job{first}
	for len(jobs) < batchMax {
		select {
		case j := <-s.queue:
			jobs = append(jobs, j)
		default:
			return jobs
		}
	}
	return jobs
}

func (s *Store) write(jobs []job) {
	err := s.commit(jobs)
	for _, j := range jobs {
		j.done(err)
	}
}

func (s *Store) commit(jobs []job) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	tx, err := s.db.BeginTx(ctx, nil)
	if err != nil {
		return fmt.Errorf("store: begin: %w", err)
	}
	for _, j := range jobs {
		r := j.rec
		if r.Result == nil {
			r.Result = []byte{}
		}
		text, args := s.insert, []any{s.server, r.Class, r.Tenant, r.IdempotencyKey, r.ArrivedAtMilli, r.Result}
		if r.Intent {
			text, args = s.intend, args[:5]
		}
		if _, err := tx.ExecContext(ctx, text, args...); err != nil {
			return errors.Join(fmt.Errorf("store: insert: %w", err), tx.Rollback())
		}
	}
	if err := tx.Commit(); err != nil {
		return fmt.Errorf("store: commit: %w", err)
	}
	return nil
}
