package entry

import (
	"bytes"
	"errors"
	"io"
	"slices"

	"github.com/pomelospring/pomelospring"
)

// begun returns an answer once a part of it that can be forwarded has arrived: an
// event of a stream, else the whole body or the beginning of a long one. A silent
// server is not given up for an answer that breaks off before.
func (c *session) begun(answer *pomelospring.BackendAnswer) (*pomelospring.BackendAnswer, error) {
	var beginning []byte
	var err error
	if c.route.Streaming {
		beginning, err = readFirstEvent(c.call.Memory, answer)
	} else {
		beginning, _, err = readComplete(c.call.Memory, answer)
	}
	if err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	rest := answer.Body
	answer.Body = &replayedBody{
		Reader: io.MultiReader(bytes.NewReader(beginning), rest),
		Closer: rest,
	}
	return answer, nil
}

// readFirstEvent reads a stream until an event is complete, or to its end if it has
// none.
func readFirstEvent(memory pomelospring.Memory, answer *pomelospring.BackendAnswer) (beginning []byte, err error) {
	scanner := &eventScanner{
		memory: memory,
	}
	defer scanner.drop()
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if !scanner.hold(n) {
			return nil, pomelospring.ErrNoMemory
		}
		complete := scanner.add(buffer[:n])
		switch {
		case len(complete) > 0:
			return slices.Concat(complete, scanner.pending()), nil
		case scanner.tooLong():
			return nil, errEventTooLong
		case errors.Is(err, io.EOF) && answer.EndsWithConnection:
			return nil, errNoEvent
		case errors.Is(err, io.EOF) && scanner.empty():
			return scanner.pending(), nil
		case err != nil:
			return nil, err
		}
	}
}

// replayedBody is a body of which a part was read before.
type replayedBody struct {
	io.Reader
	io.Closer
}
