package cclimit

// body tells where the body of a request ends.
type body struct {
	state bodyState
	// left is what remains of a body of known length, or of a chunk with its line end.
	left   int64
	digits int // Of the current chunk's size.
	// lineBytes is the length of the current line of the trailer so far, and carriageReturn
	// whether its last byte is one.
	lineBytes      int64
	carriageReturn bool
	lines          int // Line ends in the sizes and the trailer, since take was called.
}

type bodyState uint8

const (
	bodyNone bodyState = iota
	bodyLength
	bodySize    // The size of a chunk.
	bodySizeEnd // What follows the size in its line.
	bodyChunk
	bodyTrailer
	bodyBroken
)

// maxSizeDigits bounds the digits of a chunk's size, as net/http does.
const maxSizeDigits = 15

func newBody(h head) body {
	switch {
	case h.chunked:
		return body{state: bodySize}
	case h.length > 0:
		return body{state: bodyLength, left: h.length}
	default:
		return body{}
	}
}

// broken reports whether the end of the body can't be told.
func (b *body) broken() bool { return b.state == bodyBroken }

// open reports whether more of the body is to come.
func (b *body) open() bool { return b.state != bodyNone }

// take consumes the body's part of data and returns its length.
func (b *body) take(data []byte) int {
	b.lines = 0
	i := 0
	for i < len(data) && b.open() {
		switch b.state {
		case bodyLength, bodyChunk:
			n := min(b.left, int64(len(data)-i))
			b.left -= n
			i += int(n)
			if b.left == 0 {
				b.endPart()
			}
		case bodyBroken:
			return i
		default:
			b.takeByte(data[i])
			i++
		}
	}
	return i
}

// endPart goes on after the last byte of a body of known length or of a chunk.
func (b *body) endPart() {
	if b.state == bodyLength {
		b.state = bodyNone
		return
	}
	b.state, b.digits = bodySize, 0
}

// takeByte consumes a byte of the framing of chunks.
func (b *body) takeByte(c byte) {
	if c == '\n' {
		b.lines++
	}
	switch b.state {
	case bodySize:
		digit, ok := hexDigit(c)
		switch {
		case ok && b.digits < maxSizeDigits:
			b.left = b.left<<4 | digit
			b.digits++
		case ok || b.digits == 0:
			b.state = bodyBroken
		case c == '\n':
			b.endSize()
		default:
			b.state = bodySizeEnd
		}
	case bodySizeEnd:
		if c == '\n' {
			b.endSize()
		}
	case bodyTrailer:
		b.takeTrailerByte(c)
	case bodyNone, bodyLength, bodyChunk, bodyBroken:
	}
}

// takeTrailerByte consumes a byte of the trailer. net/http finds the end of a trailer by CRLF
// and the ends of its lines by LF, so a line that ends by LF alone may be its end or not.
func (b *body) takeTrailerByte(c byte) {
	switch {
	case c != '\n':
		b.lineBytes++
		b.carriageReturn = c == '\r'
	case !b.carriageReturn:
		b.state = bodyBroken
	case b.lineBytes == 1:
		b.state = bodyNone
	default:
		b.lineBytes, b.carriageReturn = 0, false
	}
}

// endSize goes on to the chunk, or to the trailer after the last one.
func (b *body) endSize() {
	if b.left == 0 {
		b.state, b.lineBytes, b.carriageReturn = bodyTrailer, 0, false
		return
	}
	b.state = bodyChunk
	b.left += int64(len("\r\n"))
}

func hexDigit(c byte) (int64, bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int64(c|0x20-'a') + 10, true
	default:
		return 0, false
	}
}
