package bbrcommand

import (
	"context"
	"crypto/tls"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbradmin/adminpb"
	"github.com/bluebellroute/bluebellroute/bbrsettings"
	"github.com/bluebellroute/bluebellroute/bbrtls"
)

// environmentKey is the variable that holds an operator's key.
const environmentKey = "BLUEBELLROUTE_KEY"

// clientFlags are the flags of commands that call an instance.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "control", Value: bbrsettings.DefaultControl, Sources: cli.EnvVars("BLUEBELLROUTE_CONTROL"), Usage: "control `ADDRESS` of any instance"},
		&cli.StringFlag{Name: "operator", Value: "admin", Sources: cli.EnvVars("BLUEBELLROUTE_OPERATOR"), Usage: "`NAME` of the operator"},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operator's key, instead of the variable " + environmentKey},
		&cli.StringFlag{Name: "cert", Usage: "`FILE` with a certificate, where instances ask for one"},
		&cli.StringFlag{Name: "cert-key", Usage: "`FILE` with the certificate's key"},
		&cli.StringFlag{Name: "ca", Usage: "`FILE` with the authority's certificate"},
		jsonFlag(),
	}, more...)
}

// bearer adds the operator's name and key to requests.
type bearer struct {
	header string
	base   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b *bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", b.header)
	return b.base.RoundTrip(r)
}

// newClient returns a client of the administration API.
func newClient(cmd *cli.Command) (adminpb.Admin, error) {
	key := os.Getenv(environmentKey)
	if file := cmd.String("key-file"); file != "" {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, failWith(ExitUsage, "%v", err)
		}
		key = strings.TrimSpace(string(b))
	}
	cfg, err := clientTLS(cmd)
	if err != nil {
		return nil, err
	}
	scheme := "http://"
	if cfg != nil {
		scheme = "https://"
	}
	transport := &bearer{header: "Bearer " + cmd.String("operator") + ":" + key, base: &http.Transport{TLSClientConfig: cfg}}
	return adminpb.NewAdminProtobufClient(scheme+cmd.String("control"), &http.Client{Transport: transport}), nil
}

// clientTLS returns the TLS configuration that the flags ask for, or nil.
func clientTLS(cmd *cli.Command) (*tls.Config, error) {
	if cmd.String("ca") == "" {
		return nil, nil
	}
	pool, err := bbrtls.LoadPool(cmd.String("ca"))
	if err != nil {
		return nil, failWith(ExitUsage, "%v", err)
	}
	r, err := bbrtls.NewReloader(cmd.String("cert"), cmd.String("cert-key"))
	if err != nil {
		return nil, failWith(ExitUsage, "%v", err)
	}
	return bbrtls.MutualClient(r, pool), nil
}

// callFailed turns an error of a call into that of the command.
func callFailed(cmd *cli.Command, err error) error {
	var e twirp.Error
	if errors.As(err, &e) {
		return failWith(ExitFailed, "%s: %s", cmd.String("control"), e.Msg())
	}
	return failWith(ExitFailed, "%s: %v", cmd.String("control"), err)
}

// called runs a call and turns its error into that of the command.
func called[Q, R any](ctx context.Context, cmd *cli.Command, call func(adminpb.Admin) func(context.Context, Q) (R, error), q Q) (R, error) {
	var none R
	c, err := newClient(cmd)
	if err != nil {
		return none, err
	}
	reply, err := call(c)(ctx, q)
	if err != nil {
		return none, callFailed(cmd, err)
	}
	return reply, nil
}
