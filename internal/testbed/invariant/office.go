package invariant

import (
	"pewterline/internal/protocol/ajp"
)

func (o *Observer) packetUp(c *conn, payload []byte) {
	if c.hand == nil && c.head.URI == "" {
		if len(payload) == 0 || ajp.Code(payload[0]) != ajp.CodeForwardRequest {
			return
		}
		head, err := ajp.ParseForwardRequest(payload)
		if err != nil {
			c.broken = true
			return
		}
		if c.head = head; head.ContentLength > 0 {
			c.body = nil
			return
		}
	} else if c.hand == nil {
		chunk, err := ajp.ParseBodyChunk(payload)
		if err != nil {
			c.broken = true
			return
		}
		if c.body = append(c.body, chunk...); int64(len(c.body)) < c.head.ContentLength {
			return
		}
	}
	head := c.head
	c.hand = o.request(c, func(name string) string { return head.Header("X-Relay-" + name) }, c.body)
}

func (o *Observer) packetDown(c *conn, payload []byte) {
	p, err := ajp.ParseResponse(payload)
	if err != nil {
		c.broken = true
		o.report("lost", c.s, nil, "an answer that cannot be read: %v", err)
		return
	}
	switch p.Code {
	case ajp.CodeSendHeaders:
		c.status, c.result = p.Status, nil
	case ajp.CodeSendBodyChunk:
		c.result = append(c.result, p.BodyChunk...)
	case ajp.CodeEndResponse:
		r := c.hand
		c.hand, c.head = nil, ajp.Request{}
		if r != nil {
			o.answered(r, map[int]string{200: "served", 503: "refused"}[c.status]+map[bool]string{true: "failed"}[c.status != 200 && c.status != 503], c.result)
		}
	}
}
