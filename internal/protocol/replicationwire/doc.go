// Package replicationwire encodes and decodes the messages between the servers of a replication group, and the records
// in each server's write-ahead log. Package peers uses the messages, package replication the records.
//
// A message is a frame of a length, a checksum and a CBOR map (RFC 8949). A record is only a CBOR map, because the
// write-ahead log adds lengths and checksums. Unknown fields are ignored. An unsupported version, a frame or list that
// is too long, and a wrong checksum are errors. The package works on byte slices, does no I/O, keeps no state, and does
// not interpret messages.
//
// During an upgrade a group has servers of different releases, and a server reads logs that earlier releases have
// written, so the numbers of the fields must never change.
package replicationwire
