package tackcommand

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	"auburntack/core/tackid"
	"auburntack/core/tacksyntax"

	"pgregory.net/rapid"
)

func assertText(t *testing.T, text, want string) {
	t.Helper()
	c, err := Parse(text)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	if got := c.Text(); got != want {
		t.Fatalf("%s: got %q, want %q", text, got, want)
	}
}

// TestParse parses every command of the language and compares its canonical
// text. An empty want means that the text is canonical already.
func TestParse(t *testing.T) {
	tests := []struct{ text, want string }{
		{"create pool p", ""},
		{"CREATE Pool pool", "create pool pool"},
		{"delete pool \"a b\"", ""},
		{"create service s on pool p", ""},
		{"set budget s min_available 3", ""},
		{"set budget s min_available 80%", ""},
		{"add vm v to pool p", ""},
		{"move\n vm \"v\"\tto pool p ", "move vm v to pool p"},
		{"drain vm v", ""},
		{"undrain vm v", ""},
		{"remove vm v", ""},
		{"create wave w over pool p action reboot", ""},
		{"create wave w over pool p action UPGRADE max_parallel 4", "create wave w over pool p action upgrade max_parallel 4"},
		{"start wave w", ""},
		{"PAUSE wave w", "pause wave w"},
		{"resume wave w", ""},
		{"cancel wave w", ""},
		{"set quota team slots 4", ""},
		{"set quota team slots 4 cores 16", ""},
		{"set config log.level \"\"", ""},
		{"set config motd \"say \\\"hi\\\"\"", ""},
		{"create task t for team on pool p cores 1 memory_mb 512", ""},
		{"create task t for team on pool p cores 1 memory_mb 512 idempotent no class normal", "create task t for team on pool p cores 1 memory_mb 512"},
		{"create task t for team on pool p cores 2 memory_mb 9 class urgent minutes 5 idempotent yes accelerators 1", ""},
		{"cancel task t", ""},
		{"add peer brest-1 address 10.0.0.1:7002 data_centre brest replica yes", ""},
		{"remove peer brest-1", ""},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			want := test.want
			if want == "" {
				want = test.text
			}
			assertText(t, test.text, want)
		})
	}
}

func TestSyntaxError(t *testing.T) {
	const words = "add or cancel or create or delete or drain or move or pause or remove or resume or set or start or undrain"
	tests := []struct {
		text         string
		line, column int
		got          string
		expected     string
	}{
		{"", 1, 1, "", words},
		{"creat pool p", 1, 1, "creat", words},
		{"create pool", 1, 12, "", "a name"},
		{"create pool p\n  extra", 2, 3, "extra", "the end of the text"},
		{"create pool \"\"", 1, 13, `""`, "a name"},
		{"set config \"\"", 1, 12, `""`, "a name"},
		{"create pool \"open", 1, 13, `"open`, "a closing quote"},
		{"create service s pool p", 1, 18, "pool", "on"},
		{"create wave w over pool p action kill", 1, 34, "kill", "reboot or upgrade"},
		{"create wave w over pool p action reboot slowly", 1, 41, "slowly", "max_parallel or the end of the text"},
		{"set budget s min_available many", 1, 28, "many", "a number"},
		{"set quota t slots 99999999999", 1, 19, "99999999999", "a number"},
		{"create task t for x on pool p cores 1 memory_mb 1 class slow", 1, 57, "slow", "batch or normal or urgent"},
		{"drain w-1", 1, 7, "w-1", "vm"},
		{"drain vm " + strings.Repeat("w", tacksyntax.MaxText), 1, 1, "more", "at most 16384 bytes"},
	}
	for _, test := range tests {
		t.Run(test.text[:min(40, len(test.text))], func(t *testing.T) {
			_, err := Parse(test.text)
			var e *SyntaxError
			if !errors.As(err, &e) {
				t.Fatalf("got %v, want a *SyntaxError", err)
			}
			if e.Line != test.line || e.Column != test.column || e.Got != test.got || strings.Join(e.Expected, " or ") != test.expected {
				t.Fatalf("got %v, want line %d, column %d, got %q, expected %s", e, test.line, test.column, test.got, test.expected)
			}
		})
	}
}

// TestTextRoundTrip checks that names and values survive the text form,
// including those that contain quotes, line ends and keywords.
func TestTextRoundTrip(t *testing.T) {
	name := rapid.OneOf(rapid.StringN(1, -1, 64), rapid.SampledFrom([]string{"pool", "max_parallel", "a b", "\"", "50%", "\\", "\v"}))
	rapid.Check(t, func(t *rapid.T) {
		one := name.Draw(t, "one")
		two := name.Draw(t, "two")
		n := rapid.IntRange(0, 1<<31-1).Draw(t, "n")
		commands := []Command{
			{CreatePool: &CreatePool{Pool: tackid.Pool(one)}},
			{SetConfig: &SetConfig{Key: one, Value: rapid.String().Draw(t, "value")}},
			{SetBudget: &SetBudget{Service: tackid.Service(one), MinAvailable: n, Percent: true}},
			{CreateWave: &CreateWave{Wave: tackid.Wave(one), Pool: tackid.Pool(two), Action: "reboot", MaxParallel: n}},
			{CreateTask: &CreateTask{Task: tackid.Task(one), Team: tackid.Team(two), Pool: "p", Cores: n, Class: tackid.ClassBatch, Minutes: n}},
			{AddPeer: &AddPeer{Peer: tackid.Peer(one), Address: two, DataCentre: "d", Replica: true}},
		}
		for _, c := range commands {
			again, err := Parse(c.Text())
			if err != nil || !reflect.DeepEqual(again, c) {
				t.Fatalf("%q is parsed as %+v, %v", c.Text(), again, err)
			}
		}
	})
}

// FuzzParse checks that a parsed command is parsed again from its text to an
// equal command, and that a syntax error has a position and expected words.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"create pool p", "set budget s min_available 50%", "set config k \"a\\n\"", "cancel wave w",
		"create wave w over pool p action reboot max_parallel 3", "create pool \"a", "add peer p address a data_centre d replica yes",
		"create task t for a on pool p cores 1 memory_mb 2 class urgent minutes 3 idempotent yes accelerators 4",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse(text)
		var e *SyntaxError
		if errors.As(err, &e) {
			if e.Line < 1 || e.Column < 1 || len(e.Expected) == 0 {
				t.Fatalf("%q: error without a position or expected words: %+v", text, e)
			}
			return
		}
		again, err := Parse(c.Text())
		if err != nil || !reflect.DeepEqual(again, c) {
			t.Fatalf("%q: text %q is parsed as %+v, %v", text, c.Text(), again, err)
		}
	})
}

// TestPage parses every example in docs/LANGUAGE.md.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/LANGUAGE.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := strings.Split(string(page), "```command\n")[1:]
	if len(blocks) == 0 {
		t.Fatal("the page has no example")
	}
	for _, block := range blocks {
		example, _, _ := strings.Cut(block, "\n```")
		for line := range strings.SplitSeq(example, "\n") {
			assertText(t, line, line)
		}
	}
}
