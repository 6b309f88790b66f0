package wal

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/testbed/golden"
)

// appendSynced appends records and makes them durable with one sync.
func appendSynced(t *testing.T, l *Log, records ...string) {
	t.Helper()
	for _, data := range records {
		_, err := l.Append([]byte(data))
		require.NoError(t, err)
	}
	require.NoError(t, l.Sync())
}

// The content of the log in testdata/v1: a snapshot of three records, a full segment and the active segment.
var (
	recordedOptions  = Options{SegmentBytes: 160}
	recordedSnapshot = "state of 3 records"
	recordedRecords  = []Record{
		{Index: 4, Data: []byte("fourth")},
		{Index: 5, Data: []byte("\x00\xff bytes")},
		{Index: 6, Data: append([]byte("a record that ends its segment: "), make([]byte, 60)...)},
		{Index: 7, Data: []byte("seventh")},
		{Index: 8, Data: []byte("eighth")},
		{Index: 9, Data: []byte("ninth")},
	}
)

// Guards the on-disk format: the same calls write the same files as the release that wrote testdata/v1.
func TestFilesAreWrittenAsRecorded(t *testing.T) {
	dir := t.TempDir()
	l, _, err := Open(Dir(dir), recordedOptions)
	require.NoError(t, err)
	appendSynced(t, l, "first")
	appendSynced(t, l, "second", "")
	require.NoError(t, l.Snapshot([]byte(recordedSnapshot)))
	appendSynced(t, l, string(recordedRecords[0].Data), string(recordedRecords[1].Data))
	appendSynced(t, l, string(recordedRecords[2].Data))
	appendSynced(t, l, string(recordedRecords[3].Data))
	appendSynced(t, l, string(recordedRecords[4].Data), string(recordedRecords[5].Data))
	require.NoError(t, l.Close())
	require.Equal(t, golden.Files(t, "testdata/v1"), golden.Files(t, dir))
}

// Guards upgrades of the program: a log that an earlier release wrote is read completely, and appending to it writes
// the same files as that release would.
func TestRecordedFilesAreRead(t *testing.T) {
	dir := golden.Folder(t, "testdata/v1")
	l, recovery, err := Open(Dir(dir), recordedOptions)
	require.NoError(t, err)
	require.Equal(t, Recovery{Snapshot: []byte(recordedSnapshot), Records: recordedRecords}, recovery)
	appendSynced(t, l, "tenth")
	require.NoError(t, l.Close())
	require.Equal(t, golden.Files(t, "testdata/v1-reopened"), golden.Files(t, dir))
}
