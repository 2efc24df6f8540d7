package tackwave

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a wave that was stopped at the end of a night and is stopped
// again as soon as it is resumed a day later, because the end of the night was
// computed from the start of the wave.
func TestResumedWaveHasANightOfItsOwn(t *testing.T) {
	cfg := Settings{Night: 4 * tackclock.Hour}
	started := tackclock.Time(22 * tackclock.Hour)
	resumed := started.Add(tackclock.Day)
	w := tackfleet.Wave{Started: started, Resumed: resumed}
	Convey("It must end in the night in which it was resumed", t, func() {
		So(cfg.ends(&w), ShouldEqual, resumed.Add(4*tackclock.Hour))
	})
}
