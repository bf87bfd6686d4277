package httpclient

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"oxbowslip.dev/oxbowslip/internal/httphead"
)

// upload is the body of a call. It has no other methods than Read and Close, so that http.Transport can't replay the body and
// therefore doesn't resend a request. It would otherwise resend a GET, or any call with an Idempotency-Key header, after a
// failure of a kept connection.
type upload struct {
	body   io.Reader
	length int64
	read   int64
	// isRead is set once the transport has read the whole body.
	isRead atomic.Bool
}

func newUpload(call *Call) *upload {
	u := &upload{body: call.Body, length: call.Length}
	if u.body == nil {
		u.body = http.NoBody
	}
	u.isRead.Store(u.length == 0)
	return u
}

// Read reads the body of the call.
func (u *upload) Read(p []byte) (int, error) {
	n, err := u.body.Read(p)
	u.read += int64(n)
	if err == io.EOF || u.length >= 0 && u.read >= u.length {
		u.isRead.Store(true)
	}
	return n, err
}

// Close does nothing: the body belongs to the caller.
func (u *upload) Close() error { return nil }

// guard has the body of an answer to the call end with io.EOF only if the answer is whole.
func (u *upload) guard(answer *http.Response) {
	answer.Body = &guardedBody{ReadCloser: answer.Body, answer: answer, upload: u}
}

// guardedBody is the body of an answer.
type guardedBody struct {
	io.ReadCloser
	answer *http.Response
	upload *upload
}

// errEndedEarly is the error of an answer that ends with its connection, which has ended before the call was sent.
var errEndedEarly = errors.New("the endpoint has closed the connection of an answer without a length before it had received the call")

// Read reads the body. It returns io.EOF only if the answer is whole.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.checkEnd()
	}
	if err != nil && err != io.EOF {
		err = httphead.InvalidBody(err)
	}
	return n, err
}

// checkEnd returns io.EOF if the answer is whole at the end of its body. If it ends with its connection and the call was not
// sent, nothing distinguishes its end from the end of an endpoint that has crashed.
func (b *guardedBody) checkEnd() error {
	if err := httphead.CheckTrailer(b.answer); err != nil {
		return err
	}
	if b.answer.ContentLength < 0 && len(b.answer.TransferEncoding) == 0 && !b.upload.isRead.Load() {
		return errEndedEarly
	}
	return io.EOF
}
