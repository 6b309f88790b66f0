// Package adminhttp parses the operators' calls, HTTP/1.1 with one call on a connection, and writes the answers. It works
// over byte slices and carries nothing out.
package adminhttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// The bounds on a call, in bytes.
const (
	MaxHeadBytes = 4 << 10
	MaxBodyBytes = 4 << 10
)

// Request is one call whose head and body are whole.
type Request struct {
	Method, Path string
	Query        url.Values
}

// Error is a call that cannot be carried out, with the status of its answer.
type Error struct {
	Status int
	Text   string
	Allow  string // 405: the method that is allowed
}

func (e *Error) Error() string { return e.Text }

// Parse reads a call from the front of in. size is 0 while more is to come; an error is of type *Error and comes as soon
// as the bounds are passed or the head makes no sense, however much is missing.
func Parse(in []byte) (c Request, size int, err error) {
	end := headEnd(in)
	if end < 0 || end > MaxHeadBytes {
		if len(in) > MaxHeadBytes {
			return c, 0, &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Text: fmt.Sprintf("the head is over %d bytes", MaxHeadBytes)}
		}
		return c, 0, nil
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(in[:end])))
	switch {
	case err != nil:
		return c, 0, &Error{Status: http.StatusBadRequest, Text: "no HTTP request: " + err.Error()}
	case len(r.TransferEncoding) > 0:
		return c, 0, &Error{Status: http.StatusLengthRequired, Text: "Transfer-Encoding is not taken; calls need no body"}
	case r.ContentLength > MaxBodyBytes:
		return c, 0, &Error{Status: http.StatusRequestEntityTooLarge, Text: fmt.Sprintf("a body of %d bytes is over %d", r.ContentLength, MaxBodyBytes)}
	}
	size = end + int(max(r.ContentLength, 0))
	if len(in) < size && r.Header.Get("Expect") == "" { // whoever waits for leave to send a body needs none here
		return c, 0, nil
	}
	return Request{Method: r.Method, Path: r.URL.Path, Query: r.URL.Query()}, min(size, len(in)), nil
}

// headEnd is where the body begins; -1: not yet. Lines may end in LF alone, as net/http takes them too.
func headEnd(in []byte) int {
	for i := 0; ; {
		n := bytes.IndexByte(in[i:], '\n')
		if n < 0 {
			return -1
		}
		line := bytes.TrimSuffix(in[i:i+n], []byte("\r"))
		i += n + 1
		if len(line) == 0 && strings.TrimSpace(string(in[:i])) != "" {
			return i
		}
	}
}

// AppendResponse writes the answer with body as JSON; the connection ends with it.
func AppendResponse(out []byte, status int, allow string, body any) []byte {
	text, err := json.Marshal(body)
	if err != nil { // bodies are the program's own
		panic(fmt.Sprintf("admin: %v", err))
	}
	text = append(text, '\n')
	out = append(out, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\nContent-Type: application/json\r\nCache-Control: no-store\r\n"...)
	if allow != "" {
		out = append(out, "Allow: "+allow+"\r\n"...)
	}
	out = append(out, "Content-Length: "+strconv.Itoa(len(text))+"\r\nConnection: close\r\n\r\n"...)
	return append(out, text...)
}

// AppendError writes the answer to a call that cannot be carried out.
func AppendError(out []byte, e *Error) []byte {
	return AppendResponse(out, e.Status, e.Allow, struct {
		Error string `json:"error"`
	}{e.Text})
}

// WithoutBody is an answer without its body, as HEAD asks for it.
func WithoutBody(answer []byte) []byte {
	head, _, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	return append(head[:len(head):len(head)], "\r\n\r\n"...)
}
