package cclimit

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

const (
	// firstPart is how much memory is taken for a body before it arrives.
	firstPart = 1 << 10
	// largestPart is how much memory of a body is taken at a time.
	largestPart = 16 << 10
)

// ReadBody reads the body of a request, of at most a number of bytes. It is read in parts that are
// no longer than what has arrived before, so that a length without a body takes no memory. They
// are joined at its end, so that no buffers are left that became too small.
func ReadBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	body := http.MaxBytesReader(w, r.Body, most)
	// One byte more than is allowed tells that the body is too large.
	left := most + 1
	if r.ContentLength >= 0 {
		left = min(left, r.ContentLength)
	}
	var parts [][]byte
	received := int64(0)
	for left > 0 {
		part, err := readPart(body, make([]byte, min(left, largestPart, max(firstPart, received))))
		parts = append(parts, part)
		received += int64(len(part))
		left -= int64(len(part))
		if errors.Is(err, io.EOF) {
			return joinParts(parts), nil
		}
		if err != nil {
			return nil, err
		}
	}
	if err := readEnd(body); err != nil {
		return nil, err
	}
	return joinParts(parts), nil
}

// readPart fills a part unless the body ends before.
func readPart(body io.Reader, part []byte) ([]byte, error) {
	filled := 0
	for filled < len(part) {
		n, err := body.Read(part[filled:])
		filled += n
		if err != nil {
			return part[:filled], err
		}
	}
	return part, nil
}

// readEnd reads the end of a body of which nothing more is expected. The server looks for the
// next request only when it has been read.
func readEnd(body io.Reader) error {
	var more [1]byte
	_, err := io.ReadFull(body, more[:])
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func joinParts(parts [][]byte) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	return bytes.Join(parts, nil)
}
