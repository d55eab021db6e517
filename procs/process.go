package procs

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
)

// StartProcess writes a settings file and starts a process of a role with it. The name
// of a process that has exited may be used again.
func (f *Fleet) StartProcess(name, role, settings string) error {
	file := filepath.Join(f.Folder, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	return f.start(name, &Process{}, f.binaryPath, role, "--settings", file)
}

// Signal sends a signal to a process. It returns an error if no process of that name
// was started.
func (f *Fleet) Signal(name string, signal syscall.Signal) error {
	p := f.process(name)
	if p == nil {
		return errors.New("no process of that name was started")
	}
	return p.command.Process.Signal(signal)
}

// Exited returns a channel that is closed when a process has exited.
func (f *Fleet) Exited(name string) <-chan struct{} { return f.process(name).exited }
