package ajpfrontend

import (
	"crypto/subtle"
	"fmt"
	"strconv"
	"strings"

	"pewterline/internal/dispatch"
	"pewterline/internal/frontend"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/ajp"
)

const (
	// healthPath is the path of health checks.
	healthPath = "/health"
	// defaultQueuedKB is the expected memory of a request that does not state it. On the platform a queued request
	// takes 13 to 63 kB.
	defaultQueuedKB = 32
)

// receiveRequest handles the head of a request.
func (s *session) receiveRequest(payload []byte) {
	s.arrivedAt = s.frontend.server.Now()
	s.body = nil
	var err error
	s.request, err = ajp.ParseForwardRequest(payload)
	if err != nil {
		// Whether a body follows is unknown, so the connection must be closed.
		s.reject(statusBadRequest, err.Error())
		return
	}
	maxBody := s.frontend.config.MaxBody
	switch {
	case !s.secretMatches():
		s.reject(statusForbidden, "the secret is not ours")
	case s.request.URI == healthPath:
		s.conn.MarkIdentified()
		s.respondHealth()
	case !isSupportedMethod(s.request.Method):
		s.reject(statusMethodNotAllowed, s.request.Method+" is not offered")
	case s.request.ContentLength > int64(maxBody):
		s.reject(statusPayloadTooLarge, fmt.Sprintf("a body of %d bytes is over %d", s.request.ContentLength, maxBody))
	case s.request.ContentLength > 0:
		s.awaitBody() // web servers send the first packet of the body unrequested
	case s.request.IsChunked():
		s.awaitBody()
		s.write(ajp.AppendGetBodyChunk(s.scratch[:0], maxBody+1))
	default:
		s.submit()
	}
}

func (s *session) secretMatches() bool {
	secret := s.frontend.config.Secret
	return secret == "" || subtle.ConstantTimeCompare([]byte(s.request.Secret), []byte(secret)) == 1
}

func isSupportedMethod(method string) bool {
	return method == "POST" || method == "PUT" || method == "GET"
}

// awaitBody marks the connection as identified and starts waiting for the body. If the body is not complete within
// BodyTimeout, the request is rejected and the connection closed.
func (s *session) awaitBody() {
	s.conn.MarkIdentified()
	s.phase = awaitBody
	s.deadline = s.arrivedAt + s.frontend.config.BodyTimeout
}

// receiveBody handles a chunk of the body. It then requests the next chunk or, after the last one, submits the request.
// An error closes the connection.
func (s *session) receiveBody(payload []byte) error {
	chunk, err := ajp.ParseBodyChunk(payload)
	if err != nil {
		return err
	}
	s.body = append(s.body, chunk...)
	received, announced := int64(len(s.body)), s.request.ContentLength
	maxBody := int64(s.frontend.config.MaxBody)
	lengthKnown, ended := announced >= 0, len(chunk) == 0
	switch {
	case received > maxBody:
		s.reject(statusPayloadTooLarge, fmt.Sprintf("the body is over %d bytes", maxBody))
	case lengthKnown && (received > announced || ended && received < announced):
		s.reject(statusBadRequest, fmt.Sprintf("a body of %d bytes was told to have %d", received, announced))
	case !lengthKnown && !ended:
		s.write(ajp.AppendGetBodyChunk(s.scratch[:0], int(maxBody-received)+1))
	case received < announced:
		s.write(ajp.AppendGetBodyChunk(s.scratch[:0], int(announced-received)))
	default:
		s.submit()
	}
	return nil
}

// submit submits the request to the core.
func (s *session) submit() {
	request, err := s.readRequest()
	if err == nil {
		s.phase = awaitResponse
		if s.requestID, err = s.frontend.server.Submit(request); err == nil {
			s.conn.MarkIdentified()
			s.body = nil // the core owns it now
			return
		}
		s.phase = awaitRequest
	}
	s.frontend.server.Logf("ajp: request rejected: peer=%s status=%d error=%v", s.conn.Remote(), statusBadRequest, err)
	s.respond(response{status: statusBadRequest, body: textBody(err.Error()), keepAlive: true})
}

// readRequest reads the fields of a request from its headers, with defaults for absent fields.
func (s *session) readRequest() (dispatch.Request, error) {
	server := s.frontend.server
	now := server.Now()
	request, err := frontend.ReadRequest(server, func(field string) string {
		if value := strings.TrimSpace(s.fieldHeader(field)); value != "" {
			return value
		}
		return s.defaultField(field)
	})
	if err != nil {
		return request, err
	}
	if s.fieldHeader(frontend.FieldSentAt) == "" {
		request.ArrivedAt = s.arrivedAt
	}
	// If a request appears to be past its deadline on arrival, the web server's clock is wrong. The arrival time is
	// limited here, because the core would reject the request otherwise.
	classes := server.Classes()
	request.ArrivedAt = max(request.ArrivedAt, now-microtime.FromDuration(classes[request.Class].Deadline))
	if s.fieldHeader(frontend.FieldRank) == "" {
		request.Rank = middleRank(classes, request.Class)
	}
	request.Body = s.body
	request.Responder = s
	return request, nil
}

// fieldHeader returns the value of the header that carries a field, or "" if there is none.
func (s *session) fieldHeader(field string) string {
	return s.request.Header(frontend.HeaderPrefix + field)
}

// defaultField returns the default of an absent field. The default class is the last segment of the path. The defaults
// of FieldSentAt and FieldRank are placeholders, which readRequest replaces.
func (s *session) defaultField(field string) string {
	switch field {
	case frontend.FieldClass:
		return s.request.URI[strings.LastIndexByte(s.request.URI, '/')+1:]
	case frontend.FieldAttemptID:
		return fmt.Sprintf("%016x", s.frontend.server.Rand())
	case frontend.FieldSentAt, frontend.FieldCallerID, frontend.FieldRank:
		return "0"
	case frontend.FieldQueuedKB:
		return strconv.Itoa(defaultQueuedKB)
	default:
		return ""
	}
}
