package tacksettings

import (
	"bytes"
	"flag"
	"os"
	"testing"
)

const page = "../../docs/SETTINGS.md"

var update = flag.Bool("update", false, "write docs/SETTINGS.md from the table")

func TestPageMatchesTable(t *testing.T) {
	var b bytes.Buffer
	if err := WritePage(&b); err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(page, b.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, b.Bytes()) {
		t.Errorf("%s differs from the table; run go test ./io/tacksettings -update", page)
	}
}
