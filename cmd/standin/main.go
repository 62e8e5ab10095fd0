// Command standin runs the stand-ins that tests and trials use in place of
// databases and of the platform.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrstandindb"
	"github.com/bluebellroute/bluebellroute/bbrstandinplatform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins for databases and for the platform",
		Commands: []*cli.Command{databaseCommand(), platformCommand()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
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
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			db := bbrstandindb.New(bbrstandindb.Options{
				Name: cmd.String("name"), Primary: cmd.Bool("primary"), Follow: cmd.String("follow"), Lag: cmd.Duration("lag"),
				MaxConnections: cmd.Int("max-connections"), ConnectDelay: cmd.Duration("connect-delay"),
				Slots: cmd.Int("slots"), ServiceTime: cmd.Duration("service-time"), Password: cmd.String("password"),
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
		_ = json.NewEncoder(w).Encode(map[string]any{"state": db.State(), "peakConnections": srv.PeakConnections()})
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
