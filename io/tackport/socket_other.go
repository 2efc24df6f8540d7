//go:build !linux

package tackport

func setReceiveBuffer(uintptr, int) {}
