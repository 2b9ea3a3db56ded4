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

// connect holds the flags that say where the system is and who asks.
type connect struct {
	url        string
	secretFile string
	caFile     string
	// variable is the environment variable that holds the secret if no file is given.
	variable string
}

const (
	variableToken = "RHUBARBRUDDER_TOKEN"
	variableKey   = "RHUBARBRUDDER_KEY"
)

// operatorFlags adds the flags of operators' commands.
func operatorFlags(command *cobra.Command) *connect {
	c := &connect{
		variable: variableToken,
	}
	command.PersistentFlags().StringVar(&c.url, "controller", "http://127.0.0.1:8090", "URL of a controller")
	command.PersistentFlags().StringVar(&c.secretFile, "token-file", "", "file with the operator's token (else $"+variableToken+")")
	c.tlsFlag(command)
	return c
}

// callerFlags adds the flags of callers' commands.
func callerFlags(command *cobra.Command) *connect {
	c := &connect{
		variable: variableKey,
	}
	command.PersistentFlags().StringVar(&c.url, "gateway", "http://127.0.0.1:8080", "URL of a gateway")
	command.PersistentFlags().StringVar(&c.secretFile, "key-file", "", "file with the organisation's key (else $"+variableKey+")")
	c.tlsFlag(command)
	return c
}

func (c *connect) tlsFlag(command *cobra.Command) {
	command.PersistentFlags().StringVar(&c.caFile, "ca-file", "", "file with the certificates to trust, in PEM (else the system's)")
}

// client returns the HTTP client to use.
func (c *connect) client() (*http.Client, error) {
	if c.caFile == "" {
		return http.DefaultClient, nil
	}
	data, err := os.ReadFile(c.caFile)
	if err != nil {
		return nil, errors.Join(errUsage, err)
	}
	trusted := x509.NewCertPool()
	if !trusted.AppendCertsFromPEM(data) {
		return nil, errors.Join(errUsage, fmt.Errorf("%s holds no certificate", c.caFile))
	}
	return &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: &tls.Config{
				MinVersion: tls.VersionTLS12,
				RootCAs:    trusted,
			},
		},
	}, nil
}

func (c *connect) secret() (string, error) {
	if c.secretFile == "" {
		if secret := os.Getenv(c.variable); secret != "" {
			return secret, nil
		}
		return "", errors.Join(errUsage, fmt.Errorf("no secret: give a file or set %s", c.variable))
	}
	data, err := os.ReadFile(c.secretFile)
	if err != nil {
		return "", errors.Join(errUsage, err)
	}
	return strings.TrimSpace(string(data)), nil
}

func (c *connect) operator() (*client.Operator, error) {
	token, err := c.secret()
	if err != nil {
		return nil, err
	}
	through, err := c.client()
	if err != nil {
		return nil, err
	}
	return client.NewOperator(through, c.url, token), nil
}

func (c *connect) caller() (*client.Caller, error) {
	key, err := c.secret()
	if err != nil {
		return nil, err
	}
	through, err := c.client()
	if err != nil {
		return nil, err
	}
	return client.NewCaller(through, c.url, key), nil
}
