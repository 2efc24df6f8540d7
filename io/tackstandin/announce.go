package tackstandin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

const (
	maxAnnounceInterval = time.Second
	callTimeout         = 2 * time.Second
)

// announceReply is the answer to an announcement.
type announceReply struct {
	Accepted     bool  `json:"accepted"`
	NextWithinMS int64 `json:"next_within_ms"`
}

var client = &http.Client{Timeout: callTimeout}

// announceUntil calls announce until stop is closed, each time after half of the
// interval that announce returned.
func announceUntil(stop <-chan struct{}, announce func() time.Duration) {
	for {
		next := announce() / 2
		if next <= 0 {
			next = maxAnnounceInterval / 4
		}
		select {
		case <-stop:
			return
		case <-time.After(next):
		}
	}
}

// announceTo sends an announcement to the operator ports in turn until one
// accepts it, and returns the time until the next announcement is due.
func announceTo(operators []string, body []byte) time.Duration {
	for _, operator := range operators {
		if next, ok := post(operator, body); ok {
			return next
		}
	}
	return maxAnnounceInterval / 4
}

func post(operator string, body []byte) (time.Duration, bool) {
	r, err := client.Post("http://"+operator+"/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, false
	}
	defer r.Body.Close()
	var reply announceReply
	if json.NewDecoder(r.Body).Decode(&reply) != nil || !reply.Accepted {
		return 0, false
	}
	return time.Duration(reply.NextWithinMS) * time.Millisecond, true
}
