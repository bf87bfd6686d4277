package httphead

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"

	"golang.org/x/net/http/httpguts"

	"oxbowslip.dev/oxbowslip/internal/tcpend"
)

// Reason is the reason why what a server has sent is no answer by RFC 9110 and RFC 9112.
type Reason string

// The reasons. The values are labels of a metric and never change.
const (
	// ReasonSyntax means that net/http can't read the head.
	ReasonSyntax Reason = "syntax"
	// ReasonStatus means that the status is none that an answer can have.
	ReasonStatus Reason = "status"
	// ReasonFraming means that the head does not say clearly where the answer ends.
	ReasonFraming Reason = "framing"
	// ReasonFieldName means that the name of a header or trailer field is none.
	ReasonFieldName Reason = "field_name"
	// ReasonBody means that the body breaks off, or that its chunks can't be read.
	ReasonBody Reason = "body"
)

// Reasons lists all reasons.
var Reasons = []Reason{ReasonSyntax, ReasonStatus, ReasonFraming, ReasonFieldName, ReasonBody}

// InvalidError is the error of what is no answer, or no whole one. The server may have run the call.
type InvalidError struct {
	Reason Reason
	// Detail describes what was received, in at most maxDetailBytes.
	Detail string

	cause error
}

func (e *InvalidError) Error() string {
	return "invalid answer (" + string(e.Reason) + "): " + e.Detail
}

// Unwrap returns the error of the connection or of net/http, if there is one.
func (e *InvalidError) Unwrap() error { return e.cause }

// maxDetailBytes bounds a detail.
const maxDetailBytes = 120

func invalid(reason Reason, detail string) *InvalidError {
	return &InvalidError{Reason: reason, Detail: detail[:min(len(detail), maxDetailBytes)]}
}

// InvalidBody returns the InvalidError for an error other than io.EOF that reading the body of an answer has returned, or that
// error if it is an InvalidError.
func InvalidBody(cause error) error {
	var known *InvalidError
	if errors.As(cause, &known) {
		return cause
	}
	e := invalid(ReasonBody, cause.Error())
	e.cause = cause
	return e
}

// Check returns an InvalidError for a head that net/http has read although it is none of an answer. It must be called for each
// answer before anything of it is used.
func Check(answer *http.Response) error {
	if answer.ProtoMajor != supportedMajor {
		return invalid(ReasonSyntax, "version "+strconv.Quote(answer.Proto))
	}
	// The reason phrase has the characters of a field's value (RFC 9112, section 4).
	if !httpguts.ValidHeaderFieldValue(answer.Status) {
		return invalid(ReasonSyntax, "status line with control bytes")
	}
	if err := checkStatus(answer.StatusCode); err != nil {
		return err
	}
	return checkFieldNames(answer.Header)
}

// supportedMajor is the major version of HTTP that all clients speak. A later minor version is read as HTTP/1.1 (RFC 9110,
// section 2.5).
const supportedMajor = 1

// CheckTrailer returns an InvalidError for trailers that net/http has read although they are none. It must be called at the end of
// the answer's body.
func CheckTrailer(answer *http.Response) error { return checkFieldNames(answer.Trailer) }

// checkFieldNames checks that all names are tokens (RFC 9110, section 5.1). net/http accepts blanks in names, and takes a field that
// decides where the answer ends for an unknown one if a blank follows its name (RFC 9112, section 5.1).
func checkFieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return invalid(ReasonFieldName, fmt.Sprintf("name of a field %q", name[:min(len(name), maxDetailBytes)]))
		}
	}
	return nil
}

const (
	// minStatus and maxStatus bound the status codes of HTTP (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

func checkStatus(status int) error {
	switch {
	case status < minStatus || status > maxStatus:
		return invalid(ReasonStatus, fmt.Sprintf("status %d is not between %d and %d", status, minStatus, maxStatus))
	case status == http.StatusSwitchingProtocols:
		// No call asks for another protocol (RFC 9110, section 15.2.2).
		return invalid(ReasonStatus, "it switches to another protocol")
	}
	return nil
}

// GuardInterim has the interim answers to a call of net/http checked as well, and bounds their number: net/http does so only
// for calls without the hook.
func GuardInterim(trace *httptrace.ClientTrace) {
	received := 0
	trace.Got1xxResponse = func(status int, header textproto.MIMEHeader) error {
		if received++; received > maxInterim {
			return &LimitError{LimitInterim, maxInterim}
		}
		if err := checkStatus(status); err != nil {
			return err
		}
		return checkFieldNames(http.Header(header))
	}
}

// Transport is an http.RoundTripper whose answers are valid, and whole if they are read to io.EOF, but for answers that end with
// their connection before the call was sent.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that connects with a dialer.
func NewTransport(dialer *net.Dialer) Transport {
	return Transport{&http.Transport{DialContext: tcpend.DialContext(dialer), MaxResponseHeaderBytes: MaxBytes}}
}

// RoundTrip makes a call. An answer that is none counts as a broken one.
func (t Transport) RoundTrip(call *http.Request) (*http.Response, error) {
	trace := new(httptrace.ClientTrace)
	GuardInterim(trace)
	answer, err := t.Transport.RoundTrip(call.WithContext(httptrace.WithClientTrace(call.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(answer); err != nil {
		answer.Body.Close()
		// net/http may keep the connection, whatever follows on it.
		t.CloseIdleConnections()
		return nil, err
	}
	return answer, nil
}
