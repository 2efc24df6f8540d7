package tackdocs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"auburntack/core/tackcommand"
	"auburntack/core/tackquery"
	"auburntack/io/tacksettings"
)

const root = "../.."

var (
	iniFile = regexp.MustCompile("(?ms)^```ini\n(.*?)^```$")
	command = regexp.MustCompile(`(?m)^.*\bauburntack\b.* (ask|do) "([^"$]+)"`)
)

func TestSettingsFilesLoad(t *testing.T) {
	n := 0
	for _, page := range pages(t) {
		for _, m := range iniFile.FindAllStringSubmatch(read(t, page), -1) {
			if !strings.Contains(m[1], "[vm]") {
				continue // an excerpt of a file
			}
			n++
			file := filepath.Join(t.TempDir(), "vm.ini")
			if err := os.WriteFile(file, []byte(m[1]), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := tacksettings.Load(file); err != nil {
				t.Errorf("%s: %v", page, err)
			}
		}
	}
	if n < 3 {
		t.Errorf("%d complete settings files in the pages, want at least the three of the README", n)
	}
}

func TestCommandsAndQueriesCanBeRead(t *testing.T) {
	n := 0
	for _, page := range pages(t) {
		for _, m := range command.FindAllStringSubmatch(read(t, page), -1) {
			n++
			var err error
			if m[1] == "do" {
				_, err = tackcommand.Parse(m[2])
			} else {
				_, err = tackquery.Parse(m[2])
			}
			if err != nil {
				t.Errorf("%s: %s %q: %v", page, m[1], m[2], err)
			}
		}
	}
	if n < 10 {
		t.Errorf("%d commands and queries in the pages, want at least 10", n)
	}
}

// pages returns every Markdown file of the repository.
func pages(t *testing.T) []string {
	t.Helper()
	var found []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".md") {
			found = append(found, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
