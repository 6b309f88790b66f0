// Package loadreport writes the reports to the control plane.
package loadreport

// Append writes one report: a datagram of three words.
func Append(out []byte, name string, ready bool) []byte {
	out = append(append(out, "lease "...), name...)
	if ready {
		return append(out, " Ready"...)
	}
	return append(out, " NotReady"...)
}
