package lab

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// Postgres is a database server that speaks PostgreSQL's protocol, version 3, as far as the log server uses it: it
// accepts each statement, and its tables are empty when a log server starts. Each commit takes Commit times the factor
// that is set.
type Postgres struct {
	Commit    time.Duration
	Committed func(statements int, took time.Duration)

	listener net.Listener
	factor   atomic.Int64
}

// StartPostgres makes the database listen.
func StartPostgres(p *Postgres) (*Postgres, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.listener = listener
	p.factor.Store(1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// DSN returns the address of the database as the log server's file names it.
func (p *Postgres) DSN() string {
	return "postgres://relay@" + p.listener.Addr().String() + "/harvest?sslmode=disable"
}

// SlowDown makes each commit take factor times as long as usual.
func (p *Postgres) SlowDown(factor int) { p.factor.Store(int64(factor)) }

// Close ends the database.
func (p *Postgres) Close() { _ = p.listener.Close() }

type pgSession struct {
	server     *Postgres
	conn       net.Conn
	out        bytes.Buffer
	status     byte // 'I' or, in a transaction, 'T'
	inserted   int
	statements map[string]string
	portals    map[string]string
}

func (s *pgSession) put(kind byte, payload []byte) {
	s.out.WriteByte(kind)
	s.out.Write(binary.BigEndian.AppendUint32(nil, uint32(len(payload)+4)))
	s.out.Write(payload)
}

func (s *pgSession) ready() error {
	s.put('Z', []byte{s.status})
	_, err := s.conn.Write(s.out.Bytes())
	s.out.Reset()
	return err
}

func (p *Postgres) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var size [4]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(size[:]))-4); err != nil {
		return
	}
	s := &pgSession{server: p, conn: conn, status: 'I', statements: map[string]string{}, portals: map[string]string{}}
	s.put('R', []byte{0, 0, 0, 0})
	s.put('S', []byte("standard_conforming_strings\x00on\x00"))
	s.put('S', []byte("client_encoding\x00UTF8\x00"))
	err := s.ready()
	for err == nil {
		var head [5]byte
		if _, err = io.ReadFull(conn, head[:]); err != nil {
			return
		}
		payload := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		if _, err = io.ReadFull(conn, payload); err == nil {
			err = s.handle(head[0], payload)
		}
	}
}

func word(text []byte) (string, []byte) {
	before, after, _ := bytes.Cut(text, []byte{0})
	return string(before), after
}

func (s *pgSession) handle(kind byte, payload []byte) error {
	switch kind {
	case 'P':
		name, rest := word(payload)
		s.statements[name], _ = word(rest)
		s.put('1', nil)
	case 'B':
		portal, rest := word(payload)
		name, _ := word(rest)
		s.portals[portal] = s.statements[name]
		s.put('2', nil)
	case 'D':
		name, _ := word(payload[1:])
		if payload[0] == 'S' {
			s.describe(s.statements[name], true)
		} else {
			s.describe(s.portals[name], false)
		}
	case 'E':
		name, _ := word(payload)
		s.execute(s.portals[name])
	case 'Q':
		statement, _ := word(payload)
		s.execute(statement)
		return s.ready()
	case 'C':
		s.put('3', nil)
	case 'S':
		return s.ready()
	case 'X':
		return io.EOF
	}
	return nil
}

// The type OIDs of PostgreSQL.
const (
	oidBytea = 17
	oidInt8  = 20
	oidText  = 25
)

func (s *pgSession) describe(statement string, parameters bool) {
	intents := strings.Contains(statement, " intents ")
	var types []uint32
	var columns []string
	switch strings.Fields(statement + " -")[0] {
	case "INSERT":
		types = []uint32{oidText, oidText, oidText, oidText, oidInt8, oidBytea}
		if intents {
			types = types[:5]
		}
	case "SELECT":
		types = []uint32{oidText, oidInt8}
		columns = []string{"class", "tenant", "once", "at_ms", "result"}
		if intents {
			columns = columns[:4]
		}
	}
	if parameters {
		payload := binary.BigEndian.AppendUint16(nil, uint16(len(types)))
		for _, oid := range types {
			payload = binary.BigEndian.AppendUint32(payload, oid)
		}
		s.put('t', payload)
	}
	if columns == nil {
		s.put('n', nil)
		return
	}
	payload := binary.BigEndian.AppendUint16(nil, uint16(len(columns)))
	for i, column := range columns {
		payload = append(append(payload, column...), 0)
		payload = append(payload, make([]byte, 6)...) // no table
		payload = binary.BigEndian.AppendUint32(payload, []uint32{oidText, oidText, oidText, oidInt8, oidBytea}[i])
		payload = append(payload, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	}
	s.put('T', payload)
}

func (s *pgSession) execute(statement string) {
	verb := strings.ToUpper(strings.Trim(strings.Fields(statement + " -")[0], ";"))
	tag := verb
	switch verb {
	case "BEGIN":
		s.status, s.inserted = 'T', 0
	case "COMMIT":
		began := time.Now()
		time.Sleep(s.server.Commit * time.Duration(s.server.factor.Load()))
		s.status = 'I'
		if s.server.Committed != nil {
			s.server.Committed(s.inserted, time.Since(began))
		}
	case "ROLLBACK":
		s.status = 'I'
	case "INSERT":
		s.inserted++
		tag = "INSERT 0 1"
	case "SELECT":
		tag = "SELECT 0"
	}
	s.put('C', append([]byte(tag), 0))
}
