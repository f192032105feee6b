package cclimit

import (
	"bytes"
)

// maxLengthDigits bounds the digits of a Content-Length, so that it fits into an int64.
const maxLengthDigits = 18

// head describes the header of a request.
type head struct {
	lines   int
	length  int64 // Of the body.
	chunked bool
	post    bool // The method is POST.
	// unclear means that the end of the body can't be told.
	unclear bool
}

// headEnd returns the length of a request's header with the empty line at its end, or 0 if
// data doesn't contain the end. Bytes before from were searched before.
func headEnd(data []byte, from int) int {
	// An empty line before a request is no header. The server answers it with 400.
	if len(data) > 0 && data[0] == '\n' {
		return 1
	}
	if len(data) > 1 && data[0] == '\r' && data[1] == '\n' {
		return 2
	}
	for i := max(0, from-2); i < len(data); i++ {
		n := bytes.IndexByte(data[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n
		switch {
		case i+1 < len(data) && data[i+1] == '\n':
			return i + 2
		case i+2 < len(data) && data[i+1] == '\r' && data[i+2] == '\n':
			return i + 3
		}
	}
	return 0
}

// maxLineBreaks is how many line breaks net/http skips in front of a request that follows a POST.
const maxLineBreaks = 4

// lineBreaks returns how many bytes net/http skips in front of a request that follows a POST.
func lineBreaks(data []byte) int {
	data = data[:min(len(data), maxLineBreaks)]
	return len(data) - len(bytes.TrimLeft(data, "\r\n"))
}

// parseHead finds the length of the body in a whole header. It understands what net/http
// accepts; what net/http refuses may be misunderstood, since it closes the connection.
func parseHead(data []byte) head {
	var h head
	inLength := false
	requestLine, _, _ := bytes.Cut(data, []byte("\n"))
	h.post = bytes.HasPrefix(requestLine, []byte("POST "))
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			end = len(data) - 1
		}
		line := data[:end+1]
		data = data[end+1:]
		h.lines++
		switch line[0] {
		case ' ', '\t':
			// A header that goes on in a second line is obsolete.
			h.unclear = h.unclear || inLength
		case 'c', 'C':
			if value, ok := headerValue(line, "content-length"); ok {
				length, valid := parseLength(value)
				h.unclear = h.unclear || !valid
				h.length, inLength = length, true
				continue
			}
		case 't', 'T':
			if value, ok := headerValue(line, "transfer-encoding"); ok {
				h.chunked, inLength = true, true
				h.unclear = h.unclear || !bytes.EqualFold(value, []byte("chunked"))
				continue
			}
		}
		inLength = inLength && (line[0] == ' ' || line[0] == '\t')
	}
	// net/http ignores the coding of a request of HTTP/1.0.
	h.unclear = h.unclear || h.chunked && !bytes.HasSuffix(bytes.TrimRight(requestLine, "\r"), []byte(" HTTP/1.1"))
	return h
}

// headerValue returns the value of a header line if it has the given name.
func headerValue(line []byte, name string) ([]byte, bool) {
	if len(line) <= len(name) || line[len(name)] != ':' || !bytes.EqualFold(line[:len(name)], []byte(name)) {
		return nil, false
	}
	return bytes.TrimSpace(line[len(name)+1:]), true
}

func parseLength(value []byte) (int64, bool) {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return 0, false
	}
	length := int64(0)
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		length = length*10 + int64(digit-'0')
	}
	return length, true
}
