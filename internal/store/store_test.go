package store

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

const patience = time.Minute // bounds a test that hangs; no verdict depends on it

func record(t *testing.T, s *Store, r Record) error {
	t.Helper()
	done := make(chan error, 1)
	s.Record(r, func(err error) { done <- err })
	return <-done
}

// roundTrip writes, reopens and reads: what a server that has died and come back does.
func roundTrip(t *testing.T, driver, dsn string) {
	s, err := Open(driver, dsn, "n0", patience)
	require.NoError(t, err)
	old := Record{"lot-intake", "hill-estate", "k0", 1000, []byte("old"), false}
	first := Record{"lot-intake", "hill-estate", "k1", 5000, []byte("\x00first'\xff"), false}
	again := Record{"lot-intake", "hill-estate", "k0", 6000, []byte{}, false}
	// Intents: one that is settled, one that its key's older result does not settle, one that came to nothing.
	intent := func(once string, at int64) Record { return Record{"lot-intake", "hill-estate", once, at, nil, true} }
	open, younger, void := intent("k2", 5500), intent("k3", 7000), intent("k4", 5600)
	for _, r := range []Record{old, intent("k1", 5000), first, intent("k0", 6000), again, open, {"lot-intake", "hill-estate", "k3", 5100, []byte("three"), false},
		younger, void, void.Cancelled()} {
		require.NoError(t, record(t, s, r))
	}
	require.NoError(t, s.Close())
	require.ErrorIs(t, record(t, s, first), ErrClosed)

	s, err = Open(driver, dsn, "n0", patience)
	require.NoError(t, err)
	got, err := s.Load(5000)
	require.NoError(t, err)
	require.Equal(t, []Record{first, {"lot-intake", "hill-estate", "k3", 5100, []byte("three"), false}, open, again, younger}, got,
		"the newest of a key, and none from before")
	require.NoError(t, s.Close())

	s, err = Open(driver, dsn, "n1", patience)
	require.NoError(t, err)
	got, err = s.Load(0)
	require.NoError(t, err)
	require.Empty(t, got, "another server's")
	require.NoError(t, s.Close())
}

func TestSQLite(t *testing.T) { roundTrip(t, SQLite, filepath.Join(t.TempDir(), "intakes.db")) }

func TestPostgres(t *testing.T) {
	p := newPG(t)
	roundTrip(t, Postgres, p.dsn())
	require.Positive(t, p.commits)
}

// Guards the promise that an answer means a durable record: when the database fails at the commit, or is gone,
// the error comes back, and it comes back within the bound.
func TestFailures(t *testing.T) {
	p := newPG(t)
	s, err := Open(Postgres, p.dsn(), "n0", patience)
	require.NoError(t, err)
	r := Record{"lot-intake", "hill-estate", "k1", 5000, []byte("x"), false}
	p.set("COMMIT", "fail")
	require.ErrorContains(t, record(t, s, r), "disk full")
	p.set("COMMIT", "")
	require.NoError(t, record(t, s, r))
	require.NoError(t, s.Close())

	s, err = Open(Postgres, p.dsn(), "n0", patience)
	require.NoError(t, err)
	s.timeout = 50 * time.Millisecond // from here on nothing is waited for that could come
	p.set("BEGIN", "hang")
	require.Error(t, record(t, s, r), "a database that does not answer")
	_ = s.Close() // its connection is broken

	_, err = Open("oracle", "", "n0", patience)
	require.ErrorContains(t, err, "oracle")
	_, err = Open(SQLite, filepath.Join(t.TempDir(), "no", "such", "folder"), "n0", patience)
	require.Error(t, err)
}

// pg is a stand-in for PostgreSQL on the wire: one table, and just the statements that the store sends.
type pg struct {
	t       *testing.T
	ln      net.Listener
	mu      sync.Mutex
	rows    map[string][]string // by server, class, tenant and once: the six columns
	commits int
	trouble map[string]string // by a statement's first word
}

func newPG(t *testing.T) *pg {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &pg{t: t, ln: ln, rows: map[string][]string{}, trouble: map[string]string{}}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *pg) dsn() string {
	return fmt.Sprintf("postgres://relay@%s/harvest?sslmode=disable", p.ln.Addr())
}

func (p *pg) set(word, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble[word] = what
}

// Type numbers of PostgreSQL.
const (
	oidBytea = 17
	oidInt8  = 20
	oidText  = 25
)

func describe(query string) (params []uint32, row *pgproto3.RowDescription) {
	field := func(name string, oid uint32) pgproto3.FieldDescription {
		return pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: oid, DataTypeSize: -1, TypeModifier: -1}
	}
	intents := strings.Contains(query, " intents ")
	switch strings.Fields(query)[0] {
	case "INSERT":
		if params = []uint32{oidText, oidText, oidText, oidText, oidInt8, oidBytea}; intents {
			params = params[:5]
		}
	case "SELECT":
		params = []uint32{oidText, oidInt8}
		row = &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field("class", oidText), field("tenant", oidText),
			field("once", oidText), field("at_ms", oidInt8), field("result", oidBytea)}}
		if intents {
			row.Fields = row.Fields[:4]
		}
	}
	return params, row
}

func (p *pg) serve(c net.Conn) {
	defer c.Close()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	b.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	status := byte('I')
	ready := func() error {
		b.Send(&pgproto3.ReadyForQuery{TxStatus: status})
		return b.Flush()
	}
	if ready() != nil {
		return
	}
	statements, portals := map[string]string{}, map[string]*pgproto3.Bind{}
	queries, failed := map[string]string{}, false
	for {
		msg, err := b.Receive()
		if err != nil {
			return
		}
		if _, sync := msg.(*pgproto3.Sync); failed && !sync {
			continue
		}
		switch m := msg.(type) {
		case *pgproto3.Parse:
			statements[m.Name] = m.Query
			b.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Describe:
			query := statements[m.Name]
			if m.ObjectType == 'P' {
				query = queries[m.Name]
			}
			params, row := describe(query)
			if m.ObjectType == 'S' {
				b.Send(&pgproto3.ParameterDescription{ParameterOIDs: params})
			}
			if row != nil {
				b.Send(row)
			} else {
				b.Send(&pgproto3.NoData{})
			}
		case *pgproto3.Bind:
			bind := *m
			bind.Parameters = nil
			for _, v := range m.Parameters {
				bind.Parameters = append(bind.Parameters, append([]byte(nil), v...))
			}
			portals[m.DestinationPortal], queries[m.DestinationPortal] = &bind, statements[m.PreparedStatement]
			b.Send(&pgproto3.BindComplete{})
		case *pgproto3.Execute:
			failed = !p.run(b, queries[m.Portal], portals[m.Portal], &status)
		case *pgproto3.Query:
			p.run(b, m.String, nil, &status)
			if ready() != nil {
				return
			}
		case *pgproto3.Close:
			b.Send(&pgproto3.CloseComplete{})
		case *pgproto3.Sync:
			failed = false
			if ready() != nil {
				return
			}
		case *pgproto3.Terminate:
			return
		}
	}
}

func (p *pg) run(b *pgproto3.Backend, query string, bind *pgproto3.Bind, status *byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	word := strings.ToUpper(strings.Trim(strings.Fields(query + " -")[0], ";"))
	switch p.trouble[word] {
	case "fail":
		*status = 'I'
		b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "53100", Message: "disk full"})
		return false
	case "hang":
		p.mu.Unlock()
		for { // no word of its end
			if _, err := b.Receive(); err != nil {
				p.mu.Lock()
				return false
			}
		}
	}
	arg := func(i int) string { // numbers may come in binary
		v := bind.Parameters[i]
		binary := len(bind.ParameterFormatCodes) == 1 && bind.ParameterFormatCodes[0] == 1 ||
			len(bind.ParameterFormatCodes) > i && bind.ParameterFormatCodes[i] == 1
		params, _ := describe(query)
		if binary && params[i] == oidInt8 {
			n := int64(0)
			for _, x := range v {
				n = n<<8 | int64(x)
			}
			return strconv.FormatInt(n, 10)
		}
		if !binary && params[i] == oidBytea {
			var out []byte
			_, err := fmt.Sscanf(string(v), "\\x%x", &out)
			if err != nil && string(v) != "\\x" {
				p.t.Errorf("bytea %q: %v", v, err)
			}
			return string(out)
		}
		return string(v)
	}
	switch word {
	case "BEGIN":
		*status = 'T'
	case "COMMIT", "ROLLBACK":
		*status = 'I'
		if word == "COMMIT" {
			p.commits++
		}
	case "INSERT":
		var row []string
		params, _ := describe(query)
		for i := range params {
			row = append(row, arg(i))
		}
		p.rows[fmt.Sprint(len(row))+strings.Join(row[:4], "/")] = row // intents have one column less
	case "SELECT":
		since, _ := strconv.Atoi(arg(1))
		var found [][]string
		_, want := describe(query)
		for _, r := range p.rows {
			if len(r) != len(want.Fields)+1 {
				continue // of the other table
			}
			if at, _ := strconv.Atoi(r[4]); r[0] == arg(0) && at >= since {
				i := 0
				for ; i < len(found) && found[i][4] < r[4]; i++ {
				}
				found = append(found[:i], append([][]string{r}, found[i:]...)...)
			}
		}
		for _, r := range found {
			row := &pgproto3.DataRow{}
			for i, v := range r[1:] {
				format := int16(0)
				if f := bind.ResultFormatCodes; len(f) > i {
					format = f[i]
				} else if len(f) == 1 {
					format = f[0]
				}
				row.Values = append(row.Values, encode(i, v, format))
			}
			b.Send(row)
		}
	}
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte(word + " 1")})
	return true
}

func encode(column int, v string, format int16) []byte {
	switch {
	case column == 3 && format == 1:
		n, _ := strconv.ParseInt(v, 10, 64)
		out := make([]byte, 8)
		for i := range out {
			out[7-i] = byte(n >> (8 * i))
		}
		return out
	case column == 4 && format == 0:
		return fmt.Appendf(nil, "\\x%x", v)
	}
	return []byte(v)
}
