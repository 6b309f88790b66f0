// Package loadreport encodes the reports by which an instance renews its lease at the control plane and states whether
// it is ready for traffic. Package server sends them as datagrams; the package itself does no I/O.
package loadreport

// The words of a report, fixed by the control plane.
const (
	verb          = "lease "
	readyState    = " Ready"
	notReadyState = " NotReady"
)

// Append appends a report to out: a datagram of three words, separated by spaces. name is the instance's name, which
// must be a single word.
func Append(out []byte, name string, ready bool) []byte {
	out = append(out, verb...)
	out = append(out, name...)
	if ready {
		return append(out, readyState...)
	}
	return append(out, notReadyState...)
}
