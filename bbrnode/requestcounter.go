package bbrnode

import (
	"net/http"
	"sync/atomic"
)

// requestCounter counts HTTP requests until their replies are written to the connection.
// The zero value has none.
type requestCounter struct{ n atomic.Int64 }

// inProgress returns the number of requests without a complete reply.
func (c *requestCounter) inProgress() int { return int(c.n.Load()) }

// count returns a handler that counts the requests to h.
func (c *requestCounter) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.n.Add(1)
		defer c.n.Add(-1)
		h.ServeHTTP(w, r)
		// The server itself writes the rest of a reply only after the handler has returned.
		// An error means that the connection is lost.
		_ = http.NewResponseController(w).Flush()
	})
}
