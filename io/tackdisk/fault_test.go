package tackdisk

import (
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
)

var errFault = errors.New("injected fault")

type (
	// fault is the kind of fault injected into an operation of a faultyFiles.
	fault int

	// faultyFiles is an in-memory file system. A power failure discards all or part of the data
	// that was not synced. A fault makes an operation fail.
	faultyFiles struct {
		// visible are the files that a process sees, durable those on the disk.
		visible, durable map[string]*inode
		pending          []nameChange
		locked           bool
		// operations is the number of operations so far. The fault is injected into the one
		// with number at.
		operations int
		at         int
		fault      fault
		onCreate   func(name string)
	}

	// inode is a file. After a failed sync the data can still be read but is not written to
	// the disk by a later sync, as on Linux.
	inode struct {
		data   []byte
		synced int
		lost   [][2]int
	}

	// nameChange is a change of a directory entry that is not durable yet. A nil file removes
	// the entry.
	nameChange struct {
		name string
		file *inode
	}

	faultyFile struct {
		files *faultyFiles
		inode *inode
	}

	faultyLock struct{ files *faultyFiles }
)

const (
	noFault fault = iota
	// failOperation makes an operation fail without effect; a sync loses its data.
	failOperation
	// shortWrite writes half of the data and returns an error.
	shortWrite
	// silentShortWrite writes half of the data and returns no error.
	silentShortWrite
	// stopProcess makes this operation and all later ones fail.
	stopProcess
	faultCount
)

func newFaultyFiles() *faultyFiles {
	return &faultyFiles{visible: map[string]*inode{}, durable: map[string]*inode{}}
}

// next starts an operation and returns its fault.
func (f *faultyFiles) next() fault {
	f.operations++
	if f.operations == f.at || (f.operations > f.at && f.fault == stopProcess) {
		return f.fault
	}
	return noFault
}

func (f *faultyFiles) inject(kind fault, after int) {
	f.fault, f.at = kind, f.operations+after
}

// kill simulates the end of the process: its lock is released, the kernel's cache is kept.
func (f *faultyFiles) kill() {
	f.locked = false
	f.fault = noFault
}

// powerFailure simulates a power failure. It keeps the synced data and those pending directory
// entries and unsynced bytes for which keep returns true.
func (f *faultyFiles) powerFailure(keep func() bool) {
	f.kill()
	for _, r := range f.pending {
		if keep() {
			f.makeDurable(r)
		}
	}
	f.pending = nil
	f.visible = map[string]*inode{}
	for name, file := range f.durable {
		file.truncate(keep)
		f.visible[name] = file
	}
}

func (f *faultyFiles) makeDurable(r nameChange) {
	if r.file == nil {
		delete(f.durable, r.name)
		return
	}
	f.durable[r.name] = r.file
}

// truncate truncates the file after the last unsynced byte for which keep returns true, and
// zeroes the unsynced bytes that are not kept.
func (i *inode) truncate(keep func() bool) {
	for _, span := range append(i.lost, [2]int{i.synced, len(i.data)}) {
		end := span[0]
		for n := span[0]; n < span[1]; n++ {
			if keep() {
				end = n + 1
				continue
			}
			i.data[n] = 0
		}
		if span[1] == len(i.data) {
			i.data = i.data[:end]
		}
	}
	i.synced, i.lost = len(i.data), nil
}

func (f *faultyFiles) MkdirAll(string) error { return f.operation() }

func (f *faultyFiles) operation() error {
	if f.next() != noFault {
		return errFault
	}
	return nil
}

func (f *faultyFiles) Create(name string) (File, error) {
	if err := f.operation(); err != nil {
		return nil, err
	}
	if f.onCreate != nil {
		f.onCreate(name)
	}
	file := &inode{}
	f.change(name, file)
	return &faultyFile{files: f, inode: file}, nil
}

func (f *faultyFiles) change(name string, file *inode) {
	f.visible[name] = file
	if file == nil {
		delete(f.visible, name)
	}
	f.pending = append(f.pending, nameChange{name: name, file: file})
}

func (f *faultyFiles) ReadFile(name string) ([]byte, error) {
	if err := f.operation(); err != nil {
		return nil, err
	}
	file := f.visible[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

func (f *faultyFiles) List(folder string) ([]string, error) {
	if err := f.operation(); err != nil {
		return nil, err
	}
	var names []string
	for name := range f.visible {
		if filepath.Dir(name) == folder {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (f *faultyFiles) Rename(from, to string) error {
	if err := f.operation(); err != nil {
		return err
	}
	file := f.visible[from]
	f.change(from, nil)
	f.change(to, file)
	return nil
}

func (f *faultyFiles) Remove(name string) error {
	if err := f.operation(); err != nil {
		return err
	}
	f.change(name, nil)
	return nil
}

func (f *faultyFiles) SyncFolder(string) error {
	if err := f.operation(); err != nil {
		return err
	}
	for _, r := range f.pending {
		f.makeDurable(r)
	}
	f.pending = nil
	return nil
}

func (f *faultyFiles) Lock(string) (io.Closer, error) {
	if f.locked {
		return nil, errors.New("locked")
	}
	f.locked = true
	return faultyLock{f}, nil
}

func (l faultyLock) Close() error {
	l.files.locked = false
	return nil
}

func (f *faultyFile) Write(p []byte) (int, error) {
	switch f.files.next() {
	case noFault:
		f.inode.data = append(f.inode.data, p...)
		return len(p), nil
	case shortWrite:
		f.inode.data = append(f.inode.data, p[:len(p)/2]...)
		return len(p) / 2, errFault
	case silentShortWrite:
		f.inode.data = append(f.inode.data, p[:len(p)/2]...)
		return len(p) / 2, nil
	default:
		return 0, errFault
	}
}

func (f *faultyFile) Sync() error {
	i := f.inode
	if f.files.next() != noFault {
		i.lost = append(i.lost, [2]int{i.synced, len(i.data)})
		i.synced = len(i.data)
		return errFault
	}
	i.synced = len(i.data)
	return nil
}

func (f *faultyFile) Close() error { return nil }
