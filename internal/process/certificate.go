package process

import (
	"crypto/tls"
	"log/slog"
	"os"
	"sync"
	"time"

	"rhubarbrudder/internal/settings"
)

// certificatePeriod is how often the files of a certificate are looked at.
const certificatePeriod = time.Second

// certificate is a server's certificate, which is read again when its files change.
type certificate struct {
	files   settings.Certificate
	log     *slog.Logger
	mu      sync.Mutex
	loaded  *tls.Certificate
	changed [2]time.Time
	looked  time.Time
}

// newCertificate reads the certificate; there must be one to start with.
func newCertificate(files settings.Certificate, log *slog.Logger) (*certificate, error) {
	c := &certificate{
		files:  files,
		log:    log,
		looked: time.Now(),
	}
	if err := c.load(c.times()); err != nil {
		return nil, startError(err)
	}
	return c, nil
}

// times returns when the files were last changed.
func (c *certificate) times() [2]time.Time {
	var changed [2]time.Time
	for i, path := range []string{c.files.CertificateFile, c.files.KeyFile} {
		if info, err := os.Stat(path); err == nil {
			changed[i] = info.ModTime()
		}
	}
	return changed
}

func (c *certificate) load(changed [2]time.Time) error {
	loaded, err := tls.LoadX509KeyPair(c.files.CertificateFile, c.files.KeyFile)
	if err != nil {
		return err
	}
	c.loaded = &loaded
	c.changed = changed
	return nil
}

// get returns the certificate. Files that can't be used leave the last one in force.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.looked) < certificatePeriod {
		return c.loaded, nil
	}
	c.looked = time.Now()
	changed := c.times()
	if changed == c.changed {
		return c.loaded, nil
	}
	if err := c.load(changed); err != nil {
		c.log.Warn("certificate not reloaded", "file", c.files.CertificateFile, "err", err)
		return c.loaded, nil
	}
	c.log.Info("certificate reloaded", "file", c.files.CertificateFile)
	return c.loaded, nil
}
