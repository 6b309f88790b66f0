package replication

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/protocol/replicationwire"
	"pewterline/internal/wal"
)

const (
	recordBytes = 256 << 10 // of slots in one record, about
)

// disk is what a server holds, on its disk. What it has in memory here is what is durable; it belongs to the committer's goroutine.
type disk struct {
	folder string
	log    *wal.Committer
	life   uint64
	group  consensus.Membership
	slots  map[string]consensus.Register
	bytes  int // of records since the last snapshot
	least  int // of them, before there is one

	mu      sync.Mutex
	durable []func() // to be called on the loop
	called  bool     // it is on its way there
}

// random is a number that no other life has had.
func random() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(b[:])>>1 | 1, nil
}

// openDisk reads what a folder holds. One that is empty begins a new life.
func openDisk(folder string) (d *disk, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("holdings: %w", err)
	}
	log, rec, err := wal.Open(open(folder), wal.Options{})
	if err != nil {
		return nil, fmt.Errorf("holdings: %s: %w", folder, err)
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, log.Close())
		}
	}()
	d = &disk{folder: folder, slots: map[string]consensus.Register{}, least: snapshotLeast}
	for at := 0; at < len(rec.Snapshot); {
		n := int(binary.BigEndian.Uint32(rec.Snapshot[at:]))
		if err := d.read(rec.Snapshot[at+4 : at+4+n]); err != nil {
			return nil, err
		}
		at += 4 + n
	}
	for _, r := range rec.Records {
		if err := d.read(r.Data); err != nil {
			return nil, err
		}
		d.bytes += len(r.Data)
	}
	if d.life == 0 {
		if d.life, err = random(); err != nil {
			return nil, fmt.Errorf("holdings: %w", err)
		}
		out, err := replicationwire.AppendRecord(nil, replicationwire.Record{Incarnation: d.life})
		if err != nil {
			return nil, err
		}
		if _, err := log.Append(out); err != nil {
			return nil, fmt.Errorf("holdings: %w", err)
		}
		if err := log.Sync(); err != nil {
			return nil, fmt.Errorf("holdings: %w", err)
		}
	}
	d.log = wal.NewCommitter(log, wal.CommitOptions{QueueSize: 4096})
	return d, nil
}

func (d *disk) read(data []byte) error {
	r, err := replicationwire.ParseRecord(data)
	if err != nil {
		return fmt.Errorf("holdings: %s: %w", d.folder, err)
	}
	d.apply(r)
	return nil
}

func (d *disk) apply(r replicationwire.Record) {
	if r.Incarnation != 0 {
		d.life = r.Incarnation
	}
	if r.Membership != nil {
		d.group = *r.Membership
	}
	for _, s := range r.Slots {
		d.slots[s.Key] = s.Register
	}
	if r.ForgetBefore != 0 {
		h := consensus.NewAcceptor(consensus.Identity{}, d.slots)
		h.Expire(r.ForgetBefore)
	}
}

// write makes a record durable; then is called on the loop, by way of tell, once it is. failed is called with the first error.
func (d *disk) write(r replicationwire.Record, tell func(func()) error, then func(), failed func(error)) {
	data, err := replicationwire.AppendRecord(nil, r)
	if err != nil {
		failed(err)
		return
	}
	d.log.Submit(data, func(_ uint64, err error) {
		if err == nil {
			d.apply(r)
			d.bytes += len(data)
		}
		d.onLoop(tell, func() {
			if err != nil {
				failed(err)
				return
			}
			then()
		})
	})
}

// tidy has a snapshot take the place of the records, where there are enough of them.
func (d *disk) tidy(tell func(func()) error, failed func(error)) {
	d.log.Do(d.compact, func(err error) {
		if err != nil {
			d.onLoop(tell, func() { failed(err) })
		}
	})
}

// onLoop has f called on the loop, with others that came meanwhile.
func (d *disk) onLoop(tell func(func()) error, f func()) {
	d.mu.Lock()
	d.durable = append(d.durable, f)
	first := !d.called
	d.called = true
	d.mu.Unlock()
	if !first {
		return
	}
	// Once the loop has ended there is nobody left to tell.
	_ = tell(func() {
		d.mu.Lock()
		fs := d.durable
		d.durable, d.called = nil, false
		d.mu.Unlock()
		for _, f := range fs {
			f()
		}
	})
}

// compact puts a snapshot in the place of many records.
func (d *disk) compact(l *wal.Log) error {
	if d.bytes < d.least {
		return nil
	}
	var out []byte
	add := func(r replicationwire.Record) error {
		at := len(out)
		b, err := replicationwire.AppendRecord(append(out, 0, 0, 0, 0), r)
		if err != nil {
			return err
		}
		out = b
		binary.BigEndian.PutUint32(out[at:], uint32(len(out)-at-4))
		return nil
	}
	first := replicationwire.Record{Incarnation: d.life}
	if d.group.Epoch > 0 {
		first.Membership = &d.group
	}
	if err := add(first); err != nil {
		return err
	}
	keys := make([]string, 0, len(d.slots))
	for key := range d.slots {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for chunk := range slices.Chunk(keys, 200) {
		var r replicationwire.Record
		for _, key := range chunk {
			r.Slots = append(r.Slots, consensus.SavedRegister{Key: key, Register: d.slots[key]})
		}
		if err := add(r); err != nil {
			return err
		}
	}
	d.bytes, d.least = 0, max(snapshotLeast, 2*len(out))
	return l.Snapshot(out)
}
