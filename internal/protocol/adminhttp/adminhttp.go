// Package adminhttp reads the HTTP/1.1 requests of operators, one on a connection, and writes the responses.
//
// Package admin calls it with the bytes that a connection has received so far. It works over byte slices, opens no
// connections and carries out nothing.
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

// The bounds of a request, in bytes.
const (
	MaxHeadBytes = 4 << 10
	MaxBodyBytes = 4 << 10
)

// Request is one whole request. Its body, which no operator's request needs, is skipped.
type Request struct {
	Method string
	Path   string
	Query  url.Values
}

// Error is a request that cannot be carried out, with the status of its response.
type Error struct {
	Status int
	Text   string
	Allow  string // for StatusMethodNotAllowed: the method that is allowed
}

// Error returns the text that the response carries.
func (e *Error) Error() string { return e.Text }

// Parse reads a request from the front of in. The size is 0 while more bytes are needed. An error is of type *Error; it
// comes as soon as a bound is exceeded or the head is malformed, however many bytes are missing.
func Parse(in []byte) (request Request, size int, err error) {
	headLength, complete := headSize(in)
	if !complete || headLength > MaxHeadBytes {
		if len(in) > MaxHeadBytes {
			text := fmt.Sprintf("the head is over %d bytes", MaxHeadBytes)
			return request, 0, &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Text: text}
		}
		return request, 0, nil
	}
	head, err := parseHead(in[:headLength])
	if err != nil {
		return request, 0, err
	}
	size = headLength + int(max(head.ContentLength, 0))
	// A client that expects a "continue" before it sends its body gets its response at once instead.
	if len(in) < size && head.Header.Get("Expect") == "" {
		return request, 0, nil
	}
	request = Request{Method: head.Method, Path: head.URL.Path, Query: head.URL.Query()}
	return request, min(size, len(in)), nil
}

// parseHead parses a complete head. An error is of type *Error.
func parseHead(head []byte) (*http.Request, error) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	switch {
	case err != nil:
		return nil, &Error{Status: http.StatusBadRequest, Text: "no HTTP request: " + err.Error()}
	case len(request.TransferEncoding) > 0:
		text := "Transfer-Encoding is not taken; calls need no body"
		return nil, &Error{Status: http.StatusLengthRequired, Text: text}
	case request.ContentLength > MaxBodyBytes:
		text := fmt.Sprintf("a body of %d bytes is over %d", request.ContentLength, MaxBodyBytes)
		return nil, &Error{Status: http.StatusRequestEntityTooLarge, Text: text}
	}
	return request, nil
}

// headSize is the length of the head with the blank line that ends it. Lines may end in LF alone, as net/http accepts
// them too.
func headSize(in []byte) (size int, complete bool) {
	for {
		lineLength := bytes.IndexByte(in[size:], '\n')
		if lineLength < 0 {
			return 0, false
		}
		line := bytes.TrimSuffix(in[size:size+lineLength], []byte("\r"))
		size += lineLength + 1
		if len(line) == 0 && strings.TrimSpace(string(in[:size])) != "" {
			return size, true
		}
	}
}

// AppendResponse appends a response whose body is JSON; the connection ends with it. The method that is allowed is
// empty unless the status is StatusMethodNotAllowed.
func AppendResponse(out []byte, status int, allow string, body any) []byte {
	text, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("adminhttp: %v", err)) // the types of bodies are the program's own
	}
	text = append(text, '\n')
	out = append(out, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"...)
	out = append(out, "Content-Type: application/json\r\nCache-Control: no-store\r\n"...)
	if allow != "" {
		out = append(out, "Allow: "+allow+"\r\n"...)
	}
	out = append(out, "Content-Length: "+strconv.Itoa(len(text))+"\r\nConnection: close\r\n\r\n"...)
	return append(out, text...)
}

// AppendError appends the response to a request that cannot be carried out.
func AppendError(out []byte, e *Error) []byte {
	return AppendResponse(out, e.Status, e.Allow, struct {
		Error string `json:"error"`
	}{e.Text})
}

// WithoutBody is a response without its body, as a HEAD request asks for it.
func WithoutBody(response []byte) []byte {
	head, _, _ := bytes.Cut(response, []byte("\r\n\r\n"))
	return append(head[:len(head):len(head)], "\r\n\r\n"...)
}
