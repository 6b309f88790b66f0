package ajp

import "strings"

// The protocol's tables. A method or a header name that is listed here is encoded as its index. Index 0 is not used.
var (
	methods = [...]string{1: "OPTIONS", 2: "GET", 3: "HEAD", 4: "POST", 5: "PUT", 6: "DELETE", 7: "TRACE",
		8: "PROPFIND", 9: "PROPPATCH", 10: "MKCOL", 11: "COPY", 12: "MOVE", 13: "LOCK", 14: "UNLOCK", 15: "ACL",
		16: "REPORT", 17: "VERSION-CONTROL", 18: "CHECKIN", 19: "CHECKOUT", 20: "UNCHECKOUT", 21: "SEARCH",
		22: "MKWORKSPACE", 23: "UPDATE", 24: "LABEL", 25: "MERGE", 26: "BASELINE-CONTROL", 27: "MKACTIVITY"}

	requestHeaders = [...]string{1: "accept", 2: "accept-charset", 3: "accept-encoding", 4: "accept-language",
		5: "authorization", 6: "connection", 7: "content-type", 8: "content-length", 9: "cookie", 10: "cookie2",
		11: "host", 12: "pragma", 13: "referer", 14: "user-agent"}

	responseHeaders = [...]string{1: "Content-Type", 2: "Content-Language", 3: "Content-Length", 4: "Date",
		5: "Last-Modified", 6: "Location", 7: "Set-Cookie", 8: "Set-Cookie2", 9: "Servlet-Engine", 10: "Status",
		11: "WWW-Authenticate"}
)

const (
	// methodStored is the code of a method that is not in the table; its name is the attribute attributeStoredMethod.
	methodStored = 0xff
	// The first two bytes of a header's name are headerCodePrefix with a table index in the low byte, or else the
	// length of a string.
	headerCodePrefix = 0xa000
	headerCodeMask   = 0xff00
	// nullStringLength in place of a length marks an absent string.
	nullStringLength = 0xffff
)

// The attributes of a forwarded request that this package uses or whose format differs. All others up to attributeMax
// consist of one string.
const (
	attributeQuery        = 0x05
	attributeNamed        = 0x0a
	attributeKeySize      = 0x0b
	attributeSecret       = 0x0c
	attributeStoredMethod = 0x0d
	attributeMax          = attributeStoredMethod
	attributesEnd         = 0xff
)

// methodCode returns the code of a method that is in the table.
func methodCode(method string) (code byte, known bool) {
	for i, name := range methods {
		if i > 0 && name == method {
			return byte(i), true
		}
	}
	return 0, false
}

// headerCode returns the code of a header's name that is in the table.
func headerCode(table []string, name string) (code uint16, known bool) {
	for i, entry := range table {
		if i > 0 && strings.EqualFold(entry, name) {
			return headerCodePrefix | uint16(i), true
		}
	}
	return 0, false
}
