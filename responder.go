package pomelospring

// Responder is the caller's side of one call.
type Responder interface {
	// Head passes on the head of a backend server's answer; length is that of
	// the whole body, or -1 where it is not known yet.
	Head(answer *BackendAnswer, length int64)
	// Write passes on a piece of the body at once.
	Write(piece []byte) (err error)
	// Refuse gives an answer of the system's own.
	Refuse(refusal *Refusal)
	// Abort closes the connection so that the answer does not look complete.
	Abort()
}
