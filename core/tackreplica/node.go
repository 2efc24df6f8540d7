// Package tackreplica keeps one log the same on every VM of the system.
package tackreplica

type Message struct{}
