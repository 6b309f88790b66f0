package simadapter

import "pewterline/control"

// Reply collects the actions of the instances in response to one batch. The zero value is an empty reply.
type Reply struct {
	records []byte
	tail    []byte
	count   uint32
}

// Append appends one action of an instance.
func (p *Reply) Append(instance uint32, action control.Action) {
	switch action := action.(type) {
	case control.Start:
		p.addForRequest(actionStart, instance, action.ID)
	case control.Reject:
		r := p.addForRequest(actionReject, instance, action.ID)
		r.putBool(10, action.NoRetry)
		r.putDuration(11, action.RetryAfter)
	case control.Fail:
		p.addForRequest(actionFail, instance, action.ID)
	case control.Preempt:
		p.addForRequest(actionPreempt, instance, action.ID)
	case control.Call:
		p.addForRequest(actionCall, instance, action.ID).putDuration(10, action.Timeout)
	case control.SkipCall:
		p.addForRequest(actionSkipCall, instance, action.ID)
	case control.RetainKey:
		p.addForRequest(actionRetainKey, instance, action.ID).putDuration(10, action.TTL)
	case control.ReleaseKey:
		p.addForRequest(actionReleaseKey, instance, action.ID)
	case control.ReplayResult:
		p.addForRequest(actionReplayResult, instance, action.ID)
	default:
		p.appendForInstance(instance, action)
	}
}

// appendForInstance appends an action that concerns the instance and no request.
func (p *Reply) appendForInstance(instance uint32, action control.Action) {
	switch action := action.(type) {
	case control.SetHealth:
		r := p.add(actionSetHealth, instance)
		r.putBool(6, action.Healthy)
		r.putBool(7, action.Cached)
	case control.SetLoadSignal:
		p.add(actionSetLoadSignal, instance).putFloat32(6, action.Value)
	case control.CloseIdleConnections:
		p.add(actionCloseIdleConnections, instance).putDuration(6, action.IdleTimeout)
	case control.ScheduleTick:
		r := p.add(actionScheduleTick, instance)
		r.putDuration(6, action.After)
		r.putUint64(14, action.Token)
	case control.Log:
		p.addText(actionLog, instance, action.Text)
	}
}

// ReportFailure reports that an instance could not start or has panicked, which ends the simulation.
func (p *Reply) ReportFailure(instance uint32, text string) {
	p.addText(actionReportFailure, instance, text)
}

// Encode returns the encoded reply to the batch with the given number.
func (p *Reply) Encode(number uint32) []byte {
	size := replyHeaderSize + len(p.records) + len(p.tail)
	header := make(record, replyHeaderSize, size)
	header.putUint32(0, number)
	header.putUint32(4, p.count)
	header.putUint32(8, uint32(size))
	return append(append(header, p.records...), p.tail...)
}

// add appends a record with the fields that all records have.
func (p *Reply) add(code actionCode, instance uint32) record {
	start := len(p.records)
	p.records = append(p.records, make([]byte, actionRecordSize)...)
	p.count++
	r := record(p.records[start:])
	r.putUint16(atCode, uint16(code))
	r.putUint32(atInstance, instance)
	return r
}

func (p *Reply) addForRequest(code actionCode, instance uint32, id control.RequestID) record {
	r := p.add(code, instance)
	r.putUint32(atRequest, uint32(id))
	return r
}

// addText appends a record whose only field is a text, which is stored in the tail.
func (p *Reply) addText(code actionCode, instance uint32, text string) {
	r := p.add(code, instance)
	r.putUint32(6, uint32(len(p.tail)))
	r.putUint32(10, uint32(len(text)))
	p.tail = append(p.tail, text...)
}
