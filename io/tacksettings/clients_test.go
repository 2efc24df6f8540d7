package tacksettings

import (
	"testing"

	"auburntack/io/tackport"
)

// TestDefaultsOfClients checks that the defaults in docs/SETTINGS.md equal those of the package
// that uses them.
func TestDefaultsOfClients(t *testing.T) {
	s := Default()
	if got, want := s.Clients.Limits(), (tackport.Limits{}).WithDefaults(); got != want {
		t.Errorf("ports use %+v, want %+v", got, want)
	}
}
