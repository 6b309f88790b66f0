package wal

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
)

const sector = 512

// disk is a folder on a disk that forgets what was not synced when it crashes, tears writes at sectors, fills up and fails to
// sync. After a sync that failed, the pages count as clean: they can be read, and no later sync writes them.
type disk struct {
	rng     *rand.Rand
	names   map[string]*inode
	durable map[string]*inode
	pending []func(map[string]*inode) // changes of names since the last Sync, in order
	locked  bool
	life    int
	room    int // bytes that can still be written; negative: no bound
	failing int // the sync that fails: counted down; 0: none
	syncs   int
}

type inode struct {
	data   []byte // as it is read
	kept   []byte // as it is on the disk
	dirty  []span // written and not synced
	orphan []span // of a sync that failed: read, and never written
}

type span struct{ from, to int }

func newDisk(seed uint64) *disk {
	return &disk{rng: rand.New(rand.NewPCG(seed, 7)), names: map[string]*inode{}, durable: map[string]*inode{}, room: -1}
}

func (d *disk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.names)), nil }

func (d *disk) Read(name string) ([]byte, error) {
	i := d.names[name]
	if i == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(i.data), nil
}

func (d *disk) change(f func(map[string]*inode)) {
	f(d.names)
	d.pending = append(d.pending, f)
}

func (d *disk) Create(name string) (File, error) {
	i := &inode{}
	d.change(func(m map[string]*inode) { m[name] = i })
	return &handle{d, i, d.life}, nil
}

func (d *disk) Rename(from, to string) error {
	i := d.names[from]
	if i == nil {
		return fs.ErrNotExist
	}
	d.change(func(m map[string]*inode) {
		delete(m, from)
		m[to] = i
	})
	return nil
}

func (d *disk) Remove(name string) error {
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	d.change(func(m map[string]*inode) { delete(m, name) })
	return nil
}

func (d *disk) Sync() error {
	if err := d.mayFail(); err != nil {
		return err
	}
	d.durable, d.pending = maps.Clone(d.names), nil
	return nil
}

func (d *disk) mayFail() error {
	d.syncs++
	if d.failing > 0 {
		if d.failing--; d.failing == 0 {
			return syscall.EIO
		}
	}
	return nil
}

func (d *disk) Lock() (func() error, error) {
	if d.locked {
		return nil, ErrLocked
	}
	d.locked = true
	life := d.life
	return func() error {
		if d.life == life {
			d.locked = false
		}
		return nil
	}, nil
}

// crash loses what was not synced: of each file any sectors of it, and of the names all after some change.
func (d *disk) crash() {
	d.life++
	d.locked, d.room, d.failing = false, -1, 0
	names := d.durable
	for _, f := range d.pending[:d.rng.IntN(len(d.pending)+1)] {
		f(names)
	}
	d.names, d.durable, d.pending = names, maps.Clone(names), nil
	seen := map[*inode]bool{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		i := names[name]
		if seen[i] {
			continue
		}
		seen[i] = true
		kept := i.kept
		// A file may have its full length, with nothing written yet, or end anywhere.
		for _, s := range i.dirty {
			to := s.from + d.rng.IntN(s.to-s.from+1)
			for at := s.from; at < to; {
				end := min(to, (at/sector+1)*sector)
				if d.rng.IntN(3) > 0 {
					kept = grown(kept, end)
					copy(kept[at:end], i.data[at:end])
				} else if d.rng.IntN(2) == 0 {
					kept = grown(kept, end)
				}
				at = end
			}
		}
		i.data, i.kept, i.dirty, i.orphan = slices.Clone(kept), slices.Clone(kept), nil, nil
	}
}

func grown(b []byte, n int) []byte {
	b = slices.Clone(b)
	if len(b) < n {
		b = append(b, make([]byte, n-len(b))...)
	}
	return b
}

type handle struct {
	d    *disk
	i    *inode
	life int
}

var errGone = errors.New("the process that held this file is gone")

func (h *handle) Write(p []byte) (int, error) {
	if h.life != h.d.life {
		return 0, errGone
	}
	n, err := len(p), error(nil)
	if h.d.room >= 0 && n > h.d.room {
		n, err = h.d.room, syscall.ENOSPC
	}
	if h.d.room >= 0 {
		h.d.room -= n
	}
	if n > 0 {
		h.i.dirty = append(h.i.dirty, span{len(h.i.data), len(h.i.data) + n})
		h.i.data = append(h.i.data, p[:n]...)
	}
	return n, err
}

func (h *handle) Sync() error {
	if h.life != h.d.life {
		return errGone
	}
	if err := h.d.mayFail(); err != nil {
		h.i.orphan = append(h.i.orphan, h.i.dirty...)
		h.i.dirty = nil
		return err
	}
	for _, s := range h.i.dirty {
		h.i.kept = grown(h.i.kept, s.to)
		copy(h.i.kept[s.from:s.to], h.i.data[s.from:s.to])
	}
	h.i.dirty = nil
	return nil
}

func (h *handle) Close() error { return nil }
