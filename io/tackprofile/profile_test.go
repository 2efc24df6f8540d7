package tackprofile

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

func assertStatus(t *testing.T, h http.Handler, path string, want int) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	if w.Code != want {
		t.Errorf("GET %s is answered %d, want %d", path, w.Code, want)
	}
}

func TestProfilesBesideOtherPages(t *testing.T) {
	h := Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
	assertStatus(t, h, "/debug/pprof/heap", http.StatusOK)
	assertStatus(t, h, "/debug/pprof/", http.StatusOK)
	assertStatus(t, h, "/metrics", http.StatusTeapot)
}
