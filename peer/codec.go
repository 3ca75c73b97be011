package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// boundedCodec encodes each message as a frame: its length as a varint, then the
// message. ReadObject rejects a frame above the limit before it reads the content.
// The limit for written frames is checked by stream.WriteObject.
type boundedCodec struct {
	maxFrame int // bytes
	inner    jsonrpc2.VarintObjectCodec
}

// WriteObject writes one frame.
func (c boundedCodec) WriteObject(w io.Writer, obj any) error {
	return c.inner.WriteObject(w, obj)
}

// ReadObject reads one frame. The error is errFrameTooLarge for one above the limit.
func (c boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	size, err := peekSize(r)
	if err != nil {
		return err
	}
	if size > uint64(c.maxFrame) {
		return eris.Wrapf(errFrameTooLarge, "%d bytes, limit %d", size, c.maxFrame)
	}
	return c.inner.ReadObject(r, v)
}

// peekSize returns the length of the next frame without consuming its header.
func peekSize(r *bufio.Reader) (uint64, error) {
	for n := 1; n <= binary.MaxVarintLen64; n++ {
		header, err := r.Peek(n)
		if err != nil {
			return 0, err
		}
		if header[n-1] >= 0x80 {
			continue
		}

		size, used := binary.Uvarint(header)
		if used != n {
			return 0, eris.New("frame header overflows")
		}
		return size, nil
	}
	return 0, eris.New("frame header is too long")
}
