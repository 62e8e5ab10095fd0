// Package bbrstandin holds the commands that run the stand-ins as processes.
//
// # Usage
//
//	app := &cli.Command{Commands: bbrstandin.Commands()}
package bbrstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrstandindb"
	"github.com/bluebellroute/bluebellroute/bbrstandinplatform"
)

// Commands returns the commands of the stand-ins.
func Commands() []*cli.Command {
	return []*cli.Command{databaseCommand(), cannedCommand(), platformCommand()}
}

func cannedCommand() *cli.Command {
	return &cli.Command{
		Name:  "canned",
		Usage: "run a member that gives the same answer to everything",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` for clients"},
			&cli.BoolFlag{Name: "primary"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := bbrstandindb.ListenCanned(cmd.String("listen"), cmd.Bool("primary"))
			if err != nil {
				return err
			}
			defer c.Close()
			fmt.Printf("listen %s\n", c.Addr())
			<-ctx.Done()
			return nil
		},
	}
}

func databaseCommand() *cli.Command {
	return &cli.Command{
		Name:  "database",
		Usage: "run one member of a database group",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` for clients and replicas"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "`ADDRESS` for the HTTP switch"},
			&cli.StringFlag{Name: "name", Value: "m1"},
			&cli.BoolFlag{Name: "primary"},
			&cli.StringFlag{Name: "follow", Usage: "`ADDRESS` of the primary"},
			&cli.DurationFlag{Name: "lag", Usage: "delay of replay"},
			&cli.IntFlag{Name: "max-connections", Value: 25},
			&cli.DurationFlag{Name: "connect-delay", Value: 10 * time.Millisecond},
			&cli.IntFlag{Name: "slots", Value: 3},
			&cli.DurationFlag{Name: "service-time", Value: 200 * time.Microsecond},
			&cli.StringFlag{Name: "password"},
			&cli.StringFlag{Name: "data-centre", Usage: "where the member runs"},
			&cli.DurationFlag{Name: "far-delay", Usage: "one-way delay to clients in other data centres"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			db := bbrstandindb.New(bbrstandindb.Options{
				Name: cmd.String("name"), Primary: cmd.Bool("primary"), Follow: cmd.String("follow"), Lag: cmd.Duration("lag"),
				MaxConnections: cmd.Int("max-connections"), ConnectDelay: cmd.Duration("connect-delay"),
				Slots: cmd.Int("slots"), ServiceTime: cmd.Duration("service-time"), Password: cmd.String("password"),
				DataCentre: cmd.String("data-centre"), FarDelay: cmd.Duration("far-delay"),
			})
			srv, err := bbrstandindb.Listen(db, cmd.String("listen"))
			if err != nil {
				return err
			}
			defer srv.Close()
			return serveSwitch(ctx, cmd.String("control"), srv.Addr(), databaseSwitch(db, srv))
		},
	}
}

// databaseSwitch lets tests look at a member and change it.
func databaseSwitch(db *bbrstandindb.Database, srv *bbrstandindb.Server) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("/log", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(db.Log()) })
	mux.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		asPrimary, asReplica := db.Reads()
		_ = json.NewEncoder(w).Encode(map[string]any{"state": db.State(), "peakConnections": srv.PeakConnections(), "readsAsPrimary": asPrimary, "readsAsReplica": asReplica})
	})
	mux.HandleFunc("/lag", func(w http.ResponseWriter, r *http.Request) {
		lag, err := time.ParseDuration(r.FormValue("lag"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		db.SetLag(lag)
	})
	return mux
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the table service, the object store and the list of instances",
		Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` for all of them"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p, err := bbrstandinplatform.Listen(cmd.String("listen"))
			if err != nil {
				return err
			}
			defer p.Close()
			fmt.Printf("listen %s\n", p.Addr())
			<-ctx.Done()
			return nil
		},
	}
}

// serveSwitch prints the addresses and serves HTTP until the context ends.
func serveSwitch(ctx context.Context, addr, listen string, mux *http.ServeMux) error {
	server := &http.Server{Addr: addr, Handler: mux, ReadHeaderTimeout: time.Minute}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	fmt.Printf("listen %s control %s\n", listen, l.Addr())
	var group errgroup.Group
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	if err := server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return group.Wait()
}
