package simadapter

// settingsText is the settings of a server that makes downstream calls to another tier.
const settingsText = `{"classes": [{"name": "a", "aim_ms": 1000, "hard_limit_ms": 4000, "worth": 1, "effect": "free"},
 {"name": "b", "aim_ms": 1500.5, "hard_limit_ms": 4000, "worth": 3, "effect": "guarded", "window_ms": 9000}],
 "limits": {"retry_after": true, "max_retry_after_ms": 700}, "layer": 1, "some_new_key": [1, 2],
 "extra": {"cores": 4, "memory_kb": 1000, "key_kb": 2, "run_factor": 8, "stop_mode": "freeze", "say": "floor",
 "downstream": "tier", "class_calls": [false, true], "gauges": ["mem_used", "cpu_busy"]},
 "rules": {"ramp_time_ms": 5000}}`

// frameBuilder builds the frame of a batch.
type frameBuilder struct{ records, tail []byte }

// add adds an event record with the fields that all event records have.
func (b *frameBuilder) add(code eventCode, instance uint32) record {
	b.records = append(b.records, make([]byte, eventRecordSize)...)
	r := record(b.records[len(b.records)-eventRecordSize:])
	r.putUint16(atCode, uint16(code))
	r.putUint32(atInstance, instance)
	return r
}

// addForRequest adds an event record for a request.
func (b *frameBuilder) addForRequest(code eventCode, instance, id uint32) record {
	r := b.add(code, instance)
	r.putUint32(atRequest, id)
	return r
}

// addStart adds the event record that starts an instance, with the settings text in the tail.
func (b *frameBuilder) addStart(instance uint32, text string) {
	r := b.add(eventInstanceStarted, instance)
	r.putUint64(6, 9)
	r.putUint32(14, uint32(len(b.tail)))
	r.putUint32(18, uint32(len(text)))
	b.tail = append(b.tail, text...)
}

// frame returns the complete frame.
func (b *frameBuilder) frame(number uint32, clock float64) []byte {
	header := make(record, batchHeaderSize)
	header.putUint32(0, number)
	header.putUint32(4, uint32(batchHeaderSize+len(b.records)+len(b.tail)))
	header.putFloat64(8, clock)
	header.putUint32(16, uint32(len(b.records)/eventRecordSize))
	return append(append(header, b.records...), b.tail...)
}

// replyRecord is one action record of a reply.
type replyRecord struct {
	code     actionCode
	instance uint32
	fields   record
}

// replyRecords splits a reply into its records.
func replyRecords(reply []byte) (records []replyRecord) {
	count := int(record(reply).uint32(4))
	for i := range count {
		fields := record(reply[replyHeaderSize+i*actionRecordSize:][:actionRecordSize])
		records = append(records, replyRecord{actionCode(fields.uint16(atCode)), fields.uint32(atInstance), fields})
	}
	return records
}

// hasAction reports whether a reply has an action of the given kind for a request.
func hasAction(reply []byte, code actionCode, id uint32) bool {
	for _, action := range replyRecords(reply) {
		if action.code == code && action.fields.uint32(atRequest) == id {
			return true
		}
	}
	return false
}
