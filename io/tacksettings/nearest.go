package tacksettings

import "strings"

// nearest returns the element of names with the smallest edit distance to name. The
// distance must be at most a third of the length of name plus one; otherwise there is no
// match. Case is ignored.
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

// editDistance returns the number of bytes to insert, delete or replace to turn a into
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
