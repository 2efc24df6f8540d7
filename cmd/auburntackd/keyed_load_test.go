package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	keyedCallers     = 16
	maxKeyedAttempts = 60 // per request
	retryDelay       = 100 * time.Millisecond
)

// keyedLoad sends requests with idempotency keys, repeats them through one
// daemon after another, and records the answers.
type keyedLoad struct {
	mu       sync.Mutex
	answered map[string]string // body of the last answer, by key
	refused  map[string]bool   // keys whose every attempt was answered did_not_run
	changed  []string          // keys with two different answers
	unknown  int
	stop     atomic.Bool
	running  sync.WaitGroup
}

func (l *keyedLoad) start(s *site) {
	l.answered, l.refused = make(map[string]string), make(map[string]bool)
	client := &http.Client{Timeout: 10 * time.Second}
	for c := range keyedCallers {
		l.running.Add(1)
		go func() {
			defer l.running.Done()
			for i := 0; !l.stop.Load(); i++ {
				l.run(s, client, fmt.Sprintf("notice-%d-%d", c, i), c+i)
			}
		}()
	}
}

// run repeats one request until it has been answered twice.
func (l *keyedLoad) run(s *site, client *http.Client, key string, first int) {
	refused := true
	answers := 0
	for try := range maxKeyedAttempts {
		entry := s.daemons[(first+try)%len(s.daemons)].Caller
		outcome, body := sendKeyed(client, entry, key)
		refused = refused && outcome == "did_not_run"
		switch outcome {
		case "answered":
			l.record(key, body)
			if answers++; answers == 2 {
				return
			}
			continue
		case "unknown":
			l.mu.Lock()
			l.unknown++
			l.mu.Unlock()
		}
		time.Sleep(retryDelay)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[key] = refused
}

func (l *keyedLoad) record(key, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.answered[key]; ok && old != body {
		l.changed = append(l.changed, key)
	}
	l.answered[key] = body
}

// sendKeyed sends a request with a key. The outcome is empty if the daemon
// could not be reached or the answer was cut.
func sendKeyed(client *http.Client, entry, key string) (outcome, body string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+entry+"/names-api/notice", strings.NewReader(key))
	if err != nil {
		return "", ""
	}
	r.Header.Set("Idempotency-Key", key)
	answer, err := client.Do(r)
	if err != nil {
		return "", ""
	}
	defer answer.Body.Close()
	got, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", ""
	}
	return answer.Header.Get("Auburntack-Outcome"), string(got)
}

// Guards against work with an idempotency key that runs twice, and against a
// repeat that gets another answer. Callers repeat requests with keys through
// every daemon while the leader, and then its successor, is killed and started
// again. A request must not be sent before its record is on a majority, a
// record must not be lost with a daemon, and an unfinished record must not be
// taken for one that did not run.
func TestKeysRunOnceThroughKills(t *testing.T) {
	s := newSite(t, 4)
	var load keyedLoad
	load.start(s)
	s.await(t, "requests with keys to be answered", func() bool { return load.count() > 50 })
	for range 2 {
		dead, _ := s.leader(t)
		dead.Kill()
		before := load.count()
		s.await(t, "requests to be answered after the leader was killed", func() bool { return load.count() > before+50 })
		must(t, dead.Start(waitTimeout))
	}
	load.stop.Store(true)
	load.running.Wait()
	t.Logf("%d keys answered, %d answers with outcome unknown", len(load.answered), load.unknown)
	Convey("No key ran twice or got two different answers, and no refused key ran", t, func() {
		So(s.tally.RepeatedKeys(), ShouldEqual, 0)
		So(load.changed, ShouldBeEmpty)
		for key, refused := range load.refused {
			if refused {
				So(s.tally.OfKey(key), ShouldEqual, 0)
			}
		}
	})
}

func (l *keyedLoad) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answered)
}
