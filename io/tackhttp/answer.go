package tackhttp

import (
	"encoding/json"
	"net/http"
	"strconv"

	"auburntack/core/tackclock"
	"auburntack/core/tackledger"
)

const (
	codeBadRequest     Code = "bad_request"
	codeUnknownService Code = "unknown_service"
	codeNotReady       Code = "not_ready"
	codeNoBackend      Code = "no_backend_server"
	codeAllRefused     Code = "all_refused"
	codeTooLarge       Code = "too_large"
	codeSlowBody       Code = "slow_body"
	codeBrokenBody     Code = "broken_body"
	codeOverloaded     Code = "overloaded"
	codeDeadline       Code = "deadline_passed"
	codeNoAnswer       Code = "no_answer_in_time"
	codeSilent         Code = "silent"
	codeBrokenAnswer   Code = "broken_answer"
	codeNoLedger       Code = "no_majority"
	codeKeyRunning     Code = "key_running"
	codeKeyMismatch    Code = "key_mismatch"
	codeKeyUnknown     Code = "key_outcome_unknown"
	codeAnswerNotKept  Code = "answer_not_kept"
	codeLedgerFull     Code = "ledger_full"
	codeReleased       Code = "claim_given_up"
	codeSetAside       Code = "set_aside"
	codeCallerGone     Code = "caller_gone"
)

// noRetryAfter means that no Retry-After header is sent.
const noRetryAfter tackclock.Duration = 0

type (
	// Code is the reason of an answer that auburntack itself generates.
	Code string

	// failure is an answer that auburntack itself generates, as opposed to one
	// of a backend server.
	failure struct {
		status        int
		code          Code
		message       string
		didNotRun     bool
		retryAfter    tackclock.Duration
		backendFailed bool // the backend server closed the connection or stopped responding while it ran the request
	}

	// failureBody is the JSON form of a failure.
	failureBody struct {
		Error failureDetail `json:"error"`
	}

	failureDetail struct {
		Code      Code   `json:"code"`
		Message   string `json:"message"`
		DidNotRun bool   `json:"did_not_run"`
	}
)

// Error implements error.
func (f *failure) Error() string {
	return string(f.code) + ": " + f.message
}

// refusal returns a failure of a request that certainly did not run.
func refusal(status int, code Code, message string, retryAfter tackclock.Duration) *failure {
	return &failure{status: status, code: code, message: message, didNotRun: true, retryAfter: retryAfter}
}

// unknownOutcome returns a failure of a request that may have run.
func unknownOutcome(status int, code Code, message string) *failure {
	return &failure{status: status, code: code, message: message}
}

// outcome returns the outcome of the request that the failure implies.
func (f *failure) outcome() tackledger.Outcome {
	if f.didNotRun {
		return tackledger.OutcomeDidNotRun
	}
	return tackledger.OutcomeUnknown
}

// write writes the failure to the caller.
func (f *failure) write(w http.ResponseWriter) {
	body, err := json.Marshal(failureBody{failureDetail{f.code, f.message, f.didNotRun}})
	if err != nil {
		panic(err) // failureBody can always be marshaled
	}
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	h[headerOutcome] = []string{f.outcome().String()}
	if after := f.retryAfterOrDefault(); after != noRetryAfter {
		h[headerRetryAfter] = []string{retrySeconds(after)}
	}
	w.WriteHeader(f.status)
	w.Write(body)
}

// retryAfterOrDefault returns the time to wait before a retry. It is never zero
// for a 429 or a 503, which must carry Retry-After.
func (f *failure) retryAfterOrDefault() tackclock.Duration {
	if f.retryAfter == noRetryAfter && (f.status == http.StatusTooManyRequests || f.status == http.StatusServiceUnavailable) {
		return tackclock.Second
	}
	return f.retryAfter
}

// retrySeconds returns d in whole seconds, rounded up.
func retrySeconds(d tackclock.Duration) string {
	return strconv.FormatInt(int64((d+tackclock.Second-1)/tackclock.Second), 10)
}
