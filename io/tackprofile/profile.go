// Package tackprofile serves CPU and memory profiles of the running process, so that
// operators can find out what uses its time and memory.
package tackprofile

import (
	"net/http"
	"net/http/pprof"
)

const path = "/debug/pprof/"

// Handler returns a handler that serves profiles under /debug/pprof/ and passes all
// other requests to next.
func Handler(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, pprof.Index) // also serves the memory profiles by name
	mux.HandleFunc("GET "+path+"profile", pprof.Profile)
	mux.HandleFunc("GET "+path+"trace", pprof.Trace)
	mux.Handle("/", next)
	return mux
}
