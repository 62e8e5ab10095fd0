package bbrbudget

import (
	"net/http"
	"time"
)

const (
	// maxPeerBody bounds the body of another instance's request: a statement of the longest
	// message with all that its session keeps.
	maxPeerBody = 8 * Megabyte
	// bodyCopies is how often the body of a request or response is held while it is served.
	bodyCopies = 3
)

// BoundBodies bounds the bytes that requests to a handler hold with their bodies and responses.
// A request is declined, before it is read, if there is no room for its body in time. A response
// that there is no room for is given up with its connection.
func (b *Budget) BoundBodies(h, decline http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := Bytes(r.ContentLength)
		if size < 0 || size > maxPeerBody {
			b.recorder.RecordLimit(ReasonPeers)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		s := &share{budget: b, phase: PhaseWorking, interrupt: func(Phase) {}}
		defer s.release()
		if !s.reserveCopies(size) {
			decline.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(&boundedWriter{ResponseWriter: w, share: s}, r)
	})
}

// reserveCopies waits until there is room for the copies of a body. It returns false if there is
// none in time. A small body is not counted.
func (s *share) reserveCopies(size Bytes) bool {
	if size <= SmallMessage {
		return true
	}
	if err := s.reserve(size*bodyCopies, time.Now().Add(roomTimeout), nil); err != nil {
		s.budget.recorder.RecordLimit(ReasonPeers)
		return false
	}
	return true
}

// boundedWriter writes a response once there is room for it.
type boundedWriter struct {
	http.ResponseWriter
	share *share
}

// Write implements http.ResponseWriter.
func (w *boundedWriter) Write(b []byte) (int, error) {
	w.share.release()
	if !w.share.reserveCopies(Bytes(len(b))) {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer that http.ResponseController uses.
func (w *boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
