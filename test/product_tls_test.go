package test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/standin"
)

// TestTLS serves callers and operators with TLS and signs requests to the platform. It replaces the certificate while
// the gateway runs, first by a new one and then by an invalid one, which the gateway must not load.
func TestTLS(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	files := settings.Certificate{
		CertificateFile: filepath.Join(folder, "certificate.pem"),
		KeyFile:         filepath.Join(folder, "key.pem"),
	}
	key := filepath.Join(folder, "access")
	assert.NilError(t, os.WriteFile(key, []byte("id\nsecret\n"), 0o600))
	options := defaultCluster(117)
	options.vms = 1
	options.customiseSettings = func(s *settings.Settings) {
		writeCertificate(t, files, 1, s.VM.Address)
		s.TLS.Caller = files
		s.TLS.Operator = files
		s.Platform.AccessKeyFile = key
		s.Platform.SigningRegion = "bayern-sued"
	}
	c := newCluster(t, options)
	cli := commandLine{
		t: t,
		c: c,
	}
	fleetReport := cli.run("report", "fleet", "--controller", "https://"+c.address(11, 8090), "--ca-file", files.CertificateFile)
	assert.Equal(t, fleetReport.code, 0, fleetReport.stderr)
	untrusted := cli.run("report", "fleet", "--controller", "https://"+c.address(11, 8090))
	assert.Equal(t, untrusted.code, 4, untrusted.stderr)

	gateway := c.address(11, callerPort)
	assert.Equal(t, serialNumber(t, gateway, files), int64(1))
	client := openai.NewClient(option.WithBaseURL("https://"+gateway+"/v1/"), option.WithAPIKey(testKey), option.WithMaxRetries(0),
		option.WithHTTPClient(&http.Client{Transport: &http.Transport{TLSClientConfig: trustingConfig(t, files)}}))
	answer, err := streamChat(client, "Is beacon 4 ready?", 6)
	assert.NilError(t, err)
	assert.Equal(t, answer, standin.Answer("Is beacon 4 ready?", 6))

	writeCertificate(t, files, 2, c.settings[0].VM.Address)
	waitFor(t, "the new certificate", readyTimeout, func() bool {
		return serialNumber(t, gateway, files) == 2
	})
	trusted := trustingConfig(t, files)
	assert.NilError(t, os.WriteFile(files.CertificateFile, []byte("broken"), 0o600))
	waitFor(t, "the invalid certificate to be reported", readyTimeout, func() bool {
		conn, err := tls.Dial("tcp", gateway, trusted)
		assert.NilError(t, err)
		_ = conn.Close()
		return strings.Contains(c.processes[processName(fleet.RoleGateway, 0)].logText(), "certificate not reloaded")
	})
}

func trustingConfig(t *testing.T, files settings.Certificate) *tls.Config {
	t.Helper()
	data, err := os.ReadFile(files.CertificateFile)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(data))
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    pool,
	}
}

// serialNumber returns the serial number of the server's certificate, or zero if it is not the one in the files.
func serialNumber(t *testing.T, address string, files settings.Certificate) int64 {
	t.Helper()
	conn, err := tls.Dial("tcp", address, trustingConfig(t, files))
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// writeCertificate writes a self-signed certificate for the address.
func writeCertificate(t *testing.T, files settings.Certificate, number int64, address string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(number),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.ParseIP(address)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	assert.NilError(t, os.WriteFile(files.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
}
