package tackserve

import (
	"errors"
	"syscall"
)

// osAdvice lists what an operator can do about errors of the operating system. Other
// errors contain their own advice.
var osAdvice = []struct {
	cause  error
	advice string
}{
	{syscall.EACCES, "let the daemon's user write to state.folder and use the ports under [listen]"},
	{syscall.EPERM, "let the daemon's user write to state.folder and use the ports under [listen]"},
	{syscall.EROFS, "mount the file system of state.folder for writing"},
	{syscall.ENOSPC, "free space on the file system of state.folder"},
	{syscall.EIO, "replace the disk of state.folder; see docs/OPERATING.md on a lost disk"},
	{syscall.ENOTDIR, "give a folder as state.folder"},
}

// advice returns what to do about err, or an empty string if err itself says so.
func advice(err error) string {
	for _, a := range osAdvice {
		if errors.Is(err, a.cause) {
			return a.advice
		}
	}
	return ""
}
