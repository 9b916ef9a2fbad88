package processes

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/internal/load"
)

// Guards against callers outside the operator's control that make an entry process exceed its VM, by bodies that stall just short of the end and by
// heads that never end. Only what does not depend on the speed of the machine is asserted.
func TestHostileCallersOfAnEntry(t *testing.T) {
	const (
		memoryMb, maxFds, reservedFiles = 256, 600, 200
		bodyCallers, headCallers        = 64, 420
		bodyBytes                       = 8 << 20 // half of the limit
		stay                            = 4 * time.Second
	)
	f := startFleet(t, fleetOptions{entryArgs: []string{"--memory-mb", strconv.Itoa(memoryMb), "--max-fds", strconv.Itoa(maxFds)}})
	addr := strings.TrimPrefix(f.entryURLs[0], "http://")
	proc := fmt.Sprintf("/proc/%d/", f.entries[0].cmd.Process.Pid)
	body := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		callerKey, bodyBytes, strings.Repeat(" ", bodyBytes-1))
	var callers sync.WaitGroup
	for i := range bodyCallers + headCallers {
		text := body
		if i >= bodyCallers {
			text = "GET / HTTP/1.1\r\nHost: x\r\nX-Large: " + strings.Repeat("x", 60_000)
		}
		callers.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(stay)) // fails only on a closed connection
			if _, err := conn.Write([]byte(text)); err == nil {
				_, _ = conn.Read(make([]byte, 1)) // until an answer, the end of the connection or of the stay
			}
		})
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		callers.Wait()
	}()
	openFiles := 0
	for done := false; !done; {
		select {
		case <-left:
			done = true
		case <-time.After(pollInterval):
		}
		files, err := os.ReadDir(proc + "fd")
		require.NoError(t, err, "the process has ended")
		openFiles = max(openFiles, len(files))
	}
	status, err := os.ReadFile(proc + "status")
	require.NoError(t, err)
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	peakKilobytes, err := strconv.Atoi(strings.Fields(peak)[0])
	require.NoError(t, err)
	t.Logf("highest: %d of %d MB, %d of %d descriptors", peakKilobytes>>10, memoryMb, openFiles, maxFds-reservedFiles)
	f.eventually("an ordinary call", func() bool { return f.call(0, http.MethodGet, "/stock/hose", "").Outcome == load.OutcomeOK })
	require.LessOrEqual(t, peakKilobytes, memoryMb<<10, "memory in KB")
	require.LessOrEqual(t, openFiles, maxFds-reservedFiles, "open descriptors")
}
