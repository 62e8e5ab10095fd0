package bbrstore

import (
	"net/http"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
)

// responseIDs are the headers in which the services give each response an id of its own.
var responseIDs = []string{"X-Amzn-Requestid", "X-Amz-Request-Id"}

// seenLimit bounds the ids that are kept.
const seenLimit = 1024

// errRepeatedResponse means that a response came before and answers another request.
var errRepeatedResponse = errors.New("the response answers an earlier request")

// checkedTransport rejects responses that came before: a connection's responses are assigned
// to its requests by their order alone, so that one which comes twice would be taken for the
// response to the next request. Responses without an id aren't checked.
type checkedTransport struct {
	base *http.Transport
	seen *lru.Cache[string, struct{}]
}

func newCheckedTransport(base *http.Transport) *checkedTransport {
	// The size is a positive constant: there is no error.
	seen, _ := lru.New[string, struct{}](seenLimit)
	return &checkedTransport{base: base, seen: seen}
}

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	for _, header := range responseIDs {
		id := res.Header.Get(header)
		if id == "" {
			continue
		}
		if before, _ := t.seen.ContainsOrAdd(header+id, struct{}{}); before {
			// An unread body ends its connection, a response without one leaves it idle.
			_ = res.Body.Close()
			t.base.CloseIdleConnections()
			return nil, errRepeatedResponse
		}
	}
	return res, nil
}
