package tackvm

import (
	"context"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
	"auburntack/core/tackshare"
)

// shareInterval is how often slots are redistributed while no request is waiting.
const shareInterval = 100 * tackclock.Millisecond

// startSharing starts to share the slots of backend servers and the quotas with the
// other peers. From then on only the loop accesses the sharer.
func (v *VM) startSharing(now tackclock.Time, members []tackreplica.Member) {
	v.sharer = tackshare.Sharer{
		Self:     v.cfg.VM.ID,
		Home:     v.cfg.VM.DataCentre,
		Epoch:    uint64(now),
		Consumer: v.caller,
	}
	v.sharer.SetPeers(now, peerLocations(members))
	v.sharer.SetTable(now, v.routes.Load())
}

func peerLocations(members []tackreplica.Member) []tackshare.PeerLocation {
	list := make([]tackshare.PeerLocation, 0, len(members))
	for _, m := range members {
		list = append(list, tackshare.PeerLocation{Peer: m.Peer, DataCentre: m.DataCentre})
	}
	return list
}

func (v *VM) tickShare(now tackclock.Time) {
	if now.Sub(v.lastShareTick) < shareInterval && !v.caller.Waiting() {
		return
	}
	v.lastShareTick = now
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
