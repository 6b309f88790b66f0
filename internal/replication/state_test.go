package replication

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/decide/execution"
	"pewterline/internal/protocol/replicationwire"
	"pewterline/internal/testbed/golden"
	"pewterline/internal/wal"
)

const recordedIncarnation = 0x1122334455667788

// recordedState is the state that the files in testdata/v1 describe.
func recordedState() durableState {
	ballot := consensus.Ballot{Number: 9, Proposer: consensus.Identity{ID: 1, Incarnation: 5}}
	register := func(kind consensus.ValueKind, attempt uint64, at int64, result string) consensus.Register {
		value := consensus.Value{Kind: kind, Owner: 1, Incarnation: 5, Attempt: attempt, AttemptedAt: at, Result: result}
		return consensus.Register{Promised: ballot, Accepted: ballot, Value: value, LastAttemptAt: at}
	}
	return durableState{
		incarnation: recordedIncarnation,
		membership: consensus.Membership{ClusterID: 7, Epoch: 1, ReplicationFactor: 1, Reason: "founded",
			Current: []consensus.Member{newMember(1, recordedIncarnation, "127.0.0.1:7401")}},
		registers: map[string]consensus.Register{
			"hill-estate\x00done":   register(consensus.KindSucceeded, 2, startMilli, "did \xff it"),
			"hill-estate\x00runs":   register(consensus.KindLeased, 3, startMilli+1, ""),
			"hill-estate\x00failed": register(consensus.KindFailed, 4, startMilli+2, ""),
		},
	}
}

// Guards upgrades: this release must read a directory that an earlier release has written. The directory holds a
// snapshot and later records.
func TestRecordedDirectoryIsRead(t *testing.T) {
	group := newCluster(t, 1)
	server := group.servers[1]
	server.config.Directory = golden.Folder(t, "testdata/v1")
	server.start()
	require.Equal(t, recordedState(), server.replica.storage.state)
	require.Equal(t, uint64(recordedIncarnation), server.replica.Status().Self.Incarnation)
	require.Equal(t, []ExportedKey{
		{Key: "hill-estate\x00done", Kind: "passed", Owner: 1, ArrivedAtMilli: startMilli, Result: "ZGlkIP8gaXQ="},
		{Key: "hill-estate\x00failed", Kind: "failed", Owner: 1, ArrivedAtMilli: startMilli + 2},
		{Key: "hill-estate\x00runs", Kind: "intent", Owner: 1, ArrivedAtMilli: startMilli + 1},
	}, server.replica.Export("", 10))
	require.Len(t, server.replica.Export("hill-estate\x00done", 1), 1)
	require.Equal(t, "did \xff it", server.lookup("hill-estate\x00done").Value.Result)
	require.Equal(t, execution.ActionReportFailed, server.lookup("hill-estate\x00failed").Action)
	require.Equal(t, startMilli+1+retentionMilli, server.acquire("hill-estate\x00runs").RetryAtMilli)
}

// Guards downgrades: given the same records, this release must write the same files as the release that wrote
// testdata/v1, so that the earlier release can read them.
func TestDirectoryIsWrittenAsRecorded(t *testing.T) {
	directory := t.TempDir()
	log, _, err := wal.Open(wal.Dir(directory), wal.Options{})
	require.NoError(t, err)
	first, err := replicationwire.AppendRecord(nil, replicationwire.Record{Incarnation: recordedIncarnation})
	require.NoError(t, err)
	_, err = log.Append(first)
	require.NoError(t, err)
	require.NoError(t, log.Sync())
	require.NoError(t, log.Close())

	opened, err := openStorage(wal.Dir(directory), 1)
	require.NoError(t, err)
	failed := func(err error) { t.Error(err) }
	opened.attach(func(f func()) error {
		f()
		return nil
	}, failed)
	write := func(record replicationwire.Record) {
		t.Helper()
		durable := make(chan struct{})
		opened.write(record, func() { close(durable) })
		<-durable
	}
	state := recordedState()
	saved := func(key string) consensus.SavedRegister {
		return consensus.SavedRegister{Key: key, Register: state.registers[key]}
	}
	old := saved("hill-estate\x00done")
	old.Key = "hill-estate\x00old"
	old.Register.LastAttemptAt = 1000
	old.Register.Value.Attempt, old.Register.Value.AttemptedAt, old.Register.Value.Result = 1, 1000, "old"
	write(replicationwire.Record{Membership: &state.membership})
	write(replicationwire.Record{Registers: []consensus.SavedRegister{saved("hill-estate\x00done"), old}})
	opened.compact()
	write(replicationwire.Record{Registers: []consensus.SavedRegister{
		saved("hill-estate\x00runs"), saved("hill-estate\x00failed")}})
	write(replicationwire.Record{ForgetBefore: 2000})
	require.NoError(t, opened.close())
	const snapshotBytes = 209
	require.Equal(t, 2*snapshotBytes, opened.snapshotThreshold, "twice the size of the last snapshot")
	require.Equal(t, dump(golden.Files(t, "testdata/v1")), dump(golden.Files(t, directory)))
}

// dump replaces the contents of files by hex dumps, so that differences are readable.
func dump(files map[string]string) map[string]string {
	for name, content := range files {
		files[name] = hex.Dump([]byte(content))
	}
	return files
}

// Decoding a snapshot of many keys restores the encoded state. Decoding a truncated or corrupted snapshot fails.
func TestSnapshot(t *testing.T) {
	state := durableState{incarnation: 5, registers: map[string]consensus.Register{}}
	for i := range 2*snapshotChunkKeys + 1 {
		state.registers[fmt.Sprintf("key %d", i)] = consensus.Register{LastAttemptAt: int64(i)}
	}
	snapshot, err := state.encodeSnapshot()
	require.NoError(t, err)
	read := durableState{registers: map[string]consensus.Register{}}
	require.NoError(t, read.decodeSnapshot(snapshot))
	require.Equal(t, state, read)
	for _, cut := range []int{1, snapshotLengthBytes + 1, len(snapshot) - 1} {
		require.ErrorIs(t, read.decodeSnapshot(snapshot[:cut]), errTruncatedSnapshot, "cut at %d", cut)
	}
	corrupted := append([]byte(nil), snapshot...)
	corrupted[snapshotLengthBytes] ^= 0xff
	require.ErrorIs(t, read.decodeSnapshot(corrupted), replicationwire.ErrMalformedFrame)
}

// Guards against records over wal.MaxRecordBytes: a large state is split into several records, in order and complete.
func TestLargeStateIsSplitIntoRecords(t *testing.T) {
	membership := consensus.Membership{Epoch: 1}
	ready := consensus.Ready{Membership: &membership}
	for i := range 20 {
		value := consensus.Value{Result: strings.Repeat("x", 60<<10)}
		ready.Registers = append(ready.Registers,
			consensus.SavedRegister{Key: fmt.Sprint(i), Register: consensus.Register{Value: value}})
	}
	records := recordsOf(ready)
	require.Greater(t, len(records), 3)
	require.Equal(t, &membership, records[0].Membership)
	var registers []consensus.SavedRegister
	for i, record := range records {
		require.True(t, i == 0 || record.Membership == nil)
		encoded, err := replicationwire.AppendRecord(nil, record)
		require.NoError(t, err)
		require.Less(t, len(encoded), wal.MaxRecordBytes)
		registers = append(registers, record.Registers...)
	}
	require.Equal(t, ready.Registers, registers)
}

// Once the size of the records reaches snapshotThreshold, a snapshot replaces them. A restart restores the state from
// it.
func TestCompaction(t *testing.T) {
	group := newCluster(t, 1)
	server := group.servers[1]
	server.config.snapshotThreshold = 1000
	server.start()
	require.NoError(t, server.replica.Bootstrap())
	for i := range 10 {
		key := fmt.Sprint(i)
		require.Equal(t, execution.ActionStart, server.acquire(key).Action)
		require.Equal(t, execution.ActionServe, server.complete(key, true, strings.Repeat(key, 300)).Action)
	}
	group.runFor(2 * expiryInterval)
	var snapshots int
	for name := range golden.Files(t, server.config.Directory) {
		if strings.HasSuffix(name, ".snap") {
			snapshots++
		}
	}
	require.Equal(t, 1, snapshots)
	server.stop()
	server.start()
	require.Len(t, server.replica.Export("", 100), 10)
	require.Equal(t, strings.Repeat("7", 300), server.lookup("7").Value.Result)
}
