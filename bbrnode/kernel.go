package bbrnode

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Names under which services are found.
const (
	nameSettings = `name:"settings"`
	namePorts    = `name:"ports"`
	nameLog      = `name:"log"`
	nameClock    = `name:"clock"`
	nameMetrics  = `name:"metrics"`
)

// Start puts an instance together from services that find each other by name, and
// serves until ctx ends and the sessions have ended or the grace is over.
func Start(ctx context.Context, s *Settings, p Ports, log *logrus.Logger, load func() (*Settings, error), reload <-chan os.Signal) error {
	var n *Node
	app := fx.New(
		fx.NopLogger,
		fx.Provide(
			fx.Annotate(func() *Settings { return s }, fx.ResultTags(nameSettings)),
			fx.Annotate(func() Ports { return p }, fx.ResultTags(namePorts)),
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
