package waxcrash

import "log/slog"

// LogChanges logs the traits that were banned or released.
func LogChanges(log *slog.Logger, changes []Change) {
	for _, c := range changes {
		kind := "prompt-part"
		if c.trait.IsRequest() {
			kind = "request"
		}
		if !c.banned {
			log.Info("ban lifted", "kind", kind, "trait", c.trait.String())
			continue
		}
		log.Warn("banned after crashes", "kind", kind, "trait", c.trait.String(), "crashes", c.crashes)
	}
}
