package bbrlink

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrplace"
)

// TestPauseEndsWithoutStatementsInFlight checks that a queued read gets a member whose pause
// ends while no statement is in flight, although nothing is released then.
func TestPauseEndsWithoutStatementsInFlight(t *testing.T) {
	is := is.New(t)
	g := newTestGroup(t, 23, 8)
	g.RecordNoReply("p")
	g.RecordNoReply("r")
	_, err := g.Acquire(context.Background(), bbrplace.Requirements{Deadline: g.Clock.Now().Add(10 * time.Second)})
	is.True(errors.As(err, new(*ConnectError))) // a member was granted, and dialled
}
