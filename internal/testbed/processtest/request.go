package processtest

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"pewterline/internal/protocol/thrift"
)

// keyedClass is the class whose requests carry an idempotency key.
const keyedClass = "lot-intake"

// lastRequestID is the number of the latest request on any connection. A server identifies requests by their IDs, so
// they must be unique across all connections of a test process.
var lastRequestID atomic.Uint64

// Request is a request of a proxy.
type Request struct {
	Class     string
	Key       string // the idempotency key; "": none
	Body      string
	ArrivedAt time.Time // at the proxy
	Retry     bool      // whether this is not the first attempt
}

// NewKeyedRequest returns the first attempt of a request that arrives now. The key is both its idempotency key and its
// body.
func NewKeyedRequest(key string) Request {
	return Request{Class: keyedClass, Key: key, Body: key, ArrivedAt: time.Now()}
}

// nextRequestID returns an ID that no other request of this process has.
func nextRequestID() string { return fmt.Sprintf("%016x", lastRequestID.Add(1)) }

// fields returns the request's fields as a proxy sends them.
func (r Request) fields(id string) []thrift.Field {
	fields := []thrift.Field{
		{Name: "class", Value: r.Class},
		{Name: "id", Value: id},
		{Name: "at", Value: strconv.FormatInt(r.ArrivedAt.UnixMilli(), 10)},
		{Name: "from", Value: "1"},
		{Name: "tenant", Value: "lake-vines"},
		{Name: "kb", Value: "9"},
		{Name: "rank", Value: "0.9"},
	}
	if r.Key != "" {
		fields = append(fields, thrift.Field{Name: "once", Value: r.Key})
	}
	if r.Retry {
		fields = append(fields, thrift.Field{Name: "retry", Value: "1"})
	}
	return fields
}
