package tacksettings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
)

const contractFile = `[vm]
id = rennes-a-1
data_centre = rennes-a
[listen]
caller = 127.0.0.1:7000
operator = 127.0.0.1:7001
peer = 127.0.0.1:7002
[state]
folder = "/var/lib/auburn;tack"   ; a VM with a disk; left out on one without
replica = true                 ; votes; needs a folder
[peer.rennes-b-1]              ; one section for each other VM of the system
data_centre = rennes-b
address = 127.0.0.1:7102
replica = true
[platform]
address = 127.0.0.1:7900       ; left out: maintenance is recorded, not carried out
[wave]
settle_ms = 45000
night_ends = 04:30             # before Fajr
[stop]
linger_ms = 2000
[log]
format = json                  ; or text
[window.fajr]
service = dawn-svc
from = 20:30
to = 04:45
`

func TestLoadTypesEverySetting(t *testing.T) {
	Convey("Given a file with comments after values and a quoted value", t, func() {
		s, err := Load(write(t, contractFile))
		So(err, ShouldBeNil)
		want := Default()
		want.VM = VM{ID: "rennes-a-1", DataCentre: "rennes-a"}
		want.Listen = Listen{Caller: "127.0.0.1:7000", Operator: "127.0.0.1:7001", Peer: "127.0.0.1:7002"}
		want.State = State{Folder: "/var/lib/auburn;tack", Replica: true}
		want.Peers = []Peer{{ID: "rennes-b-1", DataCentre: "rennes-b", Address: "127.0.0.1:7102", Replica: true}}
		want.Platform.Address = "127.0.0.1:7900"
		want.Wave.Settle, want.Wave.NightEnds = 45*tackclock.Second, "04:30"
		want.Log.Format = LogJSON
		want.Burn.Windows = []Window{{Label: "fajr", Service: "dawn-svc", From: "20:30", To: "04:45"}}
		So(s, ShouldResemble, want)
	})
}

func TestEveryDefaultIsAllowed(t *testing.T) {
	for i := range table {
		e := &table[i]
		if e.defaultValue == "" {
			continue
		}
		if err := e.parse(e.defaultValue, e.field(new(Settings), new(familySection))); err != nil {
			t.Errorf("%s.%s: %v, %s", e.section, e.key, err, e.allowed())
		}
	}
}

// Load must report all problems of a file at once; the file has a mistake of every kind.
// If the check stops at the first problem, an operator who corrects one finds the next
// only at the next restart. If the INI library ignores what it does not understand, such
// as a repeated key, the wrong value is used silently.
func TestLoadListsEveryProblemAtOnce(t *testing.T) {
	text := strings.Join([]string{
		"stray = 1",
		"[vm]", `id = "rennes a"`, "data_center = rennes-a",
		"[listen]", "caller = localhost:7000", "operator = 127.0.0.1", "peer = 127.0.0.1:7002", "peer = 127.0.0.1:7003",
		"[wav]", "settle_ms = 5",
		"[wave]", "settle_ms = 30s", "prefer = tme", "night_ends = 25:00", "canary = 101", "canry = 1",
		"[state]", "replica = true",
		"[peer.x]", "address = 127.0.0.1:0", "replica",
		"[peer.y/z]", "data_centre = d", "address = [::1]:7",
		"[stop]", "linger_ms = 9000", "deadline_ms = 9000",
		"[stop]",
		"[replica]", "lease_ms = 1000", "heartbeat_ms = 501",
		"[burn]", "objective_percent = 100",
		"[window.fajr]", "from =", "two = 05:00",
		"[windo.isha]", "[window]", "[LOG]",
	}, "\n")
	file := write(t, text)
	_, err := Load(file)
	assertProblems(t, file, err,
		`peer.x.replica: the line has no '='`,
		`stray: the key is in no section`,
		`vm.id: "rennes a" holds ' '`,
		`vm.data_center: the key is unknown, did you mean "data_centre"`,
		`vm.data_centre: the key is missing`,
		`listen.caller: "localhost" is a host name, allowed is an IP number with a port`,
		`listen.operator: "127.0.0.1" has no port`,
		`listen.peer: the key is given twice`,
		`wav: the section is unknown, did you mean "wave"`,
		`wave.settle_ms: "30s" is not a whole number, allowed is 1 to 3600000 ms`,
		`wave.prefer: "tme" is not known, did you mean "time", allowed is buffer or time`,
		`wave.night_ends: "25:00" is not a time of day`,
		`wave.canary: 101 is out of range, allowed is 1 to 100`,
		`wave.canry: the key is unknown, did you mean "canary"`,
		`peer.x.address: "127.0.0.1:0" has port 0`,
		`peer.x.data_centre: the key is missing`,
		`peer.y/z: "y/z" holds '/'`,
		`stop: the section is given twice`,
		`burn.objective_percent: 100 is out of range, allowed is 50 to 99.999 percent`,
		`window.fajr.from: "" is not a time of day`,
		`window.fajr.two: the key is unknown, did you mean "to"`,
		`window.fajr.to: the key is missing`,
		`windo.isha: the section is unknown, did you mean "window.isha"`,
		`window: the section is unknown`,
		`LOG: the section is unknown, did you mean "log"`,
		`state.replica: a replica needs a folder`,
		`replica.lease_ms: 1000 is not below election_ms, which is 1000`,
		`replica.heartbeat_ms: 501 leaves no second heartbeat`,
		`stop.linger_ms: 9000 is not below deadline_ms`,
	)
}

func TestLoadChecksPeersTogether(t *testing.T) {
	text := contractFile + `
[peer.rennes-a-1]
data_centre = rennes-a
address = 127.0.0.1:7202
[peer.brest-1]
data_centre = brest
address = 127.0.0.1:7102
[peer.brest-2]
data_centre = brest
address = 127.0.0.1:7002
`
	file := write(t, strings.Replace(text, "operator = 127.0.0.1:7001", "operator = 0.0.0.0:7000", 1))
	_, err := Load(file)
	assertProblems(t, file, err,
		`peer.rennes-a-1: the VM itself is listed as a peer`,
		`peer.brest-1.address: 127.0.0.1:7102 is also the address of rennes-b-1`,
		`peer.brest-2.address: 127.0.0.1:7002 is also the address of rennes-a-1`,
		`listen.operator: 0.0.0.0:7000 is already used by listen.caller`,
	)
}

func TestLoadReportsAFileThatCannotBeRead(t *testing.T) {
	file := filepath.Join(t.TempDir(), "none.ini")
	_, err := Load(file)
	assertProblems(t, file, err, "the file cannot be read: no such file or directory")
	file = write(t, "[vm\nid = a")
	_, err = Load(file)
	var problems *ProblemsError
	if !errors.As(err, &problems) || !strings.HasPrefix(err.Error(), file+": the file cannot be parsed: ") {
		t.Fatalf("Load of an open section: %v", err)
	}
}

// assertProblems checks that err lists exactly the problems that start with want, in
// this order, each preceded by the name of the file.
func assertProblems(t *testing.T, file string, err error, want ...string) {
	t.Helper()
	var problems *ProblemsError
	if !errors.As(err, &problems) {
		t.Fatalf("got error %v, want a *ProblemsError", err)
	}
	lines := strings.Split(err.Error(), "\n")
	for i, line := range lines {
		if i >= len(want) || !strings.HasPrefix(line, file+": "+want[i]) {
			t.Errorf("problem %d: %s", i, line)
		}
	}
	if len(lines) != len(want) {
		t.Errorf("%d problems, want %d", len(lines), len(want))
	}
}

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "vm.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
