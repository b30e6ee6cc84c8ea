package pomelospring

import (
	"errors"
	"io"
)

// Memory grants one call a part of the instance's memory. What it was granted is freed
// when the call has ended.
type Memory interface {
	// Grow reports whether the call may hold more bytes.
	Grow(bytes int64) bool
	// Shrink gives back bytes that the call no longer holds.
	Shrink(bytes int64)
}

// ErrNoMemory is returned for content that found no memory.
var ErrNoMemory = errors.New("the memory for callers is taken")

// firstPart and firstUnknownPart are the sizes of the first buffer of content, at most of
// its length if that is known.
const (
	firstPart        = 64 << 10
	firstUnknownPart = 8 << 10
)

// ReadGranted reads content to its end into a buffer that grows, as memory is granted,
// with what has come. length is the expected number of bytes, negative if unknown, and a
// nil memory grants all. With ErrNoMemory it returns what it has read.
func ReadGranted(memory Memory, content io.Reader, length int64) (read []byte, err error) {
	// One byte more than the length lets the end be read without another step.
	next := func(size int64) int64 {
		if length < 0 || int64(len(read)) > length {
			return size
		}
		return min(size-1, length) + 1
	}
	size := next(firstPart)
	if length < 0 {
		size = firstUnknownPart
	}
	for {
		if memory != nil && !memory.Grow(size-int64(cap(read))) {
			return read, ErrNoMemory
		}
		grown := make([]byte, len(read), size)
		copy(grown, read)
		read = grown
		for len(read) < cap(read) {
			n, err := content.Read(read[len(read):cap(read)])
			read = read[:len(read)+n]
			if errors.Is(err, io.EOF) {
				return read, nil
			}
			if err != nil {
				return read, err
			}
		}
		size = next(2 * int64(cap(read)))
	}
}
