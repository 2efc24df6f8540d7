// Package tackvm runs one VM of the system: it ties the decision packages to
// the network and the disk.
package tackvm

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"auburntack/io/tacksettings"
)

var errNotBuilt = errors.New("tackvm: not built yet")

// Run serves by cfg until ctx ends, stops gracefully and returns nil. An
// error means that the VM cannot go on; it says what to do.
func Run(ctx context.Context, cfg tacksettings.Settings, log *logrus.Logger) error {
	return errNotBuilt
}
