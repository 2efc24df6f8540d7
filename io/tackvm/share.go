package tackvm

import (
	"context"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
	"auburntack/core/tackshare"
)

// shareEvery is how often the slots are shared anew while no request waits.
const shareEvery = 100 * tackclock.Millisecond

// startSharing begins to share the slots of the backend servers and of the
// quotas with the other peers. Only the loop touches the sharer from here on.
func (v *VM) startSharing(now tackclock.Time, members []tackreplica.Member) {
	v.sharer = tackshare.Sharer{
		Self:  v.cfg.VM.ID,
		Home:  v.cfg.VM.DataCentre,
		Epoch: uint64(now),
		Consumer:  v.caller,
	}
	v.sharer.SetPeers(now, neighbours(members))
	v.sharer.SetTable(now, v.routes.Load())
}

func neighbours(members []tackreplica.Member) []tackshare.PeerLocation {
	list := make([]tackshare.PeerLocation, 0, len(members))
	for _, m := range members {
		list = append(list, tackshare.PeerLocation{Peer: m.Peer, DataCentre: m.DataCentre})
	}
	return list
}

func (v *VM) tickShare(now tackclock.Time) {
	if now.Sub(v.shared) < shareEvery && !v.caller.Waiting() {
		return
	}
	v.shared = now
	v.sendShares(v.sharer.Tick(now))
}

func (v *VM) sendShares(out []tackshare.Outgoing) {
	for _, o := range out {
		v.send(o.To, kindShare, o.Frame)
	}
}

func (v *VM) onShare(from tackid.Peer, body []byte) {
	var f tackshare.Frame
	if !v.decode(from, body, &f) {
		return
	}
	v.loop.Post(context.Background(), func() { v.sendShares(v.sharer.Receive(v.clock.Now(), from, f)) })
}
