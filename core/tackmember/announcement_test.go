package tackmember

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

const serverJSON = `{"backend_server":"names-api-3","vm":"w-17","service":"names-api","data_centre":"rennes-a","rack":"r4","address":"127.0.0.1:9003","slots":8,"connections":64,"incarnation":1,"state":"serving"}`

func assertField(t *testing.T, err error, field string) {
	t.Helper()
	convey.Convey("the error names "+field, t, func() {
		var f *FieldError
		convey.So(errors.As(err, &f), convey.ShouldBeTrue)
		convey.So(f.Field, convey.ShouldEqual, field)
	})
}

// Guards against invalid announcements from a faulty backend server that would be spread to
// every peer, where they misroute requests, corrupt tables or saturate the links.
func TestAnnounceRejectsInvalidFields(t *testing.T) {
	cases := []struct{ field, old, new string }{
		{"backend_server", "names-api-3", ""},
		{"vm", "w-17", strings.Repeat("w", maxName+1)},
		{"service", `"names-api"`, `"names\u0007api"`},
		{"data_centre", "rennes-a", ""},
		{"rack", "r4", `r\n4`},
		{"address", "127.0.0.1:9003", "localhost:9003"},
		{"address", "127.0.0.1:9003", "127.0.0.1:0"},
		{"address", "127.0.0.1:9003", "0.0.0.0:9003"},
		{"slots", `"slots":8`, `"slots":0`},
		{"connections", `"connections":64`, `"connections":-1`},
		{"state", "serving", "resting"},
	}
	for _, c := range cases {
		t.Run(c.field+"="+c.new[:min(len(c.new), 12)], func(t *testing.T) {
			var a Announcement
			if err := json.Unmarshal([]byte(strings.Replace(serverJSON, c.old, c.new, 1)), &a); err != nil {
				t.Fatal(err)
			}
			var d Directory
			_, err := d.Announce(0, a)
			assertField(t, err, c.field)
		})
	}
	t.Run("neither", func(t *testing.T) { assertField(t, Announcement{}.Validate(), "backend_server") })
}
