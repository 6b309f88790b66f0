// Package store is the store of record: the intakes that ran and their results, in SQLite or PostgreSQL. It
// works off the event loop; every wait is bounded.
package store

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
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

// ErrFull says that too many intakes wait to be written.
var ErrFull = errors.New("store: the queue is full")

// ErrClosed says that the store has been closed.
var ErrClosed = errors.New("store: closed")

// Record is one intake that ran.
type Record struct {
	Class, Tenant, Once string
	AtMilli             int64 // when the try that ran came, in Unix milliseconds
	Result              []byte
}

// Store writes records of one server, in the order they come.
type Store struct {
	db      *sql.DB
	server  string
	timeout time.Duration
	insert  string
	sel     string
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

// Open connects to the database and makes its table where there is none. The store must be there at the start:
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
	s.sel = fmt.Sprintf("SELECT class, tenant, once, at_ms, result FROM intakes WHERE server = %s AND at_ms >= %s ORDER BY at_ms", p[:2]...)
	var err error
	if s.db, err = sql.Open(name, dsn); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s.db.SetMaxOpenConns(1)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if _, err = s.db.ExecContext(ctx, fmt.Sprintf(schema, blob)); err != nil {
		return nil, errors.Join(fmt.Errorf("store: table: %w", err), s.db.Close())
	}
	go s.work()
	return s, nil
}

// Load reads the intakes since a time in Unix milliseconds, oldest first.
func (s *Store) Load(sinceMilli int64) ([]Record, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	rows, err := s.db.QueryContext(ctx, s.sel, s.server, sinceMilli)
	if err != nil {
		return nil, fmt.Errorf("store: load: %w", err)
	}
	defer rows.Close() //nolint:errcheck // rows.Err tells
	var out []Record
	for rows.Next() {
		var r Record
		if err := rows.Scan(&r.Class, &r.Tenant, &r.Once, &r.AtMilli, &r.Result); err != nil {
			return nil, fmt.Errorf("store: load: %w", err)
		}
		if r.Result == nil {
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
			go done(ErrFull)
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
		if _, err := tx.ExecContext(ctx, s.insert, s.server, r.Class, r.Tenant, r.Once, r.AtMilli, r.Result); err != nil {
			return errors.Join(fmt.Errorf("store: insert: %w", err), tx.Rollback())
		}
	}
	if err := tx.Commit(); err != nil {
		return fmt.Errorf("store: commit: %w", err)
	}
	return nil
}
