package processtest

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"pewterline/internal/protocol/thrift"
)

// keyedClass is the class of the settings whose requests have an idempotency key.
const keyedClass = "lot-intake"

// lastRequestID numbers the requests of all connections: a server tells requests apart by their IDs, so that no two
// connections of a test process may give out the same one.
var lastRequestID atomic.Uint64

// Request is a request of a proxy.
type Request struct {
	Class     string
	Key       string // its idempotency key; "": none
	Body      string
	ArrivedAt time.Time // at the proxy
	Retry     bool      // it is not the first attempt
}

// NewKeyedRequest returns the first attempt of a request with an idempotency key, which is its body too. It arrives
// now.
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
