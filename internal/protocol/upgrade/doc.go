// Package upgrade is the codec of the messages between an old process and its successor during a hot restart: a
// preamble with the version, then frames that consist of a length and a CBOR map (RFC 8949). Package server uses it on
// both sides, and command pewterline uses it on the successor's side before the event loop runs. The package works on
// byte slices, does no I/O, keeps no state, and does not interpret messages. The two processes may be of different
// releases, so unknown fields are ignored, and the numbers and names of the fields must never change.
package upgrade
