package tackstandin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

const (
	announceAtMost = time.Second
	callLimit      = 2 * time.Second
)

// announceReply is the answer to an announcement.
type announceReply struct {
	Accepted     bool  `json:"accepted"`
	NextWithinMS int64 `json:"next_within_ms"`
}

var client = &http.Client{Timeout: callLimit}

// announceUntil announces until stop is closed, each time in half of the time
// that the last answer allows.
func announceUntil(stop <-chan struct{}, announce func() time.Duration) {
	for {
		next := announce() / 2
		if next <= 0 {
			next = announceAtMost / 4
		}
		select {
		case <-stop:
			return
		case <-time.After(next):
		}
	}
}

// announceTo sends an announcement to the first of the operators' ports that
// takes it, and returns how soon the next one is due.
func announceTo(operators []string, body []byte) time.Duration {
	for _, operator := range operators {
		if next, ok := post(operator, body); ok {
			return next
		}
	}
	return announceAtMost / 4
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
