// Command toy is a worker pool to try the server with, and a client for either of its protocols.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/thrift"
)

func main() {
	listen := flag.String("listen", "", "serve as a worker pool on this address")
	send := flag.String("send", "", "send one request by Thrift to this address")
	office := flag.String("ajp", "", "send one request by AJP to this address")
	class := flag.String("class", "block-view", "the request's class")
	once := flag.String("once", "", "the request's once-key")
	work := flag.Duration("work", 200*time.Millisecond, "how long the pool takes over a request")
	flag.Parse()
	var err error
	switch {
	case *listen != "":
		err = serve(*listen, *work)
	case *send != "":
		err = sendThrift(*send, *class, *once)
	case *office != "":
		err = sendAJP(*office, *class, *once)
	default:
		err = errors.New("one of -listen, -send and -ajp is needed")
	}
	if err != nil {
		log.Fatal("toy: ", err)
	}
}

func serve(addr string, work time.Duration) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	log.Printf("worker pool on %v", ln.Addr())
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go link(c, work)
	}
}

// link serves one server's link until it ends. The toy keeps no notices: what finishes without a link is lost.
func link(c net.Conn, work time.Duration) {
	defer c.Close() //nolint:errcheck // nothing is left to write
	var mu sync.Mutex
	notice, running := 0, 0
	write := func(format string, args ...any) {
		if _, err := fmt.Fprintf(c, format, args...); err != nil {
			log.Printf("link: %v", err)
		}
	}
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			log.Printf("link ended: %v", err)
			return
		}
		var id, class, tag string
		var n int
		mu.Lock()
		if k, _ := fmt.Sscanf(line, "spawn %s %s %d", &id, &class, &n); k == 3 {
			if _, err := io.CopyN(io.Discard, in, int64(n)+2); err != nil {
				mu.Unlock()
				return
			}
			log.Printf("run %s of %s", id, class)
			running++
			time.AfterFunc(work, func() {
				mu.Lock()
				defer mu.Unlock()
				running--
				notice++
				result := "done " + id
				write("finished %d %s PASS %d %d\r\n%s\r\n", notice, id, work.Milliseconds(), len(result), result)
			})
		} else if k, _ := fmt.Sscanf(line, "bind %d", &n); k == 1 {
			notice = n
			write("bound LOADED 0\r\n")
		} else if k, _ := fmt.Sscanf(line, "poll %s", &tag); k == 1 {
			write("polled %s %.2f %d 0.1 1\r\n", tag, min(1, float64(running)/2), running)
		}
		mu.Unlock()
	}
}

func sendThrift(addr, class, once string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close() //nolint:errcheck // only read from here on
	fields := []thrift.Field{{Name: "class", Value: class}, {Name: "id", Value: fmt.Sprintf("%016x", rand.Uint64())},
		{Name: "at", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)}, {Name: "from", Value: "1"},
		{Name: "tenant", Value: "hill-estate"}, {Name: "kb", Value: "24"}, {Name: "rank", Value: "0.5"}}
	if once != "" {
		fields = append(fields, thrift.Field{Name: "once", Value: once})
	}
	if _, err := c.Write(thrift.AppendCall(nil, 1, fields, []byte("three baskets"))); err != nil {
		return err
	}
	return show(c, func(in []byte) ([]byte, int, error) { return thrift.Split(in) }, func(p []byte) bool {
		fmt.Printf("%q\n", p)
		return true
	})
}

func sendAJP(addr, class, once string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close() //nolint:errcheck // only read from here on
	body := []byte("three baskets")
	out := ajp.AppendForward(nil, ajp.Request{Method: "POST", URI: "/" + class, RemoteAddr: "127.0.0.1", Headers: []ajp.Header{
		{Name: "content-length", Value: strconv.Itoa(len(body))}, {Name: "X-Relay-Tenant", Value: "hill-estate"},
		{Name: "X-Relay-Once", Value: once}}})
	out, _ = ajp.AppendBody(out, body)
	if _, err := c.Write(out); err != nil {
		return err
	}
	return show(c, func(in []byte) ([]byte, int, error) { return ajp.Split(in, ajp.FromContainer) }, func(p []byte) bool {
		r, err := ajp.ParseResponse(p)
		if err != nil {
			fmt.Println(err)
			return true
		}
		switch r.Code {
		case ajp.CodeHeaders:
			fmt.Println(r.Status, r.Headers)
		case ajp.CodeChunk:
			fmt.Printf("%s\n", r.Chunk)
		}
		return r.Code == ajp.CodeEnd
	})
}

// show reads messages until last says that there are no more.
func show(c net.Conn, split func([]byte) ([]byte, int, error), last func([]byte) bool) error {
	var buf []byte
	for {
		p, n, err := split(buf)
		if err != nil {
			return err
		}
		if p != nil {
			buf = buf[n:]
			if last(p) {
				return nil
			}
			continue
		}
		more := make([]byte, 4096)
		k, err := c.Read(more)
		if err != nil {
			return err
		}
		buf = append(buf, more[:k]...)
	}
}
