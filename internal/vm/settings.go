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

// Settings is the content of the settings file of a VM's process.
type Settings struct {
	Name          pool.VMName      `validate:"required"`
	FailureDomain inventory.Domain `validate:"required"`
	Listen        Listen
	Limits        Limits
	// Seeds are the peer addresses of VMs that may be running. A VM that starts while the store is unavailable contacts
	// them.
	Seeds []string
	Store StoreSettings
	Batch BatchSettings
	// Allowances holds the settings for the limits of organisations.
	Allowances AllowanceSettings
	Peers      PeerSettings
	Keys       KeySettings
	Log        LogSettings
	// Endpoints configures how endpoints are used.
	Endpoints EndpointSettings
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	Callers string `validate:"required,hostname_port"`
	// Ready serves the readiness checks of the load balancer.
	Ready string `validate:"required,hostname_port"`
	// Peers serves other VMs.
	Peers string `validate:"required,hostname_port"`
	// Metrics is empty if no metrics are served.
	Metrics string
}

// Limits are the VM's resources.
type Limits struct {
	// CoreShare is the share of a core that the VM may use, CoreSpeed the speed of that core, where 1 is a usual core.
	// The product is the number of cores that other VMs see in the roster.
	CoreShare float64 `validate:"gt=0"`
	CoreSpeed float64 `validate:"gt=0"`
	MemoryMB  int64   `validate:"gt=0"`
}

// StoreSettings locates the store.
type StoreSettings struct {
	Address string `validate:"required,hostname_port"`
	// ReadsPerSecond is the number of reads that the store serves, for all VMs together; zero if it is not known. VMs follow changes
	// less closely where there are many VMs for it.
	ReadsPerSecond int `validate:"gte=0"`
}

// BatchSettings configures the storage of batch jobs.
type BatchSettings struct {
	// Keep is how long a job's results stay readable after its submission, the retention period.
	Keep settings.Duration
}

// AllowanceSettings configures the limits of organisations.
type AllowanceSettings struct {
	// Window is the time in which an organisation may send as many requests as its rate and burst allow, over all VMs.
	Window settings.Duration `validate:"gt=0"`
}

// PeerSettings configures the connections between VMs.
type PeerSettings struct {
	// Secret authenticates VMs to each other.
	Secret string `validate:"required"`
	// Announce is the address at which other VMs call this one, if it differs from the listening address.
	Announce string `validate:"omitempty,hostname_port"`
}

// KeySettings configures how this VM decides about the keys of organisations while it cannot read the store.
type KeySettings struct {
	// RevokeTime is the time within which this VM must learn that a key was revoked.
	RevokeTime settings.Duration `validate:"gt=0"`
	// FailClosed makes this VM refuse requests that need a key if its configuration was not confirmed within RevokeTime.
	FailClosed bool
}

// LogSettings configures the log.
type LogSettings struct {
	Level string `validate:"oneof=Debug Info Warn Error"`
}

// EndpointSettings configures how endpoints are used.
type EndpointSettings struct {
	// AdaptiveConcurrency derives the number of runs in flight at an endpoint from its answers. It must be the same at all
	// VMs, as each of them may be the steward.
	AdaptiveConcurrency bool
}

// defaultRetention is the retention period of results if the settings do not set one.
const defaultRetention = 10 * time.Minute

// defaultRevokeTime is several times what it takes to find that the store is away and to ask other VMs.
const defaultRevokeTime = 5 * time.Second

// defaultAllowanceWindow is the window of organisations' limits if the settings do not set one.
const defaultAllowanceWindow = 5 * time.Second

// DefaultSettings returns the defaults for settings that the file omits.
func DefaultSettings() Settings {
	return Settings{
		Limits: Limits{
			CoreShare: 1,
			CoreSpeed: 1,
			MemoryMB:  256,
		},
		Batch: BatchSettings{
			Keep: settings.Duration(defaultRetention),
		},
		Keys: KeySettings{
			RevokeTime: settings.Duration(defaultRevokeTime),
		},
		Allowances: AllowanceSettings{
			Window: settings.Duration(defaultAllowanceWindow),
		},
		Log: LogSettings{
			Level: "Info",
		},
	}
}

// LoadSettings reads a settings file and applies overrides to it, which have the format of the file and may be empty. The error lists
// all problems in the one that cannot be used.
func LoadSettings(path string, overrides string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.In("vm").With("path", path).Wrap(err)
	}
	return ParseSettings(path, data, overrides)
}

// ParseSettings parses settings and overrides; the error lists all problems in the one that cannot be used, with name as the name of
// the file.
func ParseSettings(name string, data []byte, overrides string) (Settings, error) {
	loaded := DefaultSettings()
	if problems := jsonc.Decode(name, data, &loaded); len(problems) > 0 {
		return Settings{}, problems
	}
	if overrides == "" {
		return loaded, nil
	}
	if problems := jsonc.Decode("overrides", []byte(overrides), &loaded); len(problems) > 0 {
		return Settings{}, problems
	}
	return loaded, nil
}

// announcedAddress returns the address that other VMs call.
func (s Settings) announcedAddress() string {
	if s.Peers.Announce != "" {
		return s.Peers.Announce
	}
	return s.Listen.Peers
}

// SlogLevel returns the lowest level that is logged, or Info if the level is not valid.
func (l LogSettings) SlogLevel() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return slog.LevelInfo
	}
	return level
}
