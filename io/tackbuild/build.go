// Package tackbuild reports the build of an auburntack program.
package tackbuild

import (
	"fmt"
	"runtime/debug"
)

// shortRevision is the number of characters of a commit's hash that are shown.
const shortRevision = 12

// Version returns one line with the module's version, the version of Go, and the commit that
// the program was built from if it is known.
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
