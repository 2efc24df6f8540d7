package tacksettings

import "strings"

// nearest returns the one of names that is the fewest edits away from name,
// if it is near enough to be what was meant: within a third of its length and
// one edit. Upper and lower case are the same.
func nearest(name string, names []string) (string, bool) {
	best, found := "", false
	least := len(name)/3 + 2
	for _, n := range names {
		if d := editDistance(strings.ToLower(name), strings.ToLower(n)); d < least {
			best, least, found = n, d, true
		}
	}
	return best, found
}

// editDistance counts the bytes to insert, delete or replace to turn a into
// b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replace := diagonal
			if a[i] != b[j] {
				replace++
			}
			diagonal = row[j+1]
			row[j+1] = min(replace, diagonal+1, row[j]+1)
		}
	}
	return row[len(b)]
}
