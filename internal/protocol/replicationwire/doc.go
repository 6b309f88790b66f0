// Package replicationwire encodes and decodes what the servers of a replication group send each other, and the
// records that each keeps on its disk. Package peers reads and writes the messages, package replication the records.
//
// A message is a frame of a length, a checksum and a CBOR map (RFC 8949); a record is a CBOR map alone, as the
// write-ahead log has lengths and checksums of its own. Unknown fields are ignored. Another version, a frame or a
// list that is too long and a wrong checksum are errors.
//
// The package works on byte slices: it does no I/O, keeps no state, and never decides what a message means. Servers
// of different releases are in one group during an upgrade, and come back on disks that earlier releases have
// written, so the numbers of the fields never change.
package replicationwire
