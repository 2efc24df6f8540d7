package tackdisk

import (
	"errors"
	"io"
	"io/fs"
	"os"

	"golang.org/x/sys/unix"
)

type (
	// Files is the file system that a Disk uses. Tests implement one that fails or loses data
	// that was not synced.
	Files interface {
		// MkdirAll creates a folder and its parents.
		MkdirAll(folder string) error
		// Create creates or truncates a file and opens it for writing.
		Create(name string) (File, error)
		// ReadFile returns the content of a file. The error is fs.ErrNotExist if there is no
		// such file.
		ReadFile(name string) ([]byte, error)
		// List returns the names of the files in a folder.
		List(folder string) ([]string, error)
		// Rename renames a file and atomically replaces the file at to.
		Rename(from, to string) error
		// Remove removes a file.
		Remove(name string) error
		// SyncFolder makes the directory entries of a folder durable.
		SyncFolder(folder string) error
		// Lock acquires an exclusive lock on a file, until the result is closed.
		Lock(name string) (io.Closer, error)
	}

	// File is an open file of Files.
	File interface {
		io.WriteCloser
		// Sync makes the written data durable.
		Sync() error
	}

	// OSFiles is the file system of the operating system.
	OSFiles struct{}
)

// MkdirAll implements Files.
func (OSFiles) MkdirAll(folder string) error { return os.MkdirAll(folder, 0o750) }

// Create implements Files.
func (OSFiles) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o640)
}

// ReadFile implements Files.
func (OSFiles) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// List implements Files.
func (OSFiles) List(folder string) ([]string, error) {
	found, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(found))
	for _, f := range found {
		names = append(names, f.Name())
	}
	return names, nil
}

// Rename implements Files.
func (OSFiles) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements Files.
func (OSFiles) Remove(name string) error {
	err := os.Remove(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// SyncFolder implements Files.
func (OSFiles) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements Files.
func (OSFiles) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}
