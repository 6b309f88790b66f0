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

// faultyDisk is a directory on a simulated disk that loses unsynced data in a crash, tears writes at sector boundaries,
// fills up and fails to sync. After a failed sync, the pages count as clean: they can be read, but no later sync writes
// them.
type faultyDisk struct {
	rng               *rand.Rand
	files             map[string]*inode
	durableFiles      map[string]*inode
	unsyncedChanges   []func(map[string]*inode) // of the directory, since its last Sync
	locked            bool
	generation        int // number of crashes; files opened before the last one cannot be used
	bytesLeft         int // bytes that can still be written; negative: no bound
	syncsUntilFailure int // 1: the next sync fails, 2: the one after it, and so on; 0: none fails
	syncs             int
}

type inode struct {
	data     []byte // as read
	durable  []byte // as stored on the disk
	unsynced []span // written but not synced
	lost     []span // parts of a failed sync: readable, but never written to the disk
}

// span is a range of bytes of a file.
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
	if err := d.countSync(); err != nil {
		return err
	}
	d.durableFiles, d.unsyncedChanges = maps.Clone(d.files), nil
	return nil
}

// countSync counts a sync and returns an error if it is the one that fails.
func (d *faultyDisk) countSync() error {
	d.syncs++
	if d.syncsUntilFailure > 0 {
		if d.syncsUntilFailure--; d.syncsUntilFailure == 0 {
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
	generation := d.generation
	return func() error {
		if d.generation == generation {
			d.locked = false
		}
		return nil
	}, nil
}

// crash loses unsynced data: any unsynced sectors of each file, and all directory changes after a random one.
func (d *faultyDisk) crash() {
	d.generation++
	d.locked, d.bytesLeft, d.syncsUntilFailure = false, -1, 0
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
		// A file may end anywhere, or have its full length with zeros in place of sectors that were not written.
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

var errCrashed = errors.New("the process that opened this file has crashed")

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
	if err := h.disk.countSync(); err != nil {
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
