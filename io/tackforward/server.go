// Package tackforward forwards callers' requests from the entry VMs, which are stateless, to
// the control VM that is the leader. Messages are CBOR in HTTP requests on persistent
// connections. Every request may be sent again, since jobs are identified by their ids.
package tackforward

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackcbor"
	"auburntack/core/tackid"
	"auburntack/core/tackwork"
	"auburntack/io/tackport"
)

const (
	requestPath = "/request"
	joinPath    = "/join"
	leaderPath  = "/leader"
	// maxBytes bounds one message. The body of a job is limited by its queue to far less.
	maxBytes    = 4 << 20
	contentType = "application/cbor"
)

type (
	// Control is a control VM as entry VMs and other control VMs call it.
	Control interface {
		Do(ctx context.Context, r *tackwork.Request) tackwork.Answer
		// LeaderStatus returns Done on the leader; other VMs name the leader.
		LeaderStatus() tackwork.Answer
		Join(p tackid.Peer, dc tackid.DataCentre)
		Peers() []tackid.Peer
		Leader() tackid.Peer
	}

	// join is a request to become a member of the control VMs.
	join struct {
		Peer       tackid.Peer       `cbor:"1,keyasint"`
		DataCentre tackid.DataCentre `cbor:"2,keyasint"`
	}

	// joined is the answer to join. Leader is empty if the answering VM knows none; Control
	// contains the control VMs that it knows.
	joined struct {
		Leader  tackid.Peer   `cbor:"1,keyasint,omitempty"`
		Control []tackid.Peer `cbor:"2,keyasint"`
	}

	handler struct {
		control Control
		port    *tackport.Port
		log     logrus.FieldLogger
	}
)

// NewHandler returns the handler for calls from entry VMs, and from control VMs that want to
// become members. It serves the port, which may be nil.
func NewHandler(control Control, port *tackport.Port, log logrus.FieldLogger) http.Handler {
	h := &handler{control: control, port: port, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+requestPath, h.request)
	mux.HandleFunc("POST "+joinPath, h.join)
	mux.HandleFunc("POST "+leaderPath, h.leader)
	return mux
}

func (h *handler) request(w http.ResponseWriter, r *http.Request) {
	var req tackwork.Request
	if !h.read(w, r, &req) {
		return
	}
	h.write(w, h.control.Do(r.Context(), &req))
}

func (h *handler) join(w http.ResponseWriter, r *http.Request) {
	var j join
	if !h.read(w, r, &j) {
		return
	}
	h.control.Join(j.Peer, j.DataCentre)
	h.write(w, joined{Leader: h.control.Leader(), Control: h.control.Peers()})
}

func (h *handler) leader(w http.ResponseWriter, _ *http.Request) {
	h.write(w, h.control.LeaderStatus())
}

func (h *handler) read(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := h.port.ReadBody(w, r, maxBytes)
	if err != nil {
		w.WriteHeader(tackport.Status(err))
		return false
	}
	h.port.Decode(len(data), func() { err = tackcbor.UnmarshalBounded(data, into) })
	if err != nil {
		h.log.WithError(err).WithField("remote", r.RemoteAddr).Warn("request cannot be decoded")
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func (h *handler) write(w http.ResponseWriter, answer any) {
	data, err := tackcbor.Marshal(answer)
	if err != nil {
		h.log.WithError(err).Error("encoding the answer failed")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	if _, err := w.Write(data); err != nil {
		h.log.WithError(err).Debug("answer not sent")
	}
}
