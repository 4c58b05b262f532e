package waxfleet

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Code is a numeric result code. docs/errors.md lists all codes.
type Code int

// Result codes. 1xxx: invalid requests; 2xxx: rejected requests; 3xxx: unknown or
// incomplete outcomes; 4xxx: configuration; 5xxx: settings; 6xxx: platform;
// 7xxx: load tool;
// 8xxx: rollouts of software versions, in logs only.
const (
	CodeOK Code = 0

	CodeMalformedBody  Code = 1001
	CodeBodyTooLarge   Code = 1002
	CodeHeaderTooLarge Code = 1003
	CodeUnauthorized   Code = 1004
	CodeUnknownTier    Code = 1005
	CodeUnknownModel   Code = 1006
	CodeUnknownService Code = 1007
	CodeKeyRequired    Code = 1008
	CodeKeyFormat      Code = 1009
	CodeKeyExpired     Code = 1010
	CodeKeyReused      Code = 1011
	CodeNotAllowed     Code = 1012
	CodeKeyInFuture    Code = 1013
	CodeUnknownPath    Code = 1014
	CodeUnknownRoute   Code = 1015
	CodeBadRequest     Code = 1016
	CodeRequestTimeout Code = 1017

	CodeOverloaded        Code = 2001
	CodeDeadlineWouldPass Code = 2002
	CodeDomainOut         Code = 2003
	CodeNoBackendServer   Code = 2004
	CodeNotOwner          Code = 2005
	CodeClaimsUnavailable Code = 2006
	CodeRequestBanned     Code = 2007
	CodeQueueFull         Code = 2009
	CodePeerUnreachable   Code = 2010
	CodeBackendLeaving    Code = 2011
	CodeConfigStale       Code = 2012
	CodeStopping          Code = 2013
	CodePromptBanned      Code = 2014
	CodeOriginUnknown     Code = 2015
	CodeRouterFull        Code = 2016
	CodeLoadShed          Code = 2017
	CodePromptTooLarge    Code = 2018

	CodeOutcomeUnknown   Code = 3001
	CodeStreamIncomplete Code = 3002
	CodeBackendDied      Code = 3003
	CodeAnswerMismatch   Code = 3004
	CodeStillRunning     Code = 3005
	CodeResultNotKept    Code = 3006
	CodeCancelled        Code = 3007
	CodeBackendError     Code = 3008
	CodeTimeout          Code = 3009

	CodeConfigInvalid        Code = 4001
	CodeConfigConflict       Code = 4002
	CodeConfigUnknownSection Code = 4003
	CodeConfigTooLarge       Code = 4004
	CodeConfigUnavailable    Code = 4005

	CodeSettingInvalid Code = 5001

	CodePlatformUnreachable Code = 6001
	CodeObjectNotFound      Code = 6002
	CodeObjectConflict      Code = 6003
	CodePlatformRateLimited Code = 6004
	CodePlatformUnknown     Code = 6005
	CodeHistoryGone         Code = 6006
	CodeObjectUnreadable    Code = 6007

	CodeTraceLineInvalid Code = 7001
	CodeTraceUnreadable  Code = 7002

	CodeRolloutInvalid   Code = 8001
	CodeRolloutStep      Code = 8002
	CodeRolloutHeld      Code = 8003
	CodeRolloutLeaseLost Code = 8004
	CodeRolloutRecord    Code = 8005

	CodeInternal Code = 9001
)

// codeInfo holds the properties of a result code.
type codeInfo struct {
	name   string
	status int
	notRun bool
}

var codeInfos = map[Code]codeInfo{
	CodeOK:                   {"ok", http.StatusOK, false},
	CodeMalformedBody:        {"malformed-body", http.StatusBadRequest, true},
	CodeBodyTooLarge:         {"body-too-large", http.StatusRequestEntityTooLarge, true},
	CodeHeaderTooLarge:       {"header-too-large", http.StatusRequestHeaderFieldsTooLarge, true},
	CodeUnauthorized:         {"unauthorized", http.StatusUnauthorized, true},
	CodeUnknownTier:          {"unknown-tier", http.StatusBadRequest, true},
	CodeUnknownModel:         {"unknown-model", http.StatusNotFound, true},
	CodeUnknownService:       {"unknown-service", http.StatusNotFound, true},
	CodeKeyRequired:          {"key-required", http.StatusBadRequest, true},
	CodeKeyFormat:            {"key-format", http.StatusBadRequest, true},
	CodeKeyExpired:           {"key-expired", http.StatusGone, true},
	CodeKeyReused:            {"key-reused", http.StatusUnprocessableEntity, true},
	CodeNotAllowed:           {"not-allowed", http.StatusForbidden, true},
	CodeKeyInFuture:          {"key-in-future", http.StatusBadRequest, true},
	CodeUnknownPath:          {"unknown-path", http.StatusNotFound, true},
	CodeUnknownRoute:         {"unknown-route", http.StatusNotFound, true},
	CodeBadRequest:           {"bad-request", http.StatusBadRequest, true},
	CodeRequestTimeout:       {"request-timeout", http.StatusRequestTimeout, true},
	CodeRouterFull:           {"router-full", http.StatusServiceUnavailable, true},
	CodeLoadShed:             {"load-shed", http.StatusServiceUnavailable, true},
	CodePromptTooLarge:       {"prompt-too-large", http.StatusServiceUnavailable, true},
	CodeConfigStale:          {"config-stale", http.StatusServiceUnavailable, true},
	CodeStopping:             {"stopping", http.StatusServiceUnavailable, true},
	CodeTimeout:              {"timeout", http.StatusGatewayTimeout, false},
	CodeHistoryGone:          {"history-gone", http.StatusGone, true},
	CodeObjectUnreadable:     {"object-unreadable", http.StatusBadGateway, true},
	CodeOverloaded:           {"overloaded", http.StatusServiceUnavailable, true},
	CodeDeadlineWouldPass:    {"deadline-would-pass", http.StatusServiceUnavailable, true},
	CodeDomainOut:            {"domain-out", http.StatusServiceUnavailable, true},
	CodeNoBackendServer:      {"no-backend-server", http.StatusServiceUnavailable, true},
	CodeNotOwner:             {"not-owner", http.StatusServiceUnavailable, true},
	CodeClaimsUnavailable:    {"claims-unavailable", http.StatusServiceUnavailable, true},
	CodeRequestBanned:        {"request-banned", http.StatusUnprocessableEntity, false},
	CodePromptBanned:         {"prompt-banned", http.StatusServiceUnavailable, true},
	CodeOriginUnknown:        {"origin-unknown", http.StatusServiceUnavailable, true},
	CodeQueueFull:            {"queue-full", http.StatusServiceUnavailable, true},
	CodePeerUnreachable:      {"peer-unreachable", http.StatusBadGateway, true},
	CodeBackendLeaving:       {"backend-leaving", http.StatusServiceUnavailable, true},
	CodeOutcomeUnknown:       {"outcome-unknown", http.StatusBadGateway, false},
	CodeStreamIncomplete:     {"stream-incomplete", http.StatusBadGateway, false},
	CodeBackendDied:          {"backend-died", http.StatusBadGateway, false},
	CodeAnswerMismatch:       {"answer-mismatch", http.StatusBadGateway, false},
	CodeStillRunning:         {"still-running", http.StatusConflict, false},
	CodeResultNotKept:        {"result-not-kept", http.StatusConflict, false},
	CodeCancelled:            {"cancelled", 499, false},
	CodeBackendError:         {"backend-error", http.StatusBadGateway, false},
	CodeConfigInvalid:        {"config-invalid", http.StatusUnprocessableEntity, true},
	CodeConfigConflict:       {"config-conflict", http.StatusConflict, true},
	CodeConfigUnknownSection: {"config-unknown-section", http.StatusNotFound, true},
	CodeConfigTooLarge:       {"config-too-large", http.StatusRequestEntityTooLarge, true},
	CodeConfigUnavailable:    {"config-unavailable", http.StatusServiceUnavailable, true},
	CodeSettingInvalid:       {"setting-invalid", http.StatusBadRequest, true},
	CodePlatformUnreachable:  {"platform-unreachable", http.StatusServiceUnavailable, false},
	CodeObjectNotFound:       {"object-not-found", http.StatusNotFound, true},
	CodeObjectConflict:       {"object-conflict", http.StatusConflict, true},
	CodePlatformRateLimited:  {"platform-rate-limited", http.StatusTooManyRequests, true},
	CodePlatformUnknown:      {"platform-unknown", http.StatusBadGateway, false},
	CodeTraceLineInvalid:     {"trace-line-invalid", http.StatusBadRequest, true},
	CodeTraceUnreadable:      {"trace-unreadable", http.StatusBadRequest, true},
	CodeRolloutInvalid:       {"rollout-invalid", http.StatusUnprocessableEntity, true},
	CodeRolloutStep:          {"rollout-step", http.StatusOK, false},
	CodeRolloutHeld:          {"rollout-held", http.StatusOK, false},
	CodeRolloutLeaseLost:     {"rollout-lease-lost", http.StatusConflict, false},
	CodeRolloutRecord:        {"rollout-record", http.StatusBadGateway, false},
	CodeInternal:             {"internal", http.StatusInternalServerError, false},
}

// Name returns the stable kebab-case name of c, or "code-N" for an unknown code
// N.
func (c Code) Name() string {
	if info, ok := codeInfos[c]; ok {
		return info.name
	}
	return fmt.Sprintf("code-%d", int(c))
}

// Status returns the HTTP status sent to callers with c; it is 500 for an unknown
// code.
func (c Code) Status() int {
	if info, ok := codeInfos[c]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}

// NotRun reports whether c by itself guarantees that the request did not run.
func (c Code) NotRun() bool { return codeInfos[c].notRun }

// Codes returns all result codes in unspecified order.
func Codes() []Code {
	all := make([]Code, 0, len(codeInfos))
	for c := range codeInfos {
		all = append(all, c)
	}
	return all
}

// Error is an error with a result code. Its not-run flag is initialized from the
// code and cleared once a byte of the request may have reached a backend server.
type Error struct {
	code    Code
	message string
	notRun  bool
	cause   error
}

// NewError returns an error with a result code and a formatted message for the
// caller.
func NewError(code Code, format string, args ...any) *Error {
	return &Error{code: code, message: fmt.Sprintf(format, args...), notRun: code.NotRun()}
}

// WrapError is like NewError and wraps cause. The message for the caller does not include
// cause.
func WrapError(cause error, code Code, format string, args ...any) *Error {
	e := NewError(code, format, args...)
	e.cause = cause
	return e
}

// Error implements the error interface. The text includes code and cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s (%d): %s", e.code.Name(), int(e.code), e.message)
	}
	return fmt.Sprintf("%s (%d): %s: %v", e.code.Name(), int(e.code), e.message, e.cause)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Code returns the result code.
func (e *Error) Code() Code { return e.code }

// Message returns the message for the caller, without code and cause.
func (e *Error) Message() string { return e.message }

// NotRun reports whether the request is known not to have run at any backend
// server.
func (e *Error) NotRun() bool { return e.notRun }

// WithoutNotRun returns a copy of e with the not-run flag cleared.
func (e *Error) WithoutNotRun() *Error {
	c := *e
	c.notRun = false
	return &c
}

// CodeOf returns the result code of err: CodeOK for nil, and CodeInternal for an
// error without a code.
func CodeOf(err error) Code {
	if err == nil {
		return CodeOK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.code
	}
	return CodeInternal
}
