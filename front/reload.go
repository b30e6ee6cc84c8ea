package front

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/settings"
)

// watchSettings reads the settings file again at SIGHUP, and when it changed
// without one. The level of logs and the fleet's retries follow it; the rest
// stays until the next start.
func (f *Front) watchSettings(ctx context.Context) error {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	before, err := os.ReadFile(f.path)
	if err != nil {
		f.logReload(err)
	}
	ticks := time.NewTicker(f.settings.Bounds.SettingsPoll)
	defer ticks.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			asked = true
		case <-ticks.C:
		}
		text, err := os.ReadFile(f.path)
		if err != nil {
			f.logReload(err)
			continue
		}
		if asked || !bytes.Equal(text, before) {
			f.reload(text)
		}
		before = text
	}
}

func (f *Front) reload(text []byte) {
	config, err := settings.ParseFront(text)
	if err != nil {
		f.logReload(err)
		return
	}
	f.retrySlack.Store(&config.Bounds.RetrySlack)
	events.Log(f.logger, events.SettingsReloaded, log.Fields{
		"retrySlack":  config.Bounds.RetrySlack,
		"needRestart": config.Listen != f.settings.Listen || config.StoreAddress != f.settings.StoreAddress,
	})
}

func (f *Front) logReload(err error) {
	events.Log(f.logger, events.SettingsMalformed, log.Fields{
		"error": err.Error(),
	})
}
