package upstream

import (
	"strconv"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// The precision of numbers in the fields of a call, in decimal places.
const (
	rankPrecision = 4
	costPrecision = 3
)

// callFields returns the fields of an attempt's call, in the order in which they are written. The platform's protocol
// defines their names. The field "from" carries this instance's own caller ID.
func (b *Backend) callFields(sent *attempt) []thrift.Field {
	request := sent.run.request
	fields := []thrift.Field{
		{Name: "class", Value: sent.run.class.Name},
		{Name: "id", Value: sent.id},
		{Name: "at", Value: strconv.FormatInt(b.wallClock.UnixMilli(request.ArrivedAt), 10)},
		{Name: "from", Value: strconv.FormatUint(uint64(b.config.CallerID), 10)},
		{Name: "kb", Value: strconv.FormatFloat(request.QueuedKB, 'f', -1, 64)},
		{Name: "rank", Value: strconv.FormatFloat(request.Rank, 'f', rankPrecision, 64)},
	}
	add := func(name, value string) { fields = append(fields, thrift.Field{Name: name, Value: value}) }
	if tenants := b.config.Settings.Tenants; request.Tenant < len(tenants) {
		add("tenant", tenants[request.Tenant].Name)
	}
	if sent.run.isRetry() {
		add("retry", "1")
	}
	if request.IdempotencyKey != "" {
		add("once", request.IdempotencyKey)
	}
	if request.CostHint > 0 {
		millis := float64(request.CostHint) / float64(microtime.Millisecond)
		add("cost", strconv.FormatFloat(millis, 'f', costPrecision, 64))
	}
	if request.SubjectKey != 0 {
		add("key", strconv.FormatUint(request.SubjectKey, 16))
	}
	return fields
}
