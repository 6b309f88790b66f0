package store

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Values of Config.Driver: the supported kinds of database.
const (
	SQLite   = "sqlite"
	Postgres = "postgres"
)

// ErrUnknownDriver means that Config.Driver is neither SQLite nor Postgres.
var ErrUnknownDriver = errors.New("store: unknown driver")

// sqlitePragmas make a commit durable before it returns, and limit the wait for another process's lock to 1 s.
const sqlitePragmas = "_pragma=journal_mode(WAL)&_pragma=synchronous(FULL)&_pragma=busy_timeout(1000)"

// dialect holds what differs between the kinds of database.
type dialect struct {
	driverName  string // as registered with database/sql
	blobType    string
	placeholder func(number int) string // returns that of the parameter with a number; the first is 1
}

// dialectOf returns the dialect of a kind of database, and the DSN with which database/sql opens the database.
func dialectOf(driver, dsn string) (dialect, string, error) {
	switch driver {
	case Postgres:
		numbered := func(number int) string { return "$" + strconv.Itoa(number) }
		return dialect{driverName: "pgx", blobType: "BYTEA", placeholder: numbered}, dsn, nil
	case SQLite:
		unnumbered := func(int) string { return "?" }
		return dialect{driverName: "sqlite", blobType: "BLOB", placeholder: unnumbered}, sqliteDSN(dsn), nil
	default:
		return dialect{}, "", fmt.Errorf("%w %q", ErrUnknownDriver, driver)
	}
}

func sqliteDSN(dsn string) string {
	separator := "?"
	if strings.Contains(dsn, "?") {
		separator = "&"
	}
	return "file:" + strings.TrimPrefix(dsn, "file:") + separator + sqlitePragmas
}

// placeholders returns the placeholders of the first count parameters, separated by commas.
func (d dialect) placeholders(count int) string {
	list := make([]string, count)
	for i := range list {
		list[i] = d.placeholder(i + 1)
	}
	return strings.Join(list, ", ")
}

// statements holds the SQL statements of a store. The column "once" of both tables holds the idempotency key.
type statements struct {
	createTables  []string
	insertResult  string
	insertIntent  string
	selectResults string
	selectIntents string
}

// newStatements returns the statements in a dialect. A result in the table intakes belongs to an intent of the same key
// only if the intent's at_ms is not later; otherwise the intent has no result yet. A cancelled intent has at_ms 0.
func newStatements(dialect dialect) statements {
	onConflict := ` ON CONFLICT (server, class, tenant, once)`
	since := " WHERE server = " + dialect.placeholder(1) + " AND at_ms >= " + dialect.placeholder(2) + " ORDER BY at_ms"
	return statements{
		createTables: []string{
			`CREATE TABLE IF NOT EXISTS intakes (
 server TEXT NOT NULL, class TEXT NOT NULL, tenant TEXT NOT NULL, once TEXT NOT NULL,
 at_ms BIGINT NOT NULL, result ` + dialect.blobType + ` NOT NULL, PRIMARY KEY (server, class, tenant, once))`,
			`CREATE TABLE IF NOT EXISTS intents (
 server TEXT NOT NULL, class TEXT NOT NULL, tenant TEXT NOT NULL, once TEXT NOT NULL,
 at_ms BIGINT NOT NULL, PRIMARY KEY (server, class, tenant, once))`,
		},
		insertResult: `INSERT INTO intakes (server, class, tenant, once, at_ms, result)
 VALUES (` + dialect.placeholders(6) + `)` + onConflict + `
 DO UPDATE SET at_ms = excluded.at_ms, result = excluded.result`,
		insertIntent: `INSERT INTO intents (server, class, tenant, once, at_ms)
 VALUES (` + dialect.placeholders(5) + `)` + onConflict + ` DO UPDATE SET at_ms = excluded.at_ms`,
		selectResults: "SELECT class, tenant, once, at_ms, result FROM intakes" + since,
		selectIntents: "SELECT class, tenant, once, at_ms FROM intents" + since,
	}
}
