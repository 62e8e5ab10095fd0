package bbrproxy

import (
	"crypto/sha256"
	"crypto/tls"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/xdg-go/scram"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	scramMechanism = "SCRAM-SHA-256"
	// serverVersion is what callers are told. It is that of the protocol
	// features served here.
	serverVersion = "15.0"
	// mockSaltLength is the length of the salt for unknown callers, in bytes.
	mockSaltLength = 16
	// maxSettings bounds the session settings of one caller.
	maxSettings = 64
)

// errEnded tells that a session has ended in order.
var errEnded = errors.New("the session has ended")

// serveConn runs one caller's connection.
func (s *Server) serveConn(conn net.Conn) {
	c := newSession(s, conn)
	defer func() { _ = c.conn.Close() }()
	if !s.register(c) {
		c.fatal(bbroutcome.New(bbroutcome.ReasonTooManyConnections, "%d callers are connected to this instance", s.opts.MaxCallers))
		return
	}
	defer s.unregister(c)
	defer c.close()
	if err := c.conn.SetDeadline(time.Now().Add(s.opts.AuthTimeout)); err != nil {
		return
	}
	if err := c.start(); err != nil {
		c.reportStart(err)
		return
	}
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return
	}
	c.writeBy = time.Time{}
	s.deps.Metrics.Callers(c.tenant, 1)
	defer s.deps.Metrics.Callers(c.tenant, -1)
	c.run()
}

// reportStart tells a caller why it was turned away.
func (c *session) reportStart(err error) {
	var e *bbroutcome.Error
	if errors.As(err, &e) {
		c.log().WithField("reason", e.Reason).Info("caller turned away")
		c.fatal(e)
	}
}

// start reads the start-up message and authenticates the caller.
func (c *session) start() error {
	startup, err := c.readStartup()
	if err != nil {
		return err
	}
	c.caller = bbrtype.CallerName(startup.Parameters["user"])
	name := startup.Parameters["database"]
	if name == "" {
		name = startup.Parameters["user"]
	}
	c.route = bbrtype.RouteName(name)
	cfg := c.srv.deps.Registry.View().Config
	if cfg == nil {
		return bbroutcome.New(bbroutcome.ReasonNoMember, "no configuration is in force yet")
	}
	caller := cfg.Callers[c.caller]
	if err := c.authenticate(caller); err != nil {
		return err
	}
	if !caller.MayUse(c.route) {
		return bbroutcome.New(bbroutcome.ReasonNoRoute, "caller %q may not use a route %q", c.caller, c.route)
	}
	c.tenant = caller.Tenant
	if !c.srv.count(c, caller.MaxConnections, cfg.Tenants[caller.Tenant].MaxConnections) {
		return bbroutcome.New(bbroutcome.ReasonTooManyConnections, "caller %q or its tenant has too many connections to this instance", c.caller)
	}
	for key, value := range startup.Parameters {
		if err := c.startParameter(strings.ToLower(key), value); err != nil {
			return err
		}
	}
	return c.welcome()
}

// startParameter takes a parameter of the start-up message.
func (c *session) startParameter(key, value string) error {
	switch key {
	case "user", "database", "replication":
		if key == "replication" && value != "false" && value != "off" && value != "0" {
			return bbroutcome.New(bbroutcome.ReasonUnsupported, "replication connections are not served")
		}
		return nil
	case "options":
		if strings.TrimSpace(value) != "" {
			return bbroutcome.New(bbroutcome.ReasonUnsupported, "start-up options are not supported: use SET")
		}
		return nil
	}
	if strings.HasPrefix(key, "_pq_.") {
		return nil
	}
	return c.set(key, value)
}

// readStartup reads messages until the start-up message, changing to TLS if
// asked to.
func (c *session) readStartup() (*pgproto3.StartupMessage, error) {
	secure := false
	for {
		msg, err := c.be.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Wrap(err, "read the start-up message")
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			if c.srv.opts.RequireTLS && !secure {
				return nil, bbroutcome.New(bbroutcome.ReasonAccessDenied, "this instance takes callers by TLS only: set sslmode=require")
			}
			return m, nil
		case *pgproto3.CancelRequest:
			c.srv.cancelStatement(m.ProcessID, m.SecretKey)
			return nil, errEnded
		case *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return nil, errors.Wrap(err, "answer a GSS request")
			}
		case *pgproto3.SSLRequest:
			if secure, err = c.answerTLS(); err != nil {
				return nil, err
			}
		default:
			return nil, bbroutcome.New(bbroutcome.ReasonProtocolViolation, "unexpected start-up message %T", msg)
		}
	}
}

// answerTLS accepts or declines TLS.
func (c *session) answerTLS() (bool, error) {
	if c.srv.deps.TLS == nil {
		_, err := c.conn.Write([]byte{'N'})
		return false, errors.Wrap(err, "decline TLS")
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return false, errors.Wrap(err, "accept TLS")
	}
	secure := tls.Server(c.conn, c.srv.deps.TLS)
	if err := secure.Handshake(); err != nil {
		return false, errors.Wrap(err, "TLS handshake")
	}
	c.attach(secure)
	return true, nil
}

// authenticate runs SCRAM-SHA-256 against the caller's verifier. A caller that
// does not exist fails in the same way as one with a wrong password.
func (c *session) authenticate(caller *bbrconfig.Caller) error {
	denied := bbroutcome.New(bbroutcome.ReasonAccessDenied, "password authentication failed for caller %q", c.caller)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		if caller == nil {
			return c.srv.mockCredentials(c.caller), nil
		}
		return bbrconfig.ParseVerifier(caller.Verifier)
	})
	if err != nil {
		return errors.Wrap(err, "prepare SCRAM")
	}
	conv := server.NewConversation()
	c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	msg, err := c.challenge(pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	initial, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != scramMechanism {
		return denied
	}
	reply, err := conv.Step(string(initial.Data))
	if err != nil {
		return denied
	}
	c.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)})
	if msg, err = c.challenge(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	final, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return denied
	}
	if reply, err = conv.Step(string(final.Data)); err != nil || !conv.Valid() {
		return denied
	}
	c.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
	return nil
}

// mockCredentials are credentials that no password meets. They are the same at
// each try, so that an unknown name looks like a wrong password.
func (s *Server) mockCredentials(name bbrtype.CallerName) scram.StoredCredentials {
	salt := sha256.Sum256([]byte("salt of " + string(name) + string(s.mockKey)))
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(salt[:mockSaltLength]), Iters: bbrconfig.VerifierIterations},
		StoredKey:  make([]byte, sha256.Size),
		ServerKey:  make([]byte, sha256.Size),
	}
}

// challenge sends what is pending and reads the answer.
func (c *session) challenge(authType uint32) (pgproto3.FrontendMessage, error) {
	if err := c.flush(); err != nil {
		return nil, err
	}
	if err := c.be.SetAuthType(authType); err != nil {
		return nil, errors.Wrap(err, "set the type of authentication")
	}
	msg, err := c.be.Receive()
	return msg, errors.Wrap(err, "read the answer to a challenge")
}

// welcome ends the start-up.
func (c *session) welcome() error {
	c.send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"},
		{"integer_datetimes", "on"},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", "UTC"},
		{"application_name", c.settings["application_name"]},
	} {
		c.send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.send(&pgproto3.BackendKeyData{ProcessID: c.id, SecretKey: c.secret})
	c.reportToken()
	c.send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
	return c.flush()
}
