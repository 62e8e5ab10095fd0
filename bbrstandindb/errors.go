package bbrstandindb

import "fmt"

// SQLSTATE codes that the stand-in reports.
const (
	codeProtocol       = "08P01"
	codeReadOnly       = "25006"
	codeInvalidText    = "22P02"
	codeUnique         = "23505"
	codeNotNull        = "23502"
	codeAborted        = "25P02"
	codeSerialization  = "40001"
	codeSyntax         = "42601"
	codeNoTable        = "42P01"
	codeNoColumn       = "42703"
	codeDuplicateTable = "42P07"
	codeNoStatement    = "26000"
	codeUnsupported    = "0A000"
	codeTooMany        = "53300"
	codeCancelled      = "57014"
	codeShutdown       = "57P01"
	codeNotReady       = "57P03"
	codeState          = "55000"
	codeAuthentication = "28P01"
)

// SQLError is an error that a member reports to its client.
type SQLError struct {
	// Code is the SQLSTATE.
	Code    string
	Message string
}

func (e *SQLError) Error() string { return e.Code + ": " + e.Message }

func sqlErrorf(code, format string, args ...any) *SQLError {
	return &SQLError{Code: code, Message: fmt.Sprintf(format, args...)}
}
