package waxlog

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestBlockedOutput guards against requests that block because no process reads
// the standard output.
func TestBlockedOutput(t *testing.T) {
	is := is.New(t)
	read, write := io.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	w := NewWriter(ctx, write)
	const lines = maxQueuedLines * 2
	for range lines {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(w.Dropped() >= lines-maxQueuedLines-maxBatchLines)
	cancel()
	is.NoErr(read.Close())
	<-w.Done()
}

// TestLinesAreWhole guards against lines that are lost or merged at shutdown.
func TestLinesAreWhole(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	w := NewWriter(ctx, &out)
	line := []byte("0\n")
	for i := range 9 {
		line[0] = byte('0' + i)
		_, _ = w.Write(line)
	}
	cancel()
	<-w.Done()
	is.Equal(strings.Fields(out.String()), []string{"0", "1", "2", "3", "4", "5", "6", "7", "8"})
	is.Equal(w.Dropped(), int64(0))
}
