// Package tackprofile serves processor and memory profiles of the running process, for
// operators who look for what takes its time.
package tackprofile

import (
	"net/http"
	"net/http/pprof"
)

const path = "/debug/pprof/"

// Beside returns a handler that serves profiles under /debug/pprof/ and has next serve
// everything else.
func Beside(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, pprof.Index) // the memory profiles by their names
	mux.HandleFunc("GET "+path+"profile", pprof.Profile)
	mux.HandleFunc("GET "+path+"trace", pprof.Trace)
	mux.Handle("/", next)
	return mux
}
