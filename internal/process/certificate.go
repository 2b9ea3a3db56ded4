package process

import (
	"crypto/tls"
	"log/slog"
	"os"
	"sync"
	"time"

	"rhubarbrudder/internal/settings"
)

// certificateCheckInterval is the minimum time between checks of a certificate's files.
const certificateCheckInterval = time.Second

// reloadingCertificate is a server's certificate that is reloaded when its files change.
type reloadingCertificate struct {
	files       settings.Certificate
	log         *slog.Logger
	mu          sync.Mutex
	loaded      *tls.Certificate
	modTimes    [2]time.Time
	lastChecked time.Time
}

// newCertificate loads the certificate. It fails if the files hold no valid certificate.
func newCertificate(files settings.Certificate, log *slog.Logger) (*reloadingCertificate, error) {
	c := &reloadingCertificate{
		files:       files,
		log:         log,
		lastChecked: time.Now(),
	}
	if err := c.load(c.currentModTimes()); err != nil {
		return nil, startError(err)
	}
	return c, nil
}

// currentModTimes returns the modification times of the files.
func (c *reloadingCertificate) currentModTimes() [2]time.Time {
	var modTimes [2]time.Time
	for i, path := range []string{c.files.CertificateFile, c.files.KeyFile} {
		if info, err := os.Stat(path); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

func (c *reloadingCertificate) load(modTimes [2]time.Time) error {
	loaded, err := tls.LoadX509KeyPair(c.files.CertificateFile, c.files.KeyFile)
	if err != nil {
		return err
	}
	c.loaded = &loaded
	c.modTimes = modTimes
	return nil
}

// get returns the certificate. If changed files can't be loaded, the last valid certificate stays in use.
func (c *reloadingCertificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastChecked) < certificateCheckInterval {
		return c.loaded, nil
	}
	c.lastChecked = time.Now()
	modTimes := c.currentModTimes()
	if modTimes == c.modTimes {
		return c.loaded, nil
	}
	if err := c.load(modTimes); err != nil {
		c.log.Warn("certificate not reloaded", "file", c.files.CertificateFile, "err", err)
		return c.loaded, nil
	}
	c.log.Info("certificate reloaded", "file", c.files.CertificateFile)
	return c.loaded, nil
}
