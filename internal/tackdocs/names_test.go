package tackdocs

import (
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	codeName   = regexp.MustCompile(`\bCode[:=\s]+"([a-z_]+)"`)
	metricName = regexp.MustCompile(`\b(?:counter|gauge|GetOrRegister\w+)\("([a-z_]+)"`)
)

// Guards against error codes and metrics that are added to the code but not to the
// documentation.
func TestEveryNameIsExplained(t *testing.T) {
	tests := []struct {
		page   string
		name   *regexp.Regexp
		prefix string // the page may have the name with this prefix
	}{
		{"docs/OPERATING.md", codeName, ""},
		{"docs/METRICS.md", metricName, "peer_"},
	}
	for _, test := range tests {
		t.Run(test.page, func(t *testing.T) {
			page := read(t, filepath.Join(root, test.page))
			names := namesInCode(t, test.name)
			if len(names) < 10 {
				t.Errorf("%d names found in the code, want at least 10", len(names))
			}
			for name, file := range names {
				if !strings.Contains(page, "`"+name+"`") && !strings.Contains(page, "`"+test.prefix+name+"`") {
					t.Errorf("%s of %s is not explained", name, file)
				}
			}
		})
	}
}

// namesInCode returns the names that the pattern captures, each with a file that has it.
func namesInCode(t *testing.T, pattern *regexp.Regexp) map[string]string {
	t.Helper()
	names := make(map[string]string)
	for _, folder := range []string{"core", "io"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, d fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			for _, m := range pattern.FindAllStringSubmatch(read(t, path), -1) {
				names[m[1]] = path
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}
