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

// watchSettings polls the settings file, and reloads it when it changed or on
// SIGHUP. The fleet's retry burst follows the file; all other settings take effect
// at the next start.
func (f *Front) watchSettings(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	previous, err := os.ReadFile(f.path)
	if err != nil {
		f.logReloadError(err)
	}
	ticker := time.NewTicker(f.settings.Bounds.SettingsPoll)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
			signaled = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(f.path)
		if err != nil {
			f.logReloadError(err)
			continue
		}
		if signaled || !bytes.Equal(text, previous) {
			f.reload(text)
		}
		previous = text
	}
}

// reload applies the text of a settings file. If it is invalid, the current
// settings stay in effect.
func (f *Front) reload(text []byte) {
	config, err := settings.ParseFront(text)
	if err != nil {
		f.logReloadError(err)
		return
	}
	f.retrySlack.Store(&config.Bounds.RetrySlack)
	events.Log(f.logger, events.SettingsReloaded, log.Fields{
		"retrySlack":  config.Bounds.RetrySlack,
		"needRestart": config.Listen != f.settings.Listen || config.StoreAddress != f.settings.StoreAddress,
	})
}

// logReloadError logs why the settings file could not be read or parsed.
func (f *Front) logReloadError(err error) {
	events.Log(f.logger, events.SettingsMalformed, log.Fields{
		"error": err.Error(),
	})
}
