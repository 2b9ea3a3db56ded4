package cli

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"rhubarbrudder/pkg/client"
)

// connection holds the flags for the address of the system and the credentials of the user.
type connection struct {
	url        string
	secretFile string
	caFile     string
	// envVariable names the environment variable that holds the secret if no file is given.
	envVariable string
}

const (
	tokenVariable = "RHUBARBRUDDER_TOKEN"
	keyVariable   = "RHUBARBRUDDER_KEY"
)

// addOperatorFlags adds the connection flags of commands for operators.
func addOperatorFlags(command *cobra.Command) *connection {
	c := &connection{
		envVariable: tokenVariable,
	}
	command.PersistentFlags().StringVar(&c.url, "controller", "http://127.0.0.1:8090", "URL of a controller")
	command.PersistentFlags().StringVar(&c.secretFile, "token-file", "", "file with the operator's token (else $"+tokenVariable+")")
	c.addTLSFlag(command)
	return c
}

// addCallerFlags adds the connection flags of commands for callers.
func addCallerFlags(command *cobra.Command) *connection {
	c := &connection{
		envVariable: keyVariable,
	}
	command.PersistentFlags().StringVar(&c.url, "gateway", "http://127.0.0.1:8080", "URL of a gateway")
	command.PersistentFlags().StringVar(&c.secretFile, "key-file", "", "file with the organisation's key (else $"+keyVariable+")")
	c.addTLSFlag(command)
	return c
}

func (c *connection) addTLSFlag(command *cobra.Command) {
	command.PersistentFlags().StringVar(&c.caFile, "ca-file", "", "file with the certificates to trust, in PEM (else the system's)")
}

// newHTTPClient returns a client that trusts the certificates in caFile, or the default client if none is given.
func (c *connection) newHTTPClient() (*http.Client, error) {
	if c.caFile == "" {
		return http.DefaultClient, nil
	}
	data, err := os.ReadFile(c.caFile)
	if err != nil {
		return nil, errors.Join(errUsage, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, errors.Join(errUsage, fmt.Errorf("%s holds no certificate", c.caFile))
	}
	return &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: &tls.Config{
				MinVersion: tls.VersionTLS12,
				RootCAs:    roots,
			},
		},
	}, nil
}

func (c *connection) secret() (string, error) {
	if c.secretFile == "" {
		if secret := os.Getenv(c.envVariable); secret != "" {
			return secret, nil
		}
		return "", errors.Join(errUsage, fmt.Errorf("no secret: give a file or set %s", c.envVariable))
	}
	data, err := os.ReadFile(c.secretFile)
	if err != nil {
		return "", errors.Join(errUsage, err)
	}
	return strings.TrimSpace(string(data)), nil
}

func (c *connection) operator() (*client.Operator, error) {
	token, err := c.secret()
	if err != nil {
		return nil, err
	}
	httpClient, err := c.newHTTPClient()
	if err != nil {
		return nil, err
	}
	return client.NewOperator(httpClient, c.url, token), nil
}

func (c *connection) caller() (*client.Caller, error) {
	key, err := c.secret()
	if err != nil {
		return nil, err
	}
	httpClient, err := c.newHTTPClient()
	if err != nil {
		return nil, err
	}
	return client.NewCaller(httpClient, c.url, key), nil
}
