// Package upgrade encodes and decodes what an old process and its successor tell each other during a hot restart: a
// preamble with the version, then frames of a length and a CBOR map (RFC 8949). Package server is at the old
// process's end and later at both, the program itself at the successor's before its event loop runs.
//
// The package works on byte slices: it does no I/O, keeps no state, and never decides what a message means. The two
// processes may be of different releases: unknown fields are ignored, and the numbers and names of the fields never
// change.
package upgrade
