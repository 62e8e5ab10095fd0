package bbrnode

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Names of the values in the dependency container.
const (
	nameSettings = `name:"settings"`
	namePorts    = `name:"ports"`
	nameLog      = `name:"log"`
	nameClock    = `name:"clock"`
	nameMetrics  = `name:"metrics"`
)

// Start assembles an instance from its parts by dependency injection, where each
// value is looked up by name. It serves until ctx ends, and then until all sessions
// have ended or the grace period is over.
func Start(ctx context.Context, settings *Settings, ports Ports, log *logrus.Logger, load func() (*Settings, error), reload <-chan os.Signal) error {
	var n *Node
	app := fx.New(
		fx.NopLogger,
		fx.Provide(
			fx.Annotate(func() *Settings { return settings }, fx.ResultTags(nameSettings)),
			fx.Annotate(func() Ports { return ports }, fx.ResultTags(namePorts)),
			fx.Annotate(func() *logrus.Logger { return log }, fx.ResultTags(nameLog)),
			fx.Annotate(bbrtype.NewClock, fx.ResultTags(nameClock)),
			fx.Annotate(newMetrics, fx.ResultTags(nameMetrics)),
			fx.Annotate(newNode, fx.ParamTags(nameSettings, namePorts, nameLog, nameClock, nameMetrics)),
		),
		fx.Populate(&n),
	)
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "put the instance together")
	}
	return n.run(ctx, load, reload)
}
