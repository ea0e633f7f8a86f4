package forward

import (
	"fmt"
	"io"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

// TestWrappedEOFIsNoEndOfABody checks that an error above io.EOF, which is of a connection on the
// way, ends no body for any of its readers.
func TestWrappedEOFIsNoEndOfABody(t *testing.T) {
	broken := iotest.ErrReader(fmt.Errorf("connection was lost: %w", io.EOF))
	_, ended, err := readBody(broken, make([]byte, 1))
	must.False(t, ended)
	must.Error(t, err)
	for _, stream := range []bool{false, true} {
		_, err = readStart(broken, stream)
		must.Error(t, err)
	}
	_, ended, err = readBody(iotest.ErrReader(io.EOF), make([]byte, 1))
	must.True(t, ended)
	must.NoError(t, err)
}
