package store

import (
	"database/sql"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordedRows returns the records from which testdata/intakes.sql was made, in the order in which they were written.
func recordedRows() []Record {
	withoutResult := result("k0", 6000, "")
	withoutResult.Result = nil
	notRun := intent("k3", 5600)
	notRun.Tenant = ""
	return []Record{
		result("k0", 1000, "old"),
		intent("k1", 5000),
		result("k1", 5000, "\x00first'\xff"),
		intent("k0", 6000),
		withoutResult,
		intent("k2", 5500),
		notRun.Cancelled(),
		{Class: "press-run", IdempotencyKey: "k4", ArrivedAtMilli: 1764547200000, Result: []byte("wide")},
	}
}

// dump returns the statements that create a database: its schema, and its rows in the order of their keys.
func dump(t *testing.T, file string) string {
	t.Helper()
	db, err := sql.Open("sqlite", file)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, db.Close()) })
	var out strings.Builder
	each := func(query string) {
		rows, err := db.QueryContext(t.Context(), query)
		require.NoError(t, err)
		for rows.Next() {
			var text string
			require.NoError(t, rows.Scan(&text))
			fmt.Fprintf(&out, "%s;\n", text)
		}
		require.NoError(t, rows.Err())
	}
	each(`SELECT sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY name`)
	for _, table := range []struct{ name, columns string }{
		{"intakes", "server class tenant once at_ms result"},
		{"intents", "server class tenant once at_ms"},
	} {
		var values []string
		for column := range strings.FieldsSeq(table.columns) {
			values = append(values, "quote("+column+")")
		}
		each(fmt.Sprintf(`SELECT 'INSERT INTO %s VALUES (' || %s || ')' FROM %[1]s ORDER BY server, class, tenant, once`,
			table.name, strings.Join(values, " || ', ' || ")))
	}
	return out.String()
}

// Guards against incompatibility with a database that an earlier version has written: the store reads its rows, leaves
// its schema unchanged, and can write to it.
func TestRecordedDatabaseIsRead(t *testing.T) {
	recorded, err := os.ReadFile("testdata/intakes.sql")
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "intakes.db")
	db, err := sql.Open("sqlite", file)
	require.NoError(t, err)
	_, err = db.ExecContext(t.Context(), string(recorded))
	require.NoError(t, err)
	require.NoError(t, db.Close())

	store := open(t, SQLite, file, "n0")
	got, err := store.Load(1)
	require.NoError(t, err)
	rows := recordedRows()
	latest := rows[4]
	latest.Result = []byte{}
	require.Equal(t, []Record{rows[2], rows[5], latest, rows[7]}, got, "the results and the one intent without a result")
	require.NoError(t, store.Close())
	require.Equal(t, string(recorded), dump(t, file), "reading changes nothing")

	store = open(t, SQLite, file, "n0")
	for _, r := range rows {
		require.NoError(t, record(t, store, r))
	}
	require.NoError(t, store.Close())
	require.Equal(t, string(recorded), dump(t, file), "the same rows, written again")
}

// Guards against a database that an earlier version cannot read after a downgrade: the same records make the same
// schema and rows.
func TestDatabaseIsWrittenAsRecorded(t *testing.T) {
	file := filepath.Join(t.TempDir(), "intakes.db")
	store := open(t, SQLite, file, "n0")
	for _, r := range recordedRows() {
		require.NoError(t, record(t, store, r))
	}
	require.NoError(t, store.Close())
	recorded, err := os.ReadFile("testdata/intakes.sql")
	require.NoError(t, err)
	require.Equal(t, string(recorded), dump(t, file))
}
