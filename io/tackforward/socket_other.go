//go:build !linux

package tackforward

func setTimeoutOption(int, int) {}
