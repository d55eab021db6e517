package procs

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// StartProcess starts a relay or keeper with its settings, under a name that may
// have been used by a process that has exited.
func (f *Fleet) StartProcess(name, role, settings string) error {
	file := filepath.Join(f.Folder, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	f.order = slices.DeleteFunc(f.order, func(other string) bool { return other == name })
	return f.start(name, &Process{}, f.binary, role, "--settings", file)
}

// Signal sends a signal to a process that was started.
func (f *Fleet) Signal(name string, signal syscall.Signal) error {
	p, known := f.Processes[name]
	if !known {
		return errors.New("no such process")
	}
	return p.command.Process.Signal(signal)
}

// Exited returns a channel that is closed once a process has exited.
func (f *Fleet) Exited(name string) <-chan struct{} { return f.Processes[name].exited }
