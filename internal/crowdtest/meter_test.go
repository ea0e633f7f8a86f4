package crowdtest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// samplePeriod is the time between two samples of a process.
const samplePeriod = 25 * time.Millisecond

// megabyte is the number of bytes in a MB.
const megabyte = 1 << 20

// meter samples the memory and the descriptors of a process.
type meter struct {
	pid  int
	stop chan struct{}
	done sync.WaitGroup

	mu sync.Mutex
	// resident is the highest resident memory with the bytes that sockets held at that
	// time, queued the most that sockets held, both in bytes.
	resident, queued int64
	descriptors      int
}

// measure samples a process until the end of the test.
func measure(t *testing.T, p *process) *meter {
	t.Helper()
	m := &meter{pid: p.cmd.Process.Pid, stop: make(chan struct{})}
	m.done.Go(func() {
		for {
			m.sample()
			select {
			case <-m.stop:
				return
			case <-time.After(samplePeriod):
			}
		}
	})
	t.Cleanup(m.end)
	return m
}

// end ends the samples. It may be called again.
func (m *meter) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.stop:
	default:
		close(m.stop)
	}
}

func (m *meter) sample() {
	resident := m.status("VmRSS:")
	descriptors, inodes := m.open()
	queued := unread(inodes)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resident = max(m.resident, resident+queued, m.status("VmHWM:"))
	m.queued = max(m.queued, queued)
	m.descriptors = max(m.descriptors, descriptors)
}

// status returns a figure of the process's status in bytes, zero once it has ended.
func (m *meter) status(key string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, key); ok {
			var kb int64
			_, _ = fmt.Sscan(text, &kb) // zero if the kernel writes something else
			return kb << 10
		}
	}
	return 0
}

// open returns the number of open descriptors and the inodes of the sockets among them.
func (m *meter) open() (int, map[string]bool) {
	dir := fmt.Sprintf("/proc/%d/fd", m.pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, nil
	}
	inodes := make(map[string]bool)
	for _, e := range entries {
		link, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err != nil {
			continue // closed since
		}
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return len(entries), inodes
}

// check checks that the process lives and kept the bounds of its machine.
func (m *meter) check(t *testing.T, p *process) {
	t.Helper()
	m.sample()
	m.end()
	m.done.Wait()
	t.Logf("peak of memory with socket buffers %.1f MB (bound %d), most in socket buffers %.1f MB, most descriptors %d (bound %d)",
		float64(m.resident)/megabyte, machineMB, float64(m.queued)/megabyte, m.descriptors, machineDescriptors)
	must.True(t, p.alive(), must.Sprint("the router has ended"))
	must.LessEq(t, machineMB*megabyte, m.resident, must.Sprint("memory in bytes"))
	must.LessEq(t, machineDescriptors, m.descriptors, must.Sprint("descriptors"))
}
