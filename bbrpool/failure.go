package bbrpool

import (
	"io"
	"syscall"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrmember"
)

// FailureKind tells what an error of a dial says about the member.
func FailureKind(err error) bbrmember.FailureKind {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return bbrmember.FailureRefused
	}
	return bbrmember.FailureNoResponse
}
