// Package tackbuild says which build of auburntack a program is.
package tackbuild

import (
	"fmt"
	"runtime/debug"
)

// shortRevision is how much of a commit's hash is shown.
const shortRevision = 12

// Version returns one line with the module's version, the commit it was built
// from where that is known, and the version of Go.
func Version(program string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return program + " unknown"
	}
	line := fmt.Sprintf("%s %s %s", program, info.Main.Version, info.GoVersion)
	if r := setting(info, "vcs.revision"); len(r) >= shortRevision {
		line += " commit " + r[:shortRevision]
	}
	if setting(info, "vcs.modified") == "true" {
		line += " modified"
	}
	return line
}

func setting(info *debug.BuildInfo, key string) string {
	for _, s := range info.Settings {
		if s.Key == key {
			return s.Value
		}
	}
	return ""
}
