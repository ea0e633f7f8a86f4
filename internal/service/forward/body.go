package forward

import "io"

// readBody reads a part of a response's body and reports whether the body ended there.
// Only io.EOF itself is the end. An error that wraps it is of a connection on the way, which
// says nothing of the body.
func readBody(body io.Reader, buf []byte) (n int, ended bool, err error) {
	n, err = body.Read(buf)
	if err == io.EOF {
		return n, true, nil
	}
	return n, false, err
}
