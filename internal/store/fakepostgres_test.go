package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// fakePostgres is a server with PostgreSQL's protocol and the two tables of the store. It supports only the statements
// that the store sends.
type fakePostgres struct {
	t        *testing.T
	listener net.Listener

	mu      sync.Mutex
	rows    map[string][]string // by number of columns (which tells the table), server, class, tenant and key
	commits int
	faults  map[string]string // "fail" or "hang", by the first word of a statement
}

func newFakePostgres(t *testing.T) *fakePostgres {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	fake := &fakePostgres{t: t, listener: listener, rows: map[string][]string{}, faults: map[string]string{}}
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	go func() { // ends when the listener is closed
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go fake.serve(conn) // ends with the connection
		}
	}()
	return fake
}

func (f *fakePostgres) dsn() string {
	return fmt.Sprintf("postgres://relay@%s/harvest?sslmode=disable", f.listener.Addr())
}

// setFault makes the statements with a first word fail or hang; "" removes the fault.
func (f *fakePostgres) setFault(word, fault string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[word] = fault
}

func (f *fakePostgres) fault(word string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults[word]
}

// Type OIDs of PostgreSQL.
const (
	oidBytea = 17
	oidInt8  = 20
	oidText  = 25
)

// describe returns the types of a statement's parameters and the columns of its rows; columns is nil for a statement
// without rows.
func describe(statement string) (parameters []uint32, columns *pgproto3.RowDescription) {
	field := func(name string, oid uint32) pgproto3.FieldDescription {
		return pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: oid, DataTypeSize: -1, TypeModifier: -1}
	}
	isIntents := strings.Contains(statement, " intents ")
	switch strings.Fields(statement)[0] {
	case "INSERT":
		parameters = []uint32{oidText, oidText, oidText, oidText, oidInt8, oidBytea}
		if isIntents {
			parameters = parameters[:5]
		}
	case "SELECT":
		parameters = []uint32{oidText, oidInt8}
		columns = &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
			field("class", oidText), field("tenant", oidText), field("once", oidText), field("at_ms", oidInt8),
			field("result", oidBytea),
		}}
		if isIntents {
			columns.Fields = columns.Fields[:4]
		}
	}
	return parameters, columns
}

// portal is a statement with its bound parameters.
type portal struct {
	statement string
	bind      pgproto3.Bind
}

// fakeSession handles one connection.
type fakeSession struct {
	fake       *fakePostgres
	backend    *pgproto3.Backend
	status     byte // transaction status of ReadyForQuery: idle 'I' or in a transaction 'T'
	failed     bool // a statement has failed; messages are ignored until the next Sync
	statements map[string]string
	portals    map[string]portal
}

var errTerminated = errors.New("the client has ended the connection")

func (f *fakePostgres) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the client may have closed it
	session := &fakeSession{
		fake:       f,
		backend:    pgproto3.NewBackend(conn, conn),
		status:     'I',
		statements: map[string]string{},
		portals:    map[string]portal{},
	}
	err := session.startUp()
	for err == nil {
		var message pgproto3.FrontendMessage
		if message, err = session.backend.Receive(); err == nil {
			err = session.handle(message)
		}
	}
}

func (s *fakeSession) startUp() error {
	if _, err := s.backend.ReceiveStartupMessage(); err != nil {
		return err
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	return s.ready()
}

func (s *fakeSession) ready() error {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	return s.backend.Flush()
}

func (s *fakeSession) handle(received pgproto3.FrontendMessage) error {
	if _, sync := received.(*pgproto3.Sync); s.failed && !sync {
		return nil
	}
	switch message := received.(type) {
	case *pgproto3.Parse:
		s.statements[message.Name] = message.Query
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Describe:
		s.describe(message)
	case *pgproto3.Bind:
		bind := *message
		bind.Parameters = nil
		for _, value := range message.Parameters {
			bind.Parameters = append(bind.Parameters, slices.Clone(value))
		}
		s.portals[message.DestinationPortal] = portal{s.statements[message.PreparedStatement], bind}
		s.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Execute:
		s.failed = !s.execute(s.portals[message.Portal])
	case *pgproto3.Query:
		s.execute(portal{statement: message.String})
		return s.ready()
	case *pgproto3.Close:
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		s.failed = false
		return s.ready()
	case *pgproto3.Terminate:
		return errTerminated
	}
	return nil
}

func (s *fakeSession) describe(message *pgproto3.Describe) {
	statement := s.statements[message.Name]
	if message.ObjectType == 'P' {
		statement = s.portals[message.Name].statement
	}
	parameters, columns := describe(statement)
	if message.ObjectType == 'S' {
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: parameters})
	}
	if columns != nil {
		s.backend.Send(columns)
	} else {
		s.backend.Send(&pgproto3.NoData{})
	}
}

// execute executes a statement and reports whether it has succeeded.
func (s *fakeSession) execute(prepared portal) bool {
	word := strings.ToUpper(strings.Trim(strings.Fields(prepared.statement + " -")[0], ";"))
	switch s.fake.fault(word) {
	case "fail":
		s.status = 'I'
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "53100", Message: "disk full"})
		return false
	case "hang":
		for { // until the client disconnects
			if _, err := s.backend.Receive(); err != nil {
				return false
			}
		}
	}
	switch word {
	case "BEGIN":
		s.status = 'T'
	case "COMMIT", "ROLLBACK":
		s.status = 'I'
		s.fake.endTransaction(word)
	case "INSERT":
		s.fake.insert(prepared)
	case "SELECT":
		for _, row := range s.fake.find(prepared) {
			s.backend.Send(row)
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(word + " 1")})
	return true
}

// endTransaction ends a transaction.
func (f *fakePostgres) endTransaction(word string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if word == "COMMIT" {
		f.commits++
	}
}

func (f *fakePostgres) insert(p portal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var row []string
	parameters, _ := describe(p.statement)
	for i := range parameters {
		row = append(row, f.argument(p, i))
	}
	f.rows[fmt.Sprint(len(row))+strings.Join(row[:4], "/")] = row // intents have one column fewer
}

// find returns the rows of a SELECT in the order of arrival.
func (f *fakePostgres) find(query portal) []*pgproto3.DataRow {
	f.mu.Lock()
	defer f.mu.Unlock()
	server := f.argument(query, 0)
	since, err := strconv.ParseInt(f.argument(query, 1), 10, 64)
	if err != nil {
		f.t.Error(err)
	}
	_, columns := describe(query.statement)
	var found [][]string
	for _, row := range f.rows {
		inTable := len(row) == len(columns.Fields)+1
		if inTable && row[0] == server && arrival(f.t, row) >= since {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b []string) int { return int(arrival(f.t, a) - arrival(f.t, b)) })
	var rows []*pgproto3.DataRow
	for _, columns := range found {
		row := &pgproto3.DataRow{}
		for i, value := range columns[1:] {
			row.Values = append(row.Values, encode(i, value, format(query.bind.ResultFormatCodes, i)))
		}
		rows = append(rows, row)
	}
	return rows
}

func arrival(t *testing.T, row []string) int64 {
	t.Helper()
	at, err := strconv.ParseInt(row[4], 10, 64)
	if err != nil {
		t.Error(err)
	}
	return at
}

// format returns the format of a parameter or a column: 0 for text, 1 for binary. One code may stand for all.
func format(codes []int16, i int) int16 {
	switch {
	case len(codes) == 1:
		return codes[0]
	case len(codes) > i:
		return codes[i]
	}
	return 0
}

// argument returns a parameter as text; the text of bytea is its bytes.
func (f *fakePostgres) argument(p portal, i int) string {
	value := p.bind.Parameters[i]
	binaryFormat := format(p.bind.ParameterFormatCodes, i) == 1
	parameters, _ := describe(p.statement)
	switch {
	case binaryFormat && parameters[i] == oidInt8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(value)), 10)
	case !binaryFormat && parameters[i] == oidBytea:
		var out []byte
		_, err := fmt.Sscanf(string(value), "\\x%x", &out)
		if err != nil && string(value) != "\\x" {
			f.t.Errorf("bytea %q: %v", value, err)
		}
		return string(out)
	}
	return string(value)
}

// encode encodes the value of a column in a format.
func encode(column int, value string, format int16) []byte {
	switch {
	case column == 3 && format == 1:
		number, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return nil
		}
		return binary.BigEndian.AppendUint64(nil, uint64(number))
	case column == 4 && format == 0:
		return fmt.Appendf(nil, "\\x%x", value)
	}
	return []byte(value)
}
