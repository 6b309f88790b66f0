package ajpfrontend

import (
	"strconv"

	"pewterline/internal/dispatch"
	"pewterline/internal/frontend"
	"pewterline/internal/protocol/ajp"
)

// The headers of responses, as the platform's protocol names them.
const (
	headerAdmissionLevel = frontend.HeaderPrefix + "Say"
	headerRetryAfterMS   = frontend.HeaderPrefix + "After-Ms"
	headerNoRetry        = frontend.HeaderPrefix + "Last"
)

// The statuses of responses. Some of their texts differ from those of net/http; they are part of the wire format.
const (
	statusOK                 = 200
	statusBadRequest         = 400
	statusForbidden          = 403
	statusMethodNotAllowed   = 405
	statusRequestTimeout     = 408
	statusPayloadTooLarge    = 413
	statusBadGateway         = 502
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
)

func statusText(status int) string {
	switch status {
	case statusOK:
		return "OK"
	case statusBadRequest:
		return "Bad Request"
	case statusForbidden:
		return "Forbidden"
	case statusMethodNotAllowed:
		return "Method Not Allowed"
	case statusRequestTimeout:
		return "Request Timeout"
	case statusPayloadTooLarge:
		return "Payload Too Large"
	case statusBadGateway:
		return "Bad Gateway"
	case statusServiceUnavailable:
		return "Service Unavailable"
	case statusGatewayTimeout:
		return "Gateway Timeout"
	default:
		return ""
	}
}

// response is one HTTP response.
type response struct {
	status    int
	headers   []ajp.Header
	body      []byte
	keepAlive bool // whether the connection stays open
}

// textBody returns a line of text as a body.
func textBody(text string) []byte { return []byte(text + "\n") }

// Respond implements dispatch.Responder.
func (s *session) Respond(coreResponse dispatch.Response) {
	if s.closed || s.phase != awaitResponse {
		return
	}
	s.phase = awaitRequest
	s.respond(toHTTPResponse(coreResponse))
	s.conn.Resume() // handle packets received after the request
}

// toHTTPResponse converts a response of the core.
func toHTTPResponse(coreResponse dispatch.Response) response {
	switch coreResponse.Status {
	case dispatch.StatusSucceeded:
		headers := []ajp.Header{{Name: "Content-Type", Value: "application/octet-stream"}}
		return response{status: statusOK, headers: headers, body: coreResponse.Result, keepAlive: true}
	case dispatch.StatusRejected:
		body := textBody("turned away; it never ran")
		return response{status: statusServiceUnavailable, headers: adviceHeaders(coreResponse), body: body, keepAlive: true}
	case dispatch.StatusExpired:
		return response{status: statusGatewayTimeout, body: textBody(coreResponse.Reason), keepAlive: true}
	default:
		return response{status: statusBadGateway, body: textBody(coreResponse.Reason), keepAlive: true}
	}
}

// adviceHeaders returns the headers that state when to retry, and whether another server may be tried. Retry-After is
// always at least a second, so that a client that knows only HTTP does not retry at once.
func adviceHeaders(coreResponse dispatch.Response) []ajp.Header {
	milliseconds := max(frontend.CeilMilliseconds(coreResponse.RetryAfter), 1)
	seconds := (milliseconds + 999) / 1000
	headers := []ajp.Header{
		{Name: "Retry-After", Value: strconv.FormatInt(seconds, 10)},
		{Name: headerRetryAfterMS, Value: strconv.FormatInt(milliseconds, 10)},
	}
	if coreResponse.NoRetry {
		headers = append(headers, ajp.Header{Name: headerNoRetry, Value: "1"})
	}
	return headers
}

// respondHealth answers a health check.
func (s *session) respondHealth() {
	switch {
	case s.request.ContentLength > 0 || s.request.IsChunked():
		s.reject(statusBadRequest, "a health check has no body")
	case s.frontend.server.Healthy():
		s.respond(response{status: statusOK, body: textBody("good"), keepAlive: true})
	default:
		s.respond(response{status: statusServiceUnavailable, body: textBody("not good"), keepAlive: true})
	}
}

// reject responds to a request that is not submitted to the core, and closes the connection, because a body may be in
// flight.
func (s *session) reject(status int, reason string) {
	s.frontend.server.Logf("ajp: request rejected, the connection closes: peer=%s status=%d reason=%s",
		s.conn.Remote(), status, reason)
	s.body = nil
	s.respond(response{status: status, body: textBody(reason)})
}

// respond writes a response. If the connection is not kept alive, the session waits for the peer to close it: closing a
// socket with unread input would reset the connection and lose the response.
func (s *session) respond(r response) {
	server := s.frontend.server
	headers := r.headers
	if text, known := frontend.AdmissionLevelText(server); known {
		headers = append(headers, ajp.Header{Name: headerAdmissionLevel, Value: text})
	}
	headers = append(headers, ajp.Header{Name: "Content-Length", Value: strconv.Itoa(len(r.body))})
	keepAlive := r.keepAlive && !server.Draining()
	out := ajp.AppendSendHeaders(s.scratch[:0], r.status, statusText(r.status), headers)
	out = ajp.AppendResponseBody(out, r.body)
	s.write(ajp.AppendEndResponse(out, keepAlive))
	if keepAlive {
		s.phase = awaitRequest
		s.deadline = server.Now() + idleTimeout
		return
	}
	s.phase = awaitClose
	s.deadline = server.Now() + frontend.LingerTimeout
}
