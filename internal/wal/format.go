package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strings"
)

// Version is the version of the files' format. Open returns an error for files of another version.
const Version = 1

// MaxRecordBytes is the largest size of a record's data.
const MaxRecordBytes = 1 << 20

// The name of a file is an index, in hexadecimal, and a suffix for its content.
const (
	lockName        = "LOCK"
	segmentSuffix   = ".log"  // records from that index on
	snapshotSuffix  = ".snap" // the state after the record of that index
	temporarySuffix = ".new"  // still being written
)

// A file header consists of the magic number, the format version, the file's index, flags that are 0, and a checksum of
// all these.
const (
	headerBytes          = 24
	versionOffset        = 6
	indexOffset          = 8
	checksumOffset       = 20
	snapshotPreludeBytes = 12 // length and checksum before the state of a snapshot
)

// A record consists of the length of its data, its index, the last durable index when it was written, a checksum of all
// these and of the data, and the data.
const (
	recordHeaderBytes    = 24
	recordIndexOffset    = 4
	recordSyncedOffset   = 12
	recordChecksumOffset = 20
)

var (
	magic      = [6]byte{'p', 'w', 'w', 'a', 'l', 0}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Record is one record.
type Record struct {
	Index uint64
	Data  []byte
}

func fileName(index uint64, suffix string) string { return fmt.Sprintf("%016x%s", index, suffix) }

// parseFileName is the inverse of fileName. The index of a temporary file is meaningless. The suffix is "" if the name
// is not that of a log's file.
func parseFileName(name string) (index uint64, suffix string) {
	for _, suffix := range []string{segmentSuffix, snapshotSuffix, temporarySuffix} {
		stem, found := strings.CutSuffix(name, suffix)
		if !found {
			continue
		}
		if _, err := fmt.Sscanf(stem, "%016x", &index); err == nil || suffix == temporarySuffix {
			return index, suffix
		}
	}
	return 0, ""
}

// encodeHeader returns the header of a file.
func encodeHeader(index uint64) []byte {
	header := append([]byte(nil), magic[:]...)
	header = binary.BigEndian.AppendUint16(header, Version)
	header = binary.BigEndian.AppendUint64(header, index)
	header = binary.BigEndian.AppendUint32(header, 0) // reserved for flags
	return binary.BigEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// checkHeader checks the header of a file. torn means that the header is incomplete or has a wrong checksum.
func checkHeader(name string, index uint64, content []byte) (torn bool, err error) {
	if len(content) < headerBytes {
		return true, nil
	}
	checksum := crc32.Checksum(content[:checksumOffset], castagnoli)
	if checksum != binary.BigEndian.Uint32(content[checksumOffset:]) {
		return true, nil
	}
	if [6]byte(content) != magic {
		return false, corruptErrorf(name, 0, "not a file of a write-ahead log")
	}
	if version := binary.BigEndian.Uint16(content[versionOffset:]); version != Version {
		return false, corruptErrorf(name, versionOffset, "format version is %d, expected %d", version, Version)
	}
	if binary.BigEndian.Uint64(content[indexOffset:]) != index {
		return false, corruptErrorf(name, indexOffset, "index in the header differs from that in the file name")
	}
	return false, nil
}

// appendRecord encodes a record. synced is the last durable index at this time. It lets a reader distinguish an earlier
// record that was durable and has become corrupt from one whose write was torn.
func appendRecord(out []byte, index, synced uint64, data []byte) []byte {
	start := len(out)
	out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
	out = binary.BigEndian.AppendUint64(out, index)
	out = binary.BigEndian.AppendUint64(out, synced)
	checksum := crc32.Update(crc32.Checksum(out[start:], castagnoli), castagnoli, data)
	out = binary.BigEndian.AppendUint32(out, checksum)
	return append(out, data...)
}

// decodeRecord decodes the record at the front of in. ok is false if there is no complete record with a correct
// checksum.
func decodeRecord(in []byte) (record Record, size int, ok bool) {
	if len(in) < recordHeaderBytes {
		return Record{}, 0, false
	}
	length := int(binary.BigEndian.Uint32(in))
	if length > MaxRecordBytes || len(in) < recordHeaderBytes+length {
		return Record{}, 0, false
	}
	size = recordHeaderBytes + length
	data := in[recordHeaderBytes:size]
	checksum := crc32.Update(crc32.Checksum(in[:recordChecksumOffset], castagnoli), castagnoli, data)
	if checksum != binary.BigEndian.Uint32(in[recordChecksumOffset:]) {
		return Record{}, 0, false
	}
	return Record{Index: binary.BigEndian.Uint64(in[recordIndexOffset:]), Data: data}, size, true
}

// findLaterRecord returns the offset, at from or later, of an intact record that was written when the record with the
// given index was already durable, or -1.
func findLaterRecord(content []byte, from int, index uint64) int {
	for offset := from; offset+recordHeaderBytes <= len(content); offset++ {
		found := binary.BigEndian.Uint64(content[offset+recordIndexOffset:])
		synced := binary.BigEndian.Uint64(content[offset+recordSyncedOffset:])
		if synced < index || found <= synced {
			continue
		}
		if _, _, ok := decodeRecord(content[offset:]); ok {
			return offset
		}
	}
	return -1
}

// encodeSnapshot returns the content of a snapshot file.
func encodeSnapshot(index uint64, state []byte) []byte {
	out := binary.BigEndian.AppendUint64(encodeHeader(index), uint64(len(state)))
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(state, castagnoli))
	return append(out, state...)
}

// decodeSnapshot returns the state that a snapshot file holds.
func decodeSnapshot(name string, index uint64, content []byte) ([]byte, error) {
	torn, err := checkHeader(name, index, content)
	if err != nil {
		return nil, err
	}
	if torn {
		return nil, corruptErrorf(name, 0, "header is incomplete or has a wrong checksum")
	}
	body := content[headerBytes:]
	if len(body) < snapshotPreludeBytes {
		return nil, corruptErrorf(name, headerBytes, "length of the state is wrong")
	}
	state := body[snapshotPreludeBytes:]
	if uint64(len(state)) != binary.BigEndian.Uint64(body) {
		return nil, corruptErrorf(name, headerBytes, "length of the state is wrong")
	}
	if crc32.Checksum(state, castagnoli) != binary.BigEndian.Uint32(body[8:]) {
		return nil, corruptErrorf(name, headerBytes, "checksum of the state is wrong")
	}
	return state, nil
}
