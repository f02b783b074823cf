package testbin

import (
	"errors"
	"os"
	"sync"
)

// Builds holds the folders of the builds that the tests of a package run. Each is made on its
// first use. It is safe for concurrent use.
type Builds struct {
	programs []string

	present, previous, beforeEvacuation once
}

// once is the result of a build.
type once struct {
	sync.Mutex
	done   bool
	folder string
	err    error
}

// NewBuilds returns builds of the named commands, none of them made yet.
func NewBuilds(programs ...string) *Builds { return &Builds{programs: programs} }

// Present returns the folder of the programs of this tree.
func (b *Builds) Present() (string, error) { return b.present.make(Build, b.programs) }

// Previous returns the folder of the programs as of PreviousCommit.
func (b *Builds) Previous() (string, error) { return b.previous.make(of(PreviousCommit), b.programs) }

// BeforeEvacuation returns the folder of the programs that know no orders to evacuate.
func (b *Builds) BeforeEvacuation() (string, error) {
	return b.beforeEvacuation.make(of(CommitBeforeEvacuation), b.programs)
}

// of returns the function that builds the commands as of a commit.
func of(commit string) func(...string) (string, error) {
	return func(programs ...string) (string, error) { return BuildCommit(commit, programs...) }
}

// Remove removes the folders.
func (b *Builds) Remove() error {
	return errors.Join(b.present.remove(), b.previous.remove(), b.beforeEvacuation.remove())
}

func (o *once) make(build func(...string) (string, error), programs []string) (string, error) {
	o.Lock()
	defer o.Unlock()
	if !o.done {
		o.folder, o.err = build(programs...)
		o.done = true
	}
	return o.folder, o.err
}

func (o *once) remove() error {
	o.Lock()
	defer o.Unlock()
	if o.folder == "" {
		return nil
	}
	return os.RemoveAll(o.folder)
}
