package pomelospring

// Responder sends the answer of one call to its caller.
type Responder interface {
	// Head forwards the status and headers of a backend server's answer; length
	// is that of the whole body in bytes, or -1 if it is not known yet.
	Head(answer *BackendAnswer, length int64)
	// Write forwards a chunk of the body without delay.
	Write(chunk []byte) (err error)
	// Refuse answers with a refusal of the serving layer.
	Refuse(refusal *Refusal)
	// Abort closes the connection early, so that the caller sees an incomplete
	// answer.
	Abort()
}
