//go:build !linux

package tackstandin

import "syscall"

// Pause stops the process with SIGSTOP. SIGCONT resumes it.
func (d *Daemon) Pause() error {
	return d.Signal(syscall.SIGSTOP)
}
