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
	// fault is what happens to one operation of a faultyFiles.
	fault int

	// faultyFiles is a file system in memory. A power cut takes away what was
	// not synced, or any part of it; a fault makes an operation fail.
	faultyFiles struct {
		// names are what a process sees, durable what is on the disk.
		names, durable map[string]*inode
		pending        []renaming
		locked         bool
		// operations counts what was asked; at is the one that fault hits.
		operations int
		at         int
		fault      fault
		onCreate   func(name string)
	}

	// inode is a file. A failed sync leaves its bytes readable and no longer
	// due for writing, as Linux does.
	inode struct {
		data   []byte
		synced int
		lost   [][2]int
	}

	// renaming is a change of names that is not durable yet; a nil file
	// removes the name.
	renaming struct {
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
	// failOperation fails with no effect; a sync loses what it should sync.
	failOperation
	// shortWrite writes half and says so.
	shortWrite
	// silentShortWrite writes half and gives no error.
	silentShortWrite
	// stopProcess fails this operation and all that follow.
	stopProcess
	faults
)

func newFaultyFiles() *faultyFiles {
	return &faultyFiles{names: map[string]*inode{}, durable: map[string]*inode{}}
}

// next returns the fault of the operation that begins.
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

// kill ends the process: its lock goes, the kernel's cache stays.
func (f *faultyFiles) kill() {
	f.locked = false
	f.fault = noFault
}

// powerCut leaves what was synced and what keep says of the rest: keep is
// asked for each pending name, and for each byte that was not synced.
func (f *faultyFiles) powerCut(keep func() bool) {
	f.kill()
	for _, r := range f.pending {
		if keep() {
			f.settle(r)
		}
	}
	f.pending = nil
	f.names = map[string]*inode{}
	for name, file := range f.durable {
		file.cut(keep)
		f.names[name] = file
	}
}

func (f *faultyFiles) settle(r renaming) {
	if r.file == nil {
		delete(f.durable, r.name)
		return
	}
	f.durable[r.name] = r.file
}

// cut ends the file after the last byte that keep kept and spoils the others.
func (i *inode) cut(keep func() bool) {
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

func (f *faultyFiles) MkdirAll(string) error { return f.simple() }

func (f *faultyFiles) simple() error {
	if f.next() != noFault {
		return errFault
	}
	return nil
}

func (f *faultyFiles) Create(name string) (File, error) {
	if err := f.simple(); err != nil {
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
	f.names[name] = file
	if file == nil {
		delete(f.names, name)
	}
	f.pending = append(f.pending, renaming{name: name, file: file})
}

func (f *faultyFiles) ReadFile(name string) ([]byte, error) {
	if err := f.simple(); err != nil {
		return nil, err
	}
	file := f.names[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

func (f *faultyFiles) List(folder string) ([]string, error) {
	if err := f.simple(); err != nil {
		return nil, err
	}
	var names []string
	for name := range f.names {
		if filepath.Dir(name) == folder {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (f *faultyFiles) Rename(from, to string) error {
	if err := f.simple(); err != nil {
		return err
	}
	file := f.names[from]
	f.change(from, nil)
	f.change(to, file)
	return nil
}

func (f *faultyFiles) Remove(name string) error {
	if err := f.simple(); err != nil {
		return err
	}
	f.change(name, nil)
	return nil
}

func (f *faultyFiles) SyncFolder(string) error {
	if err := f.simple(); err != nil {
		return err
	}
	for _, r := range f.pending {
		f.settle(r)
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
