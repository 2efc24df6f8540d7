package tackhttp

import (
	"net/http"
	"net/textproto"
	"strings"
)

const (
	headerOutcome    = "Auburntack-Outcome"
	headerRequestID  = "Auburntack-Request-Id"
	headerTimeout    = "Auburntack-Timeout-Ms"
	headerTeam       = "Auburntack-Team"
	headerClass      = "Auburntack-Class"
	headerKey        = "Idempotency-Key"
	headerRetryAfter = "Retry-After"

	ownPrefix = "Auburntack-"
)

// hopByHop reports whether a header field is for one connection only and is
// never passed on.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// connectionNames returns the fields that Connection declares to be for one
// connection only, in canonical form.
func connectionNames(h http.Header) []string {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	var names []string
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return names
}

// contains reports whether names has name. The lists are short.
func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// requestHeader returns what of a caller's header goes to a backend server. Of
// the fields of auburntack itself only those that the caller is to set pass; a
// caller could otherwise give a dispatch the id of another.
func requestHeader(h http.Header) http.Header {
	named := connectionNames(h)
	out := make(http.Header, len(h)+2)
	for name, values := range h {
		switch {
		case hopByHop(name) || contains(named, name):
		case name == "Expect":
			// The caller port has answered it or will; a backend server that
			// answered it too would make two.
		case strings.HasPrefix(name, ownPrefix) && name != headerTeam && name != headerClass:
		default:
			out[name] = values
		}
	}
	// The transport would add its own name where the caller gave none.
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""}
	}
	return out
}

// copyAnswerHeader adds what of a backend server's header goes to the caller
// to dst. Fields of auburntack itself are left out: a backend server could
// otherwise say in our name that a request did not run.
func copyAnswerHeader(dst, src http.Header) {
	named := connectionNames(src)
	for name, values := range src {
		if passesBack(name) && !contains(named, name) {
			dst[name] = values
		}
	}
}

// passesBack reports whether a field of an answer may go to the caller.
func passesBack(name string) bool {
	return !hopByHop(name) && !strings.HasPrefix(name, ownPrefix)
}
