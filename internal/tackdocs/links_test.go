package tackdocs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode"
)

var (
	link    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	fenced  = regexp.MustCompile("(?ms)^```.*?^```$")
)

func TestLinksHaveTargets(t *testing.T) {
	for _, page := range pages(t) {
		text := fenced.ReplaceAllString(read(t, page), "")
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			if !strings.Contains(m[1], "://") {
				assertTarget(t, page, m[1])
			}
		}
	}
}

// assertTarget checks that the file and the heading to which a link refers exist.
func assertTarget(t *testing.T, page, target string) {
	t.Helper()
	file, anchor, _ := strings.Cut(target, "#")
	path := page
	if file != "" {
		path = filepath.Join(filepath.Dir(page), file)
	}
	if _, err := os.Stat(path); err != nil {
		t.Errorf("%s: link to %s: %v", page, target, err)
		return
	}
	if anchor != "" && !hasAnchor(read(t, path), anchor) {
		t.Errorf("%s: link to %s: no such heading", page, target)
	}
}

func hasAnchor(text, anchor string) bool {
	for _, m := range heading.FindAllStringSubmatch(fenced.ReplaceAllString(text, ""), -1) {
		if slug(m[1]) == anchor {
			return true
		}
	}
	return false
}

// slug returns the anchor that Markdown viewers give a heading.
func slug(title string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r == ' ':
			return '-'
		case r == '-' || unicode.IsLetter(r) || unicode.IsDigit(r):
			return unicode.ToLower(r)
		default:
			return -1
		}
	}, title)
}
