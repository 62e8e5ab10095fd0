package bbrconfig

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

const (
	verifierPrefix = "SCRAM-SHA-256$"
	// VerifierIterations is the work factor of new verifiers.
	VerifierIterations = 4096
	// maxIterations bounds the work that a verifier can ask for.
	maxIterations = 1000000
	// keyLength is the length of SCRAM's keys, in bytes.
	keyLength = 32
)

// ParseVerifier reads a SCRAM-SHA-256 verifier in PostgreSQL's notation:
// SCRAM-SHA-256$iterations:salt$storedKey:serverKey.
func ParseVerifier(s string) (scram.StoredCredentials, error) {
	var out scram.StoredCredentials
	rest, ok := strings.CutPrefix(s, verifierPrefix)
	if !ok {
		return out, errors.New("the verifier does not begin with " + verifierPrefix)
	}
	factors, keys, ok := strings.Cut(rest, "$")
	iterations, salt, ok2 := strings.Cut(factors, ":")
	stored, server, ok3 := strings.Cut(keys, ":")
	if !ok || !ok2 || !ok3 {
		return out, errors.New("the verifier is not of the form " + verifierPrefix + "iterations:salt$storedKey:serverKey")
	}
	n, err := strconv.Atoi(iterations)
	if err != nil || n < 1 || n > maxIterations {
		return out, errors.Errorf("%q is not a number of iterations from 1 to %d", iterations, maxIterations)
	}
	saltBytes, err := base64.StdEncoding.DecodeString(salt)
	if err != nil || len(saltBytes) == 0 {
		return out, errors.New("the verifier's salt is not base64")
	}
	out.KeyFactors = scram.KeyFactors{Salt: string(saltBytes), Iters: n}
	if out.StoredKey, err = decodeKey(stored); err != nil {
		return out, err
	}
	out.ServerKey, err = decodeKey(server)
	return out, err
}

func decodeKey(s string) ([]byte, error) {
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil || len(b) != keyLength {
		return nil, errors.Errorf("a key of the verifier is not base64 of %d bytes", keyLength)
	}
	return b, nil
}

// NewVerifier makes a verifier for a password. The salt must be random.
func NewVerifier(password string, salt []byte) (string, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", errors.Wrap(err, "prepare the password")
	}
	c := client.GetStoredCredentials(scram.KeyFactors{Salt: string(salt), Iters: VerifierIterations})
	enc := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s%d:%s$%s:%s", verifierPrefix, VerifierIterations, enc(salt), enc(c.StoredKey), enc(c.ServerKey)), nil
}
