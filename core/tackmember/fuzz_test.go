package tackmember

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Guards against a malformed message that crashes another peer, because a part, a version
// or a name is used without validation.
func FuzzReceive(f *testing.F) {
	sender := newCluster(2, 1)
	sender.announce(0, sender.server(1, 0, 1, StateServing))
	for range 40 {
		for _, o := range sender.dirs[0].Tick(sender.now) {
			data, err := cbor.Marshal(o.Message)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
		sender.now = sender.now.Add(step)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		c := newCluster(2, 1)
		c.announce(1, c.server(2, 0, 1, StateServing))
		c.dirs[1].Receive(c.now, c.ids[0], m)
		c.run(step)
		if c.dirs[1].BackendServers(); !c.announce(1, c.server(3, 0, 1, StateServing)).Accepted {
			t.Error("an announcement is refused")
		}
	})
}
