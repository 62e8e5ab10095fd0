package bbrstandindb

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const (
	scramMechanism  = "SCRAM-SHA-256"
	scramIterations = 4096
	scramSalt       = "standinSalt"
)

// authenticate asks for the password, if the member has one.
func (c *session) authenticate(user string) error {
	if c.db.opts.Password != "" {
		if err := c.scram(user); err != nil {
			return err
		}
	}
	c.be.Send(&pgproto3.AuthenticationOk{})
	for name, value := range map[string]string{
		"server_version":              "15.0",
		"client_encoding":             "UTF8",
		"standard_conforming_strings": "on",
		"DateStyle":                   "ISO, MDY",
		"TimeZone":                    "UTC",
		"integer_datetimes":           "on",
	} {
		c.be.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	c.be.Send(&pgproto3.BackendKeyData{ProcessID: c.id, SecretKey: binary.BigEndian.AppendUint32(nil, c.secret)})
	return c.ready()
}

func (c *session) scram(user string) error {
	refused := sqlErrorf(codeAuthentication, "password authentication failed for user %q", user)
	client, err := scram.SHA256.NewClient(user, c.db.opts.Password, "")
	if err != nil {
		return refused
	}
	creds := client.GetStoredCredentials(scram.KeyFactors{Salt: scramSalt, Iters: scramIterations})
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return creds, nil })
	if err != nil {
		return refused
	}
	conv := server.NewConversation()
	c.be.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	if err := c.be.Flush(); err != nil {
		return err
	}
	if err := c.be.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	msg, err := c.be.Receive()
	if err != nil {
		return err
	}
	initial, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok {
		return refused
	}
	reply, err := conv.Step(string(initial.Data))
	if err != nil {
		return refused
	}
	c.be.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)})
	if err := c.be.Flush(); err != nil {
		return err
	}
	if err := c.be.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	if msg, err = c.be.Receive(); err != nil {
		return err
	}
	final, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return refused
	}
	if reply, err = conv.Step(string(final.Data)); err != nil || !conv.Valid() {
		return refused
	}
	c.be.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
	return nil
}
