package fleet

import (
	"context"
	"os"
	"reflect"
	"time"

	"foxtailmux/setup"
)

// reloadInterval is the time between checks of the settings file, which also may change
// without a signal.
const reloadInterval = 2 * time.Second

// fileState identifies the version of a file.
type fileState struct {
	modified time.Time
	size     int64
}

// stateOf returns the state of a file, and a zero state if the file can't be read.
func stateOf(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{} // a file that is being replaced is read at the next check
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}

// watchSettings reloads the settings file on a signal and when the file has changed.
func (in *Instance) watchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
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
		in.reload(path)
	}
}

// reload applies the settings that can change while the instance runs: the log level and
// the durations of a stop. The others take effect at the next start.
func (in *Instance) reload(path string) {
	if path == "" {
		in.log.Info().Msg("no settings file to reload")
		return
	}
	s, err := setup.Load(path, os.Environ())
	if err != nil {
		in.log.Error().Err(err).Str("file", path).Msg("settings not reloaded, keeping the current ones")
		return
	}
	if err := in.log.SetLevel(s.Log.Level); err != nil {
		in.log.Error().Err(err).Msg("log level not changed")
	}
	stop := s.Stop
	in.stopSettings.Store(&stop)

	old := in.settings
	s.Log, s.Stop = old.Log, old.Stop
	in.log.Info().Str("file", path).Bool("needsRestart", !reflect.DeepEqual(old, s)).Msg("settings read again")
}
