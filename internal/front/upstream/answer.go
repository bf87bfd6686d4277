package upstream

import (
	"errors"
	"io"
	"net/http"

	"oxbowslip.dev/oxbowslip/internal/httphead"
)

// Answer is an endpoint's answer, of which the head has arrived. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is not known.
	Length int64
	// Framed is set if the answer has a length or is chunked. Otherwise it ends with its connection.
	Framed bool

	response   *http.Response
	exchange   *exchange
	isComplete bool
}

func (x *exchange) answer(response *http.Response) *Answer {
	x.conn.recordAnswer(response, x.client.clock(), x.client.config.KeepIdle)
	length := response.ContentLength
	if response.Body == http.NoBody {
		// The answer to a HEAD states the length of another one.
		length = 0
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: length, Framed: isFramed(response),
		response: response, exchange: x,
	}
}

func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// Read reads the answer's body. It returns io.EOF only if the complete answer has arrived.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == io.EOF && !a.isComplete {
		err = a.checkEnd()
	}
	switch err {
	case nil:
	case io.EOF:
		a.isComplete = true
	default:
		err = a.exchange.bodyError(err)
	}
	return n, err
}

// checkEnd returns io.EOF if the answer is whole at the end of its body.
func (a *Answer) checkEnd() error {
	if err := httphead.CheckTrailer(a.response); err != nil {
		return err
	}
	if a.Framed || a.Length >= 0 {
		return io.EOF
	}
	return a.exchange.endOfConnection()
}

// bodyError returns the error of an answer whose body could not be read to its end.
func (x *exchange) bodyError(err error) error {
	x.mu.Lock()
	isAborted := x.aborted != nil
	x.mu.Unlock()
	if isAborted || errors.Is(err, ErrPathLost) {
		// The endpoint has not failed.
		return x.cause(err)
	}
	return httphead.InvalidBody(err)
}

// errEndedEarly is the error of an answer that ends with its connection, which has ended before the call was sent.
var errEndedEarly = errors.New("the endpoint has closed the connection of an answer without a length before it had received the call")

// endOfConnection closes a connection that the endpoint has closed. It returns io.EOF if the whole call was sent on it.
// Otherwise nothing distinguishes the end of the answer from the end of an endpoint that has crashed.
func (x *exchange) endOfConnection() error {
	// A call that is still being written fails.
	x.conn.Close()
	if err := <-x.writeResult; err != nil {
		return errEndedEarly
	}
	return io.EOF
}

// Close ends the exchange. The connection is kept if the complete answer was read and no further bytes are buffered.
func (a *Answer) Close() {
	x := a.exchange
	x.endWatch()
	if !x.stopAbort() || !a.isComplete || !a.Framed || x.conn.isLast || x.conn.reader.Buffered() > 0 {
		x.conn.Close()
		return
	}
	select {
	case err := <-x.writeResult:
		if err != nil {
			x.conn.Close()
			return
		}
	default:
		// The endpoint answered before it had read the whole call, which is still being written.
		x.conn.Close()
		return
	}
	x.client.putIdle(x.address, x.conn)
}
