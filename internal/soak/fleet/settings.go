package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// refusedPeriod is how long settings stay that must be refused.
	refusedPeriod = 150 * time.Millisecond
	// maxOwnEnds is how often in a row a process may end by itself within startPeriod.
	maxOwnEnds  = 2
	startPeriod = time.Second
)

var graceLine = regexp.MustCompile(`(?m)^grace_seconds = .*$`)

// graceForms are forms of the grace period in seconds that a platform may write, refusedForms some
// that it may not.
var (
	graceForms   = [...]string{"2.75", "3.0", "3", ".3e1", "30e-1"}
	refusedForms = [...]string{"-3", "NaN", "0", "1e9", "Inf", "0x3", "soon"}
)

// changeSettings changes the settings of a process with SIGHUP, first for a moment to some that it
// has to refuse.
func (f *Fleet) changeSettings(a netip.Addr) (err error) {
	defer func() { err = eris.Wrap(err, "changing settings") }()
	f.changingSettings.Lock()
	defer f.changingSettings.Unlock()
	n := f.settingsChanges
	f.settingsChanges++
	if err = f.writeGrace(a, refusedForms[n%len(refusedForms)]); err != nil {
		return err
	}
	f.Signal(a, syscall.SIGHUP)
	time.Sleep(refusedPeriod)
	if err = f.writeGrace(a, graceForms[n%len(graceForms)]); err != nil {
		return err
	}
	f.Signal(a, syscall.SIGHUP)
	return nil
}

// writeGrace replaces the settings of a process as a whole.
func (f *Fleet) writeGrace(a netip.Addr, grace string) error {
	path := filepath.Join(f.folder, a.String()+".ini")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text = graceLine.ReplaceAll(text, fmt.Appendf(nil, "grace_seconds = %s", grace))
	next := path + ".next"
	return errors.Join(os.WriteFile(next, text, 0o600), os.Rename(next, path))
}
