package exchange

// requestWrite is the write of one request, which goes on while the response is read.
type requestWrite struct {
	done chan struct{} // closed once the write has ended
	err  error         // set before done is closed
}

// startWrite begins to write a request.
func startWrite(write func() error) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}
	go func() {
		w.err = write()
		close(w.done)
	}()
	return w
}

// WriteState tells how far the write of a request has come.
type WriteState struct {
	// Ended is set once all of the request was handed to the connection, or the write has failed with Err.
	Ended bool
	Err   error
}

// String returns the state as it appears in the log.
func (s WriteState) String() string {
	switch {
	case s.Err != nil:
		return "failed"
	case s.Ended:
		return "complete"
	}
	return "under-way"
}

// state returns how far the write has come.
func (w *requestWrite) state() WriteState {
	select {
	case <-w.done:
		return WriteState{Ended: true, Err: w.err}
	default:
		return WriteState{}
	}
}

// WriteState returns how far the write of the request has come.
func (r *Response) WriteState() WriteState { return r.conn.sending.state() }
