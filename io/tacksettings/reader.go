package tacksettings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"auburntack/core/tackid"
)

type (
	// reader collects the settings and the problems found while reading them.
	reader struct {
		settings Settings
		problems []Problem
		// allowedSections lists the sections that the file may hold; if it is empty, all
		// are allowed.
		allowedSections []string
	}

	// familySection holds the values of one section of a family, in the field for that
	// family.
	familySection struct {
		peer   Peer
		window Window
	}
)

func (r *reader) add(section, key, problem, allowed string) {
	r.problems = append(r.problems, Problem{Section: section, Key: key, Problem: problem, Allowed: allowed})
}

// read reads and parses file.
func (r *reader) read(file string) {
	data, err := os.ReadFile(file)
	if err != nil {
		r.addReadError(err)
		return
	}
	f, err := parseINI(data, false)
	if err != nil {
		r.add("", "", fmt.Sprintf("the file cannot be parsed: %v", err), "allowed are [section] and key = value lines")
		return
	}
	r.addBareKeys(f, data)
	seen := make(map[string]bool)
	for _, s := range f.Sections() {
		if seen[s.Name()] {
			r.add(s.Name(), "", "the section is given twice", "allowed is once")
			continue
		}
		seen[s.Name()] = true
		r.readSection(s)
	}
	if len(r.allowedSections) == 0 {
		r.addMissingSections(seen)
	}
}

// parseINI parses data. By default, the library ignores repeated keys, repeated sections
// and keys above the first section, and stops at the first line without '='; an operator
// could then believe a setting to be in force that is not. The options used here keep
// all of them, so that they can be reported. If skipBare is set, a line without '=' is
// left out instead of being kept as a key.
func parseINI(data []byte, skipBare bool) (*ini.File, error) {
	return ini.LoadSources(ini.LoadOptions{
		AllowBooleanKeys:           !skipBare,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
		PreserveEmptyShadowValues:  true,
		SkipUnrecognizableLines:    skipBare,
		SpaceBeforeInlineComment:   true,
	}, data)
}

// addBareKeys reports lines without '='. The library reads such a key as true, so that
// "replica" alone would make a VM vote.
func (r *reader) addBareKeys(f *ini.File, data []byte) {
	without, err := parseINI(data, true)
	if err != nil {
		return // f was parsed from the same data, and its problems are reported
	}
	kept := without.Sections()
	for i, s := range f.Sections() {
		for _, k := range s.Keys() {
			if i < len(kept) && !hasOwnKey(kept[i], k.Name()) {
				r.add(sectionName(s), k.Name(), "the line has no '='", "allowed is key = value")
			}
		}
	}
}

// hasOwnKey reports whether s itself has the key. The library's HasKey also searches the
// parent sections of s.
func hasOwnKey(s *ini.Section, key string) bool {
	return slices.Contains(s.KeyStrings(), key)
}

// sectionName returns the name of s, or an empty string for the keys above the first
// section.
func sectionName(s *ini.Section) string {
	if s.Name() == ini.DefaultSection {
		return ""
	}
	return s.Name()
}

func (r *reader) addReadError(err error) {
	var path *fs.PathError
	if errors.As(err, &path) {
		err = path.Err
	}
	r.add("", "", fmt.Sprintf("the file cannot be read: %v", err), "allowed is a readable INI file")
}

func (r *reader) readSection(s *ini.Section) {
	name := s.Name()
	if name == ini.DefaultSection {
		for _, k := range s.Keys() {
			r.add("", k.Name(), "the key is in no section", "allowed is below a [section]")
		}
		return
	}
	if len(r.allowedSections) > 0 && !slices.Contains(r.allowedSections, name) {
		r.add(name, "", "the section has no place here", "allowed are "+strings.Join(r.allowedSections, ", "))
		return
	}
	family, id, hasID := strings.Cut(name, ".")
	if hasID && isFamily(family) {
		r.readFamilySection(s, family, id)
		return
	}
	if len(sectionEntries(name)) == 0 || isFamily(name) {
		r.addUnknownSection(name)
		return
	}
	r.readKeys(s, name, nil)
}

// readFamilySection reads a section of a family.
func (r *reader) readFamilySection(s *ini.Section, family, id string) {
	if err := checkName(id); err != nil {
		e := entry{kind: kindName}
		r.add(s.Name(), "", err.Error(), e.allowed())
	}
	m := familySection{peer: Peer{ID: tackid.Peer(id)}, window: Window{Label: id}}
	r.readKeys(s, family, &m)
	if family == familyPeer {
		r.settings.Peers = append(r.settings.Peers, m.peer)
	} else {
		r.settings.Burn.Windows = append(r.settings.Burn.Windows, m.window)
	}
}

// valid reports whether no problem was found with the keys of section so far.
func (r *reader) valid(section string, keys ...string) bool {
	return !slices.ContainsFunc(r.problems, func(p Problem) bool {
		return p.Section == section && slices.Contains(keys, p.Key)
	})
}

// readKeys reads the keys of s as described by the table's entries for section.
func (r *reader) readKeys(s *ini.Section, section string, m *familySection) {
	entries := sectionEntries(section)
	given := make(map[string]bool)
	for _, k := range s.Keys() {
		given[k.Name()] = true
		e := findEntry(entries, k.Name())
		if e == nil {
			r.addUnknownKey(s.Name(), k.Name(), entries)
			continue
		}
		if len(k.ValueWithShadows()) > 1 {
			r.add(s.Name(), k.Name(), "the key is given twice", "allowed is once")
			continue
		}
		if !r.valid(s.Name(), k.Name()) {
			continue
		}
		if err := e.parse(k.Value(), e.field(&r.settings, m)); err != nil {
			r.add(s.Name(), k.Name(), err.Error(), e.allowed())
		}
	}
	for _, e := range entries {
		if e.required && !given[e.key] {
			r.add(s.Name(), e.key, "the key is missing", e.allowed())
		}
	}
}

func (r *reader) addUnknownSection(name string) {
	problem := "the section is unknown"
	if near, ok := nearestSection(name); ok {
		problem += fmt.Sprintf(", did you mean %q", near)
	}
	r.add(name, "", problem, "allowed are "+strings.Join(sectionNames(), ", "))
}

// nearestSection returns the known section whose name is nearest to name. The section of
// a family is compared by the name of the family alone.
func nearestSection(name string) (string, bool) {
	family, id, hasID := strings.Cut(name, ".")
	if !hasID {
		return nearest(name, sectionNames())
	}
	near, ok := nearest(family, []string{familyPeer, familyWindow})
	return near + "." + id, ok
}

func (r *reader) addUnknownKey(section, key string, entries []*entry) {
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.key
	}
	problem := "the key is unknown"
	if near, ok := nearest(key, names); ok {
		problem += fmt.Sprintf(", did you mean %q", near)
	}
	r.add(section, key, problem, "allowed are "+strings.Join(names, ", "))
}

// addMissingSections reports the required keys of sections that are missing altogether.
func (r *reader) addMissingSections(seen map[string]bool) {
	for i := range table {
		e := &table[i]
		if e.required && !isFamily(e.section) && !seen[e.section] {
			r.add(e.section, e.key, "the key is missing", e.allowed())
		}
	}
}

func sectionEntries(section string) []*entry {
	var es []*entry
	for i := range table {
		if table[i].section == section {
			es = append(es, &table[i])
		}
	}
	return es
}

func findEntry(es []*entry, key string) *entry {
	for _, e := range es {
		if e.key == key {
			return e
		}
	}
	return nil
}

// sectionNames returns the titles of all sections in the order of the table.
func sectionNames() []string {
	var names []string
	for i := range table {
		if name := sectionTitle(table[i].section); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// sectionTitle returns the name of a section as shown in the documentation and in
// problems.
func sectionTitle(section string) string {
	switch section {
	case familyPeer:
		return familyPeer + ".ID"
	case familyWindow:
		return familyWindow + ".NAME"
	default:
		return section
	}
}

func isFamily(section string) bool {
	return section == familyPeer || section == familyWindow
}
