//go:build !linux

package tackport

func setBuffers(uintptr, int, int) {}
