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
	namePlatform = `name:"ports"`
	nameLog      = `name:"log"`
	nameClock    = `name:"clock"`
	nameMetrics  = `name:"metrics"`
)

// Run assembles an instance from its parts by dependency injection, where each
// value is looked up by name. It serves until ctx ends, and then until all sessions
// have ended or the grace period is over.
func Run(ctx context.Context, settings *Settings, platform Platform, log *logrus.Logger, load func() (*Settings, error), reload <-chan os.Signal) error {
	var n *Node
	app := fx.New(
		fx.NopLogger,
		fx.Provide(
			fx.Annotate(func() *Settings { return settings }, fx.ResultTags(nameSettings)),
			fx.Annotate(func() Platform { return platform }, fx.ResultTags(namePlatform)),
			fx.Annotate(func() *logrus.Logger { return log }, fx.ResultTags(nameLog)),
			fx.Annotate(bbrtype.NewClock, fx.ResultTags(nameClock)),
			fx.Annotate(newMetrics, fx.ResultTags(nameMetrics)),
			fx.Annotate(newNode, fx.ParamTags(nameSettings, namePlatform, nameLog, nameClock, nameMetrics)),
		),
		fx.Populate(&n),
	)
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "put the instance together")
	}
	return n.run(ctx, load, reload)
}
