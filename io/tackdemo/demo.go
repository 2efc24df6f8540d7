// Package tackdemo shows the whole system at work in one process on loopback.
package tackdemo

import (
	"context"
	"errors"
	"io"
)

var errNotBuilt = errors.New("tackdemo: not built yet")

// Run runs the demo, writes its progress and its measures to w, and returns
// an error if an invariant broke.
func Run(ctx context.Context, w io.Writer) error {
	return errNotBuilt
}
