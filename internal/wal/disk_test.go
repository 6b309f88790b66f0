package wal

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
)

const sectorBytes = 512

// faultyDisk is a folder on a disk that forgets what was not synced when it crashes, tears writes at sectors, fills
// up and fails to sync. After a sync that failed, the pages count as clean: they can be read, and no later sync
// writes them.
type faultyDisk struct {
	rng             *rand.Rand
	files           map[string]*inode
	durableFiles    map[string]*inode
	unsyncedChanges []func(map[string]*inode) // of names, since the last Sync
	locked          bool
	generation      int
	bytesLeft       int // bytes that can still be written; negative: no bound
	failingSync     int // the sync that fails: counted down; 0: none
	syncs           int
}

type inode struct {
	data     []byte // as it is read
	durable  []byte // as it is on the disk
	unsynced []span // written and not synced
	lost     []span // of a sync that failed: read, and never written
}

type span struct{ from, to int }

func newFaultyDisk(seed uint64) *faultyDisk {
	return &faultyDisk{
		rng:          rand.New(rand.NewPCG(seed, 7)),
		files:        map[string]*inode{},
		durableFiles: map[string]*inode{},
		bytesLeft:    -1,
	}
}

func (d *faultyDisk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.files)), nil }

func (d *faultyDisk) Read(name string) ([]byte, error) {
	i := d.files[name]
	if i == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(i.data), nil
}

func (d *faultyDisk) change(f func(map[string]*inode)) {
	f(d.files)
	d.unsyncedChanges = append(d.unsyncedChanges, f)
}

func (d *faultyDisk) Create(name string) (File, error) {
	i := &inode{}
	d.change(func(m map[string]*inode) { m[name] = i })
	return &handle{d, i, d.generation}, nil
}

func (d *faultyDisk) Rename(from, to string) error {
	i := d.files[from]
	if i == nil {
		return fs.ErrNotExist
	}
	d.change(func(m map[string]*inode) {
		delete(m, from)
		m[to] = i
	})
	return nil
}

func (d *faultyDisk) Remove(name string) error {
	if d.files[name] == nil {
		return fs.ErrNotExist
	}
	d.change(func(m map[string]*inode) { delete(m, name) })
	return nil
}

func (d *faultyDisk) Sync() error {
	if err := d.mayFail(); err != nil {
		return err
	}
	d.durableFiles, d.unsyncedChanges = maps.Clone(d.files), nil
	return nil
}

func (d *faultyDisk) mayFail() error {
	d.syncs++
	if d.failingSync > 0 {
		if d.failingSync--; d.failingSync == 0 {
			return syscall.EIO
		}
	}
	return nil
}

func (d *faultyDisk) Lock() (func() error, error) {
	if d.locked {
		return nil, ErrLocked
	}
	d.locked = true
	life := d.generation
	return func() error {
		if d.generation == life {
			d.locked = false
		}
		return nil
	}, nil
}

// crash loses what was not synced: of each file any sectors of it, and of the names all behind some change.
func (d *faultyDisk) crash() {
	d.generation++
	d.locked, d.bytesLeft, d.failingSync = false, -1, 0
	names := d.durableFiles
	for _, f := range d.unsyncedChanges[:d.rng.IntN(len(d.unsyncedChanges)+1)] {
		f(names)
	}
	d.files, d.durableFiles, d.unsyncedChanges = names, maps.Clone(names), nil
	seen := map[*inode]bool{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		file := names[name]
		if seen[file] {
			continue
		}
		seen[file] = true
		kept := file.durable
		// A file may have its full length, with nothing written yet, or end anywhere.
		for _, s := range file.unsynced {
			to := s.from + d.rng.IntN(s.to-s.from+1)
			for at := s.from; at < to; {
				end := min(to, (at/sectorBytes+1)*sectorBytes)
				if d.rng.IntN(3) > 0 {
					kept = extended(kept, end)
					copy(kept[at:end], file.data[at:end])
				} else if d.rng.IntN(2) == 0 {
					kept = extended(kept, end)
				}
				at = end
			}
		}
		file.data, file.durable, file.unsynced, file.lost = slices.Clone(kept), slices.Clone(kept), nil, nil
	}
}

func extended(b []byte, n int) []byte {
	b = slices.Clone(b)
	if len(b) < n {
		b = append(b, make([]byte, n-len(b))...)
	}
	return b
}

type handle struct {
	disk       *faultyDisk
	inode      *inode
	generation int
}

var errCrashed = errors.New("the process that held this file is gone")

func (h *handle) Write(data []byte) (int, error) {
	if h.generation != h.disk.generation {
		return 0, errCrashed
	}
	n, err := len(data), error(nil)
	if h.disk.bytesLeft >= 0 && n > h.disk.bytesLeft {
		n, err = h.disk.bytesLeft, syscall.ENOSPC
	}
	if h.disk.bytesLeft >= 0 {
		h.disk.bytesLeft -= n
	}
	if n > 0 {
		h.inode.unsynced = append(h.inode.unsynced, span{len(h.inode.data), len(h.inode.data) + n})
		h.inode.data = append(h.inode.data, data[:n]...)
	}
	return n, err
}

func (h *handle) Sync() error {
	if h.generation != h.disk.generation {
		return errCrashed
	}
	if err := h.disk.mayFail(); err != nil {
		h.inode.lost = append(h.inode.lost, h.inode.unsynced...)
		h.inode.unsynced = nil
		return err
	}
	for _, s := range h.inode.unsynced {
		h.inode.durable = extended(h.inode.durable, s.to)
		copy(h.inode.durable[s.from:s.to], h.inode.data[s.from:s.to])
	}
	h.inode.unsynced = nil
	return nil
}

func (h *handle) Close() error { return nil }
