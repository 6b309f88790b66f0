// Package adminhttp parses the HTTP/1.1 requests of operators, one per connection, and encodes the responses. Package
// admin calls it with the bytes that a connection has received so far. It works on byte slices, opens no connections
// and executes no requests.
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

// The limits of a request, in bytes.
const (
	MaxHeadBytes = 4 << 10
	MaxBodyBytes = 4 << 10
)

// Request is one complete request. Its body is skipped, because no admin request needs one.
type Request struct {
	Method string
	Path   string
	Query  url.Values
}

// Error is the error of a request, with the HTTP status of its response.
type Error struct {
	Status int
	Text   string
	Allow  string // for StatusMethodNotAllowed: the allowed method
}

// Error returns the text, which the response contains.
func (e *Error) Error() string { return e.Text }

// Parse parses the request at the start of in. The size is 0 while the request is incomplete. An error is of type
// *Error; it is returned as soon as a limit is exceeded or the head is malformed, even if the request is incomplete.
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
	// A client that waits for "100 Continue" before it sends the body gets the final response at once instead.
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

// headSize returns the length of the head, including the blank line that ends it. Lines may end in LF alone, as in
// net/http.
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

// AppendResponse appends a response with a JSON body, after which the connection closes. allow is the allowed method if
// the status is StatusMethodNotAllowed, and empty otherwise.
func AppendResponse(out []byte, status int, allow string, body any) []byte {
	text, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("adminhttp: %v", err)) // every type of body can be encoded as JSON
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

// AppendError appends the response to a failed request.
func AppendError(out []byte, e *Error) []byte {
	return AppendResponse(out, e.Status, e.Allow, struct {
		Error string `json:"error"`
	}{e.Text})
}

// WithoutBody returns a response without its body, for a HEAD request.
func WithoutBody(response []byte) []byte {
	head, _, _ := bytes.Cut(response, []byte("\r\n\r\n"))
	return append(head[:len(head):len(head)], "\r\n\r\n"...)
}
