package fleet

import (
	"context"
	"os"
	"reflect"
	"time"

	"foxtailmux/setup"
)

// reloadInterval is the time between looks whether the settings file changed,
// which may happen without a signal.
const reloadInterval = 2 * time.Second

// fileState tells whether a file changed.
type fileState struct {
	modified time.Time
	size     int64
}

func stateOf(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{} // a file that is being replaced is read at the next look
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}

// watchSettings reads the settings file again on a signal and when it changed.
func (f *Instance) watchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	seen := stateOf(path)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if now := stateOf(path); now == seen || now == (fileState{}) {
				continue
			}
		}
		seen = stateOf(path)
		f.reload(path)
	}
}

// reload brings the settings into force that can change while the instance
// runs: the level of the log and the times of a stop. The others take effect at
// the next start.
func (f *Instance) reload(path string) {
	if path == "" {
		f.log.Info().Msg("no settings file to read again")
		return
	}
	s, err := setup.Load(path, os.Environ())
	if err != nil {
		f.log.Error().Err(err).Str("file", path).Msg("settings not read again, the present ones stay")
		return
	}
	if err := f.log.SetLevel(s.Log.Level); err != nil {
		f.log.Error().Err(err).Msg("level of the log not changed")
	}
	stop := s.Stop
	f.stop.Store(&stop)

	old := f.settings
	s.Log, s.Stop = old.Log, old.Stop
	f.log.Info().Str("file", path).Bool("needsRestart", !reflect.DeepEqual(old, s)).Msg("settings read again")
}
