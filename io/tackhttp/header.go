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

// hopByHop reports whether a header field is hop-by-hop, so that it is never
// passed on.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// connectionOptions returns, in canonical form, the names of the fields that
// Connection declares to be hop-by-hop.
func connectionOptions(h http.Header) []string {
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

// contains reports whether names contains name. The lists are short.
func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// requestHeader returns the part of a caller's header that is sent to a backend
// server. Of the fields with ownPrefix only those that callers may set are
// passed on; otherwise a caller could give its request the id of another
// dispatch.
func requestHeader(h http.Header) http.Header {
	named := connectionOptions(h)
	out := make(http.Header, len(h)+2)
	for name, values := range h {
		switch {
		case hopByHop(name) || contains(named, name):
		case name == "Expect":
			// The caller port itself sends 100 Continue. If the backend server
			// did so too, the caller would get two.
		case strings.HasPrefix(name, ownPrefix) && name != headerTeam && name != headerClass:
		default:
			out[name] = values
		}
	}
	// The transport would add its own User-Agent if the caller sent none.
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""}
	}
	return out
}

// copyAnswerHeader copies to dst the part of a backend server's header that is
// passed on to the caller. Fields with ownPrefix are omitted; otherwise a
// backend server could claim in the name of auburntack that a request did not
// run.
func copyAnswerHeader(dst, src http.Header) {
	named := connectionOptions(src)
	for name, values := range src {
		if passesToCaller(name) && !contains(named, name) {
			dst[name] = values
		}
	}
}

// passesToCaller reports whether a field of an answer may be passed on to the
// caller.
func passesToCaller(name string) bool {
	return !hopByHop(name) && !strings.HasPrefix(name, ownPrefix)
}
