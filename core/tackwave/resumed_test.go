package tackwave

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"

	. "github.com/smartystreets/goconvey/convey"
)

// Symptom: a wave that stopped at the end of its night stops again as soon as
// it is resumed the next night.
// Sequence: started in one night, resumed a day later.
// Cause: the end of the night counted from the start of the wave.
func TestResumedWaveHasANightOfItsOwn(t *testing.T) {
	cfg := Settings{Night: 4 * tackclock.Hour}
	started := tackclock.Time(22 * tackclock.Hour)
	resumed := started.Add(tackclock.Day)
	w := tackfleet.Wave{Started: started, Resumed: resumed}
	Convey("It must end in the night in which it was resumed", t, func() {
		So(cfg.ends(&w), ShouldEqual, resumed.Add(4*tackclock.Hour))
	})
}
