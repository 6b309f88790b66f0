package store

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The statements are those of the version that recorded testdata, with a placeholder for each parameter.
func TestStatements(t *testing.T) {
	cases := []struct {
		driver     string
		blob       string
		parameters [6]string
	}{
		{SQLite, "BLOB", [6]string{"?", "?", "?", "?", "?", "?"}},
		{Postgres, "BYTEA", [6]string{"$1", "$2", "$3", "$4", "$5", "$6"}},
	}
	for _, tc := range cases {
		t.Run(tc.driver, func(t *testing.T) {
			dialect, _, err := dialectOf(tc.driver, "")
			require.NoError(t, err)
			five := strings.Join(tc.parameters[:5], ", ")
			require.Equal(t, statements{
				createTables: []string{
					"CREATE TABLE IF NOT EXISTS intakes (\n server TEXT NOT NULL, class TEXT NOT NULL, tenant TEXT NOT NULL, " +
						"once TEXT NOT NULL,\n at_ms BIGINT NOT NULL, result " + tc.blob +
						" NOT NULL, PRIMARY KEY (server, class, tenant, once))",
					"CREATE TABLE IF NOT EXISTS intents (\n server TEXT NOT NULL, class TEXT NOT NULL, tenant TEXT NOT NULL, " +
						"once TEXT NOT NULL,\n at_ms BIGINT NOT NULL, PRIMARY KEY (server, class, tenant, once))",
				},
				insertResult: "INSERT INTO intakes (server, class, tenant, once, at_ms, result)\n VALUES (" + five + ", " +
					tc.parameters[5] +
					") ON CONFLICT (server, class, tenant, once)\n" +
					" DO UPDATE SET at_ms = excluded.at_ms, result = excluded.result",
				insertIntent: "INSERT INTO intents (server, class, tenant, once, at_ms)\n VALUES (" + five +
					") ON CONFLICT (server, class, tenant, once) DO UPDATE SET at_ms = excluded.at_ms",
				selectResults: "SELECT class, tenant, once, at_ms, result FROM intakes WHERE server = " + tc.parameters[0] +
					" AND at_ms >= " + tc.parameters[1] + " ORDER BY at_ms",
				selectIntents: "SELECT class, tenant, once, at_ms FROM intents WHERE server = " + tc.parameters[0] +
					" AND at_ms >= " + tc.parameters[1] + " ORDER BY at_ms",
			}, newStatements(dialect))
		})
	}
}

// The name of a database file, in each of its forms, becomes a DSN with the pragmas that make a commit durable.
func TestSQLiteDSN(t *testing.T) {
	const pragmas = "_pragma=journal_mode(WAL)&_pragma=synchronous(FULL)&_pragma=busy_timeout(1000)"
	cases := []struct{ dsn, want string }{
		{"intakes.db", "file:intakes.db?" + pragmas},
		{"file:intakes.db", "file:intakes.db?" + pragmas},
		{"file:intakes.db?mode=rw", "file:intakes.db?mode=rw&" + pragmas},
	}
	for _, tc := range cases {
		dialect, dsn, err := dialectOf(SQLite, tc.dsn)
		require.NoError(t, err)
		require.Equal(t, "sqlite", dialect.driverName)
		require.Equal(t, tc.want, dsn)
	}
	_, _, err := dialectOf("oracle", "")
	require.ErrorIs(t, err, ErrUnknownDriver)
	_, dsn, err := dialectOf(Postgres, "postgres://somewhere")
	require.NoError(t, err)
	require.Equal(t, "postgres://somewhere", dsn)
}
