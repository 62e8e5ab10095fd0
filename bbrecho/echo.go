// Package bbrecho lets a client of HTTP/1.1 notice a response that answers another request
// on its connection: each request has an id of its own, which the server repeats in its
// response. HTTP/1.1 itself assigns responses to requests by their order alone.
//
// A response without an id, as of a server that doesn't repeat them, is passed on. Since one
// server process serves a connection, a response of a server that does is never without.
//
// # Usage
//
//	server := bbrecho.Handler(mux)
//	client := http.Client{Transport: bbrecho.Transport{Base: transport}}
package bbrecho

import (
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// header holds the id of a request.
const header = "Bluebellroute-Request-Id"

// maxIDBytes is the length of the longest id that is repeated.
const maxIDBytes = 64

// ErrOtherRequest tells that a response answers another request. Whether this one was served
// is unknown.
var ErrOtherRequest = errors.New("the response answers another request")

// Handler repeats the ids of requests in the responses of another handler.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(header); id != "" && len(id) <= maxIDBytes {
			w.Header().Set(header, id)
		}
		h.ServeHTTP(w, r)
	})
}

// Transport gives requests an id and checks that of their responses.
type Transport struct {
	// Base makes the requests. With nil it is http.DefaultTransport.
	Base http.RoundTripper
}

func (t Transport) base() http.RoundTripper {
	if t.Base == nil {
		return http.DefaultTransport
	}
	return t.Base
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	id := strconv.FormatUint(rand.Uint64(), 16)
	r = r.Clone(r.Context())
	r.Header.Set(header, id)
	res, err := t.base().RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if got := res.Header.Get(header); got != "" && got != id {
		// An unread body ends its connection, a response without one leaves it idle.
		_ = res.Body.Close()
		if c, ok := t.base().(interface{ CloseIdleConnections() }); ok {
			c.CloseIdleConnections()
		}
		return nil, ErrOtherRequest
	}
	return res, nil
}
