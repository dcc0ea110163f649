package cli

import (
	"crypto/rand"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
)

// KeyCommand grants and withdraws keys.
type KeyCommand struct {
	Grant    KeyGrantCommand    `cmd:"" help:"Publish a new key for an organisation and print it once."`
	Withdraw KeyWithdrawCommand `cmd:"" help:"Withdraw a key; new, queued and streaming requests with it are refused or ended."`
}

// KeyGrantCommand grants a key.
type KeyGrantCommand struct {
	PlatformFlags
	Organisation string    `arg:"" help:"Organisation that gets the key."`
	Name         string    `help:"Name of the key object; the organisation's name and the time if empty." env:"SHALLOTRAMP_KEY_NAME"`
	Classes      []string  `help:"Classes that the key may request; all if left out." env:"SHALLOTRAMP_KEY_CLASSES"`
	NotAfter     time.Time `help:"When the key expires, such as 2026-12-31T00:00:00Z." format:"2006-01-02T15:04:05Z07:00" env:"SHALLOTRAMP_KEY_NOT_AFTER"`
	Author       string    `help:"Author of the release; the current user's name if empty." env:"SHALLOTRAMP_AUTHOR"`
}

// Run implements the command. It publishes only the digest of the key.
func (c *KeyGrantCommand) Run(g *Globals) error {
	name := c.Name
	if name == "" {
		name = c.Organisation + "-" + time.Now().UTC().Format("20060102-150405")
	}
	secret := "sk-" + rand.Text()
	e, err := amend(g, &c.PlatformFlags, authorOrUser(c.Author), "grant key "+name, func(s *object.Set) error {
		if _, ok := s.Keys[name]; ok {
			return errors.Newf("a key named %q exists; choose another --name", name)
		}
		s.Keys[name] = &object.KeySpec{Name: name, Organisation: c.Organisation, Digest: object.DigestOf(secret), Classes: c.Classes, NotAfter: c.NotAfter}
		return nil
	})
	if err != nil {
		return err
	}
	if g.isJSON() {
		return g.json(struct {
			Name, Organisation, Key string
			Release                 uint64
		}{name, c.Organisation, secret, e.Number})
	}
	fmt.Fprintf(g.stdout, "%s\nrelease %d: key %s of %s; the key is not shown again\n", secret, e.Number, name, c.Organisation)
	return nil
}

// KeyWithdrawCommand withdraws a key.
type KeyWithdrawCommand struct {
	PlatformFlags
	Name   string `arg:"" help:"Name of the key object."`
	Author string `help:"Author of the release; the current user's name if empty." env:"SHALLOTRAMP_AUTHOR"`
	WaitFlags
}

// Run implements the command.
func (c *KeyWithdrawCommand) Run(g *Globals) error {
	e, err := amend(g, &c.PlatformFlags, authorOrUser(c.Author), "withdraw key "+c.Name, func(s *object.Set) error {
		if _, ok := s.Keys[c.Name]; !ok {
			return errors.Newf("there is no key named %q; see 'shallotramp get Key'", c.Name)
		}
		delete(s.Keys, c.Name)
		return nil
	})
	if err != nil {
		return err
	}
	if g.isJSON() {
		err = g.json(struct {
			Name    string
			Release uint64
		}{c.Name, e.Number})
	} else {
		_, err = fmt.Fprintf(g.stdout, "release %d: key %s withdrawn; 'shallotramp status' shows in which zones it is in force\n", e.Number, c.Name)
	}
	if err != nil {
		return err
	}
	return c.wait(g, &c.PlatformFlags, e)
}

// amend applies change to the newest release and publishes the result.
func amend(g *Globals, f *PlatformFlags, author, note string, change func(*object.Set) error) (release.Entry, error) {
	ctx, cancel, st, err := f.open(g)
	if err != nil {
		return release.Entry{}, err
	}
	defer cancel()
	return release.Amend(ctx, st, author, note, func(s *object.Set) (bool, error) { return true, change(s) })
}
