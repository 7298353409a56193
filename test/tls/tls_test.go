// Package tls_test runs cells whose daemons talk over mutual TLS.
package tls_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"masticroad/internal/load/launcher"
	"masticroad/internal/settings/loader"
)

type authority struct {
	c    *quicktest.C
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(c *quicktest.C) *authority {
	a := &authority{c: c}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, quicktest.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "cell"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	c.Assert(err, quicktest.IsNil)
	a.cert, err = x509.ParseCertificate(der)
	c.Assert(err, quicktest.IsNil)
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

// write writes the three files of a daemon and lets its settings name them.
func (a *authority) write(folder string, s *loader.Settings) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.c.Assert(err, quicktest.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: string(s.Name)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	a.c.Assert(err, quicktest.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	a.c.Assert(err, quicktest.IsNil)
	s.TLSCert = filepath.Join(folder, string(s.Name)+".pem")
	s.TLSKey = filepath.Join(folder, string(s.Name)+".key")
	s.TLSCA = filepath.Join(folder, string(s.Name)+"-ca.pem")
	a.c.Assert(os.WriteFile(s.TLSCert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600), quicktest.IsNil)
	a.c.Assert(os.WriteFile(s.TLSKey, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600), quicktest.IsNil)
	a.c.Assert(os.WriteFile(s.TLSCA, a.pem, 0o600), quicktest.IsNil)
}

func newCell(t *testing.T, adjust func(*loader.Settings)) *launcher.Cell {
	return &launcher.Cell{
		Name: "tls", Folder: t.TempDir(), Daemons: 3, Voters: 3, Places: []launcher.Place{{Region: "r1", Zone: "a"}},
		Adjust: adjust, Log: hclog.NewNullLogger(), Now: time.Now,
	}
}

func TestCellOverTLSAndNewCertificates(t *testing.T) {
	c := quicktest.New(t)
	folder := t.TempDir()
	a := newAuthority(c)
	cell := newCell(t, func(s *loader.Settings) { a.write(folder, s) })
	c.Assert(cell.Start(context.Background()), quicktest.IsNil)
	// Certificates are replaced while the daemons run; new connections use them.
	time.Sleep(10 * time.Millisecond)
	for _, n := range cell.Nodes {
		a.write(folder, n.Settings)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for _, n := range cell.Nodes {
		c.Assert(n.Stop(), quicktest.IsNil)
		n.Start()
		c.Assert(cell.AwaitReady(ctx), quicktest.IsNil)
	}
	c.Assert(cell.Stop(), quicktest.IsNil)
}

// A daemon whose certificate another authority signed is not let in.
func TestStrangerIsNotLetIn(t *testing.T) {
	c := quicktest.New(t)
	folder := t.TempDir()
	a, stranger := newAuthority(c), newAuthority(c)
	cell := newCell(t, func(s *loader.Settings) {
		if s.Name == "vm3" {
			stranger.write(folder, s)
			return
		}
		a.write(folder, s)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.Assert(cell.Launch(ctx), quicktest.IsNil)
	limited, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	c.Assert(cell.Nodes[0].AwaitReady(limited), quicktest.IsNil)
	c.Assert(cell.Nodes[1].AwaitReady(limited), quicktest.IsNil)
	short, over := context.WithTimeout(ctx, 3*time.Second)
	defer over()
	c.Assert(cell.Nodes[2].AwaitReady(short), quicktest.IsNotNil)
	c.Assert(cell.Stop(), quicktest.IsNil)
}
