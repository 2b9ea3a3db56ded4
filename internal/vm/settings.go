package vm

import (
	"log/slog"
	"os"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/jsonc"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/settings"
)

// Settings is the settings file of a VM's process.
type Settings struct {
	Name          pool.VMName      `validate:"required"`
	FailureDomain inventory.Domain `validate:"required"`
	Listen        Listen
	Limits        Limits
	// Seeds are peer addresses of VMs that may run; they help a VM that starts while the store is away.
	Seeds []string
	Store StoreSettings
	Batch BatchSettings
	Peers PeerSettings
	Log   LogSettings
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	Callers string `validate:"required,hostname_port"`
	Ready   string `validate:"required,hostname_port"`
	Peers   string `validate:"required,hostname_port"`
	// Metrics is empty if metrics are not served.
	Metrics string
}

// Limits are the VM's means.
type Limits struct {
	// CoreShare is the part of a core, CoreSpeed that core's speed.
	CoreShare float64 `validate:"gt=0"`
	CoreSpeed float64 `validate:"gt=0"`
	MemoryMB  int64   `validate:"gt=0"`
}

// StoreSettings says where the store is.
type StoreSettings struct {
	Address string `validate:"required,hostname_port"`
}

// BatchSettings says how batch jobs are kept.
type BatchSettings struct {
	// Keep is how long a job's results stay readable after its submission.
	Keep settings.Duration
}

// PeerSettings says how the VMs know each other.
type PeerSettings struct {
	// Secret authenticates VMs to each other.
	Secret string `validate:"required"`
	// Announce is where other VMs call this one, if that is not the address that it listens on.
	Announce string `validate:"omitempty,hostname_port"`
}

// LogSettings says what is logged.
type LogSettings struct {
	Level string `validate:"oneof=Debug Info Warn Error"`
}

// defaultKeep is for how long results are kept where the settings do not say.
const defaultKeep = 10 * time.Minute

// DefaultSettings returns the settings that a file changes.
func DefaultSettings() Settings {
	return Settings{
		Limits: Limits{
			CoreShare: 1,
			CoreSpeed: 1,
			MemoryMB:  256,
		},
		Batch: BatchSettings{
			Keep: settings.Duration(defaultKeep),
		},
		Log: LogSettings{
			Level: "Info",
		},
	}
}

// LoadSettings reads a settings file; the error lists every fault in it.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.In("vm").With("path", path).Wrap(err)
	}
	return ParseSettings(path, data)
}

// ParseSettings reads settings; name stands for the file in faults, which the error lists all.
func ParseSettings(name string, data []byte) (Settings, error) {
	loaded := DefaultSettings()
	if faults := jsonc.Decode(name, data, &loaded); len(faults) > 0 {
		return Settings{}, faults
	}
	return loaded, nil
}

// announced returns the address that other VMs call.
func (s Settings) announced() string {
	if s.Peers.Announce != "" {
		return s.Peers.Announce
	}
	return s.Listen.Peers
}

// SlogLevel returns the level below which nothing is logged.
func (l LogSettings) SlogLevel() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return slog.LevelInfo
	}
	return level
}
