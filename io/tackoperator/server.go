// Package tackoperator serves the operators' port: queries and commands of operators,
// announcements of backend servers and workers, health checks of the load balancer, and
// metrics.
package tackoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"time"

	"auburntack/core/tackburn"
	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackmember"
	"auburntack/core/tackquery"
	"auburntack/io/tackport"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	bodyLimit     = 64 << 10
	headerTimeout = 5 * time.Second
	bodyTimeout   = 10 * time.Second

	headerCommandID = "Auburntack-Command-Id"
	headerExpect    = "Auburntack-Expect-Revision"
	headerOutcome   = "Auburntack-Outcome"

	outcomeNotRun  = "did_not_run"
	outcomeUnknown = "unknown"
)

type (
	// System is the VM that handles the requests of the port.
	System interface {
		Do(ctx context.Context, c Command) (CommandResult, error)
		Ask(ctx context.Context, text string) (Answer, error)
		Announce(a tackmember.Announcement) (tackmember.Reply, error)
		Withdraw(b tackid.BackendServer, n tackid.Incarnation) bool
		Health() Health
		Burn() tackburn.Report
	}

	// Command is a command as sent by an operator. An empty ID or a zero Expect means
	// that the operator gave none.
	Command struct {
		Text   string
		ID     tackid.CommandID
		Expect tackid.Revision
	}

	// CommandResult is the result of a command that was accepted at Revision. It is in force on
	// all peers but those in NotInForce, which lost their lease before they applied it.
	CommandResult struct {
		Revision   tackid.Revision
		NotInForce []tackid.Peer
	}

	// Answer is the answer to a query. Confirmed is false if the VM cannot be sure that
	// its state is up to date.
	Answer struct {
		Confirmed bool
		Revision  tackid.Revision
		Table     tackquery.Table
	}

	// Health is the status of the VM, for the load balancer and for operators.
	Health struct {
		Ready    bool            `json:"ready"`
		Leased   bool            `json:"leased"`
		Leader   tackid.Peer     `json:"leader"`
		Role     string          `json:"role"`
		Revision tackid.Revision `json:"revision"`
		Reason   string          `json:"reason,omitempty"`
	}

	// NotRunError reports that nothing was done, and when to retry.
	NotRunError struct {
		Reason     string
		RetryAfter tackclock.Duration
	}

	// UnknownError reports that the command was sent and no outcome arrived.
	UnknownError struct {
		Err error
	}

	server struct {
		system   System
		port     *tackport.Port
		registry metrics.Registry
		log      *logrus.Entry
	}

	doneBody struct {
		Accepted   bool            `json:"accepted"`
		Revision   tackid.Revision `json:"revision"`
		NotInForce []tackid.Peer   `json:"not_in_force"`
	}

	answerBody struct {
		Confirmed bool            `json:"confirmed"`
		Revision  tackid.Revision `json:"revision"`
		Columns   []string        `json:"columns"`
		Rows      [][]any         `json:"rows"`
	}

	errorBody struct {
		Error errorDetail `json:"error"`
	}

	errorDetail struct {
		Code      string          `json:"code"`
		Message   string          `json:"message"`
		DidNotRun bool            `json:"did_not_run"`
		Line      int             `json:"line,omitempty"`
		Column    int             `json:"column,omitempty"`
		Expected  string          `json:"expected,omitempty"`
		Field     string          `json:"field,omitempty"`
		Revision  tackid.Revision `json:"revision,omitempty"`
	}

	announceBody struct {
		Accepted     bool  `json:"accepted"`
		NextWithinMS int64 `json:"next_within_ms"`
	}

	withdrawal struct {
		BackendServer tackid.BackendServer `json:"backend_server"`
		Incarnation   tackid.Incarnation   `json:"incarnation"`
	}
)

// Error implements error.
func (e *NotRunError) Error() string {
	return "operator: not done: " + e.Reason
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("operator: outcome unknown: %v", e.Err)
}

// Unwrap returns the underlying error.
func (e *UnknownError) Unwrap() error {
	return e.Err
}

// NewServer returns an HTTP server of the operators' port that passes requests to
// system. It must be served on a listener of the port.
func NewServer(system System, port *tackport.Port, registry metrics.Registry, log *logrus.Entry) *http.Server {
	s := &server{system: system, port: port, registry: registry, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", s.do)
	mux.HandleFunc("POST /ask", s.ask)
	mux.HandleFunc("POST /announce", s.announce)
	mux.HandleFunc("POST /withdraw", s.withdraw)
	mux.HandleFunc("GET /livez", s.livez)
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /report/burn", s.burn)
	h := port.NewServer(mux)
	h.ReadHeaderTimeout, h.ReadTimeout, h.IdleTimeout = headerTimeout, bodyTimeout, 2*time.Minute
	h.MaxHeaderBytes = bodyLimit
	return h
}

func (s *server) do(w http.ResponseWriter, r *http.Request) {
	text, ok := s.readText(w, r)
	if !ok {
		return
	}
	command := Command{Text: text, ID: tackid.CommandID(r.Header.Get(headerCommandID))}
	if expect := r.Header.Get(headerExpect); expect != "" {
		n, err := strconv.ParseUint(expect, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, errorDetail{
				Code:      "bad_request",
				Message:   headerExpect + " is not a revision, want a whole number",
				DidNotRun: true,
				Field:     headerExpect,
			})
			return
		}
		command.Expect = tackid.Revision(n)
	}
	done, err := s.system.Do(r.Context(), command)
	if err != nil {
		writeFailure(w, err)
		return
	}
	body := doneBody{Accepted: true, Revision: done.Revision, NotInForce: done.NotInForce}
	if body.NotInForce == nil {
		body.NotInForce = []tackid.Peer{}
	}
	writeJSON(w, http.StatusOK, body)
}

func (s *server) ask(w http.ResponseWriter, r *http.Request) {
	text, ok := s.readText(w, r)
	if !ok {
		return
	}
	answer, err := s.system.Ask(r.Context(), text)
	if err != nil {
		writeFailure(w, err)
		return
	}
	body := answerBody{
		Confirmed: answer.Confirmed,
		Revision:  answer.Revision,
		Columns:   answer.Table.Columns,
		Rows:      answer.Table.Rows,
	}
	if body.Rows == nil {
		body.Rows = [][]any{}
	}
	writeJSON(w, http.StatusOK, body)
}

func (s *server) announce(w http.ResponseWriter, r *http.Request) {
	var a tackmember.Announcement
	if !s.readJSON(w, r, &a) {
		return
	}
	reply, err := s.system.Announce(a)
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, announceBody{Accepted: reply.Accepted, NextWithinMS: int64(reply.NextWithin)})
}

func (s *server) withdraw(w http.ResponseWriter, r *http.Request) {
	var body withdrawal
	if !s.readJSON(w, r, &body) {
		return
	}
	writeJSON(w, http.StatusOK, announceBody{Accepted: s.system.Withdraw(body.BackendServer, body.Incarnation)})
}

func (s *server) livez(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Alive bool `json:"alive"`
	}{true})
}

func (s *server) readyz(w http.ResponseWriter, r *http.Request) {
	health := s.system.Health()
	status := http.StatusOK
	if !health.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, health)
}

func (s *server) metrics(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.registry, w)
}

func (s *server) burn(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.system.Burn())
}

func (s *server) readText(w http.ResponseWriter, r *http.Request) (string, bool) {
	body, err := s.port.ReadBody(w, r, bodyLimit)
	if err != nil {
		writeBodyError(w, err)
		return "", false
	}
	return string(body), true
}

func (s *server) readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := s.port.ReadBody(w, r, bodyLimit)
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(body)).Decode(into)
	}
	if err == nil {
		return true
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		writeError(w, http.StatusBadRequest, errorDetail{
			Code:      "bad_request",
			Message:   fmt.Sprintf("%s is a %s, want a %s", wrongType.Field, wrongType.Value, jsonKind(wrongType.Type.Kind())),
			DidNotRun: true,
			Field:     wrongType.Field,
		})
		return false
	}
	writeBodyError(w, err)
	return false
}

// jsonKind returns the name of the JSON type that fits a Go kind.
func jsonKind(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Struct, reflect.Map:
		return "object"
	case reflect.Slice, reflect.Array:
		return "list"
	default:
		return "number"
	}
}

func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *tackport.TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, errorDetail{
			Code:      "too_large",
			Message:   fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit),
			DidNotRun: true,
		})
		return
	case errors.As(err, new(*tackport.SlowError)):
		writeError(w, http.StatusRequestTimeout, errorDetail{Code: "slow_body", Message: err.Error(), DidNotRun: true})
		return
	case tackport.IsRefused(err):
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, errorDetail{Code: "overloaded", Message: err.Error(), DidNotRun: true})
		return
	}
	writeError(w, http.StatusBadRequest, errorDetail{
		Code:      "bad_request",
		Message:   "the body can't be read: " + err.Error(),
		DidNotRun: true,
	})
}

// writeFailure writes the response for err, with the status and the error code that the
// HTTP API defines for it.
func writeFailure(w http.ResponseWriter, err error) {
	var syntax *tackcommand.SyntaxError
	var missing *tackquery.NotFoundError
	var field *tackmember.FieldError
	var refused *tackfleet.RefusedError
	var notRun *NotRunError
	switch {
	case errors.As(err, &syntax):
		writeSyntaxError(w, syntax.Line, syntax.Column, syntax.Expected, err)
	case errors.As(err, &missing):
		writeError(w, http.StatusNotFound, errorDetail{Code: string(tackfleet.CodeMissing), Message: err.Error(), DidNotRun: true})
	case errors.As(err, &field):
		writeError(w, http.StatusBadRequest, errorDetail{Code: "bad_request", Message: err.Error(), DidNotRun: true, Field: field.Field})
	case errors.As(err, &refused):
		writeError(w, http.StatusConflict, errorDetail{Code: string(refused.Code), Message: refused.Reason, DidNotRun: true, Revision: refused.At})
	case errors.As(err, &notRun):
		w.Header().Set(headerOutcome, outcomeNotRun)
		w.Header().Set("Retry-After", strconv.FormatInt(int64((notRun.RetryAfter+tackclock.Second-1)/tackclock.Second), 10))
		writeError(w, http.StatusServiceUnavailable, errorDetail{Code: outcomeNotRun, Message: notRun.Reason, DidNotRun: true})
	default:
		w.Header().Set(headerOutcome, outcomeUnknown)
		writeError(w, http.StatusGatewayTimeout, errorDetail{Code: outcomeUnknown, Message: "no outcome came back in time, send the command again with the same id"})
	}
}

func writeSyntaxError(w http.ResponseWriter, line, column int, expected []string, err error) {
	writeError(w, http.StatusBadRequest, errorDetail{
		Code:      "syntax",
		Message:   err.Error(),
		DidNotRun: true,
		Line:      line,
		Column:    column,
		Expected:  strings.Join(expected, " or "),
	})
}

func writeError(w http.ResponseWriter, status int, detail errorDetail) {
	writeJSON(w, status, errorBody{Error: detail})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
