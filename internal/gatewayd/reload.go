package gatewayd

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/platform"
)

// reloadSettingsOnHangup reads the settings file on SIGHUP, which the platform sends when the file has changed.
func (d *daemon) reloadSettingsOnHangup(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	current := *d.settings
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			current = d.reloadSettings(current)
		}
	}
}

// reloadSettings applies what has changed in the settings file as far as a running process can, and returns the settings in force.
// An invalid file changes nothing.
func (d *daemon) reloadSettings(current platform.Settings) platform.Settings {
	entry := d.log.WithField("event", "settings_reloaded")
	next, err := platform.LoadSettings(d.opts.SettingsPath)
	if err != nil {
		entry.WithError(err).Error("settings file is invalid; the previous settings stay in force")
		return current
	}
	var applied, atNextStart []string
	if next.RetryRatio != current.RetryRatio || next.RetrySlack != current.RetrySlack || next.RetryWindow != current.RetryWindow {
		current.RetryRatio, current.RetrySlack, current.RetryWindow = next.RetryRatio, next.RetrySlack, next.RetryWindow
		d.retryBudget.SetLimits(next.RetryRatio, next.RetrySlack, next.RetryWindow)
		applied = append(applied, "retry budget")
	}
	if next.CrossingCostPerGB != current.CrossingCostPerGB {
		current.CrossingCostPerGB = next.CrossingCostPerGB
		d.scheduler.SetDomainOptions(placement.DomainOptions{CostPerGigabyte: next.CrossingCostPerGB})
		applied = append(applied, "cost between failure domains")
	}
	if !slices.Equal(next.SeedAddrs, current.SeedAddrs) {
		current.SeedAddrs = next.SeedAddrs
		applied = append(applied, "seed addresses")
		for _, addr := range next.SeedAddrs {
			if err := d.exchange.AddTarget(addr); err != nil {
				d.log.WithError(err).WithField("event", "peer_malformed").Warn("invalid seed address")
			}
		}
	}
	for _, setting := range []struct {
		name      string
		now, next any
	}{
		{"name", current.Name, next.Name}, {"failure domain", current.FailureDomain, next.FailureDomain},
		{"caller address", current.CallerAddr, next.CallerAddr}, {"readiness address", current.ReadinessAddr, next.ReadinessAddr},
		{"internal address", current.InternalAddr, next.InternalAddr}, {"metrics address", current.MetricsAddr, next.MetricsAddr},
		{"memory", current.MemoryBytes, next.MemoryBytes}, {"descriptors", current.MaxFds, next.MaxFds},
		{"store", current.StoreURL, next.StoreURL}, {"grace period", current.GracePeriod, next.GracePeriod},
	} {
		if setting.now != setting.next {
			atNextStart = append(atNextStart, setting.name)
		}
	}
	entry.WithFields(logrus.Fields{"applied": applied, "at_next_start": atNextStart}).Info("settings file has been read")
	return current
}
