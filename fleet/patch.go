package fleet

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/pmezard/go-difflib/difflib"
)

// Errors of ApplyPatch.
var (
	// ErrPatchBaseMismatch means that the patch was made for another base text.
	ErrPatchBaseMismatch = errors.New("fleet: patch is for another base text")
	// ErrPatchCorrupt means that the patch is malformed or does not give the text that it names.
	ErrPatchCorrupt = errors.New("fleet: patch is corrupt")
)

const (
	patchHeader = "bilberry-patch-1"
	// maxPatchWindow bounds the lines that the quadratic matcher compares. A larger window is replaced as a whole.
	maxPatchWindow = 4000
)

// MakePatch returns the increment that turns the text base into next. It names both texts by hash and lists line
// operations: "=N" copies N lines of the base, "-N" skips N lines, "+N" inserts the N bytes that follow.
func MakePatch(base, next []byte) []byte {
	a, b := splitLines(base), splitLines(next)
	prefix := commonPrefix(a, b)
	suffix := commonSuffix(a[prefix:], b[prefix:])
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s %s\n", patchHeader, Hash(base), Hash(next))
	writeCopy(&out, prefix)
	writeWindow(&out, a[prefix:len(a)-suffix], b[prefix:len(b)-suffix])
	writeCopy(&out, suffix)
	return out.Bytes()
}

func splitLines(text []byte) []string { return strings.SplitAfter(string(text), "\n") }

func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

func writeCopy(out *bytes.Buffer, lines int) {
	if lines > 0 {
		fmt.Fprintf(out, "=%d\n", lines)
	}
}

func writeSkip(out *bytes.Buffer, lines int) {
	if lines > 0 {
		fmt.Fprintf(out, "-%d\n", lines)
	}
}

func writeInsert(out *bytes.Buffer, lines []string) {
	text := strings.Join(lines, "")
	if text != "" {
		fmt.Fprintf(out, "+%d\n%s", len(text), text)
	}
}

func writeWindow(out *bytes.Buffer, a, b []string) {
	if len(a) > maxPatchWindow || len(b) > maxPatchWindow {
		writeSkip(out, len(a))
		writeInsert(out, b)
		return
	}
	for _, op := range difflib.NewMatcher(a, b).GetOpCodes() {
		if op.Tag == 'e' {
			writeCopy(out, op.I2-op.I1)
			continue
		}
		writeSkip(out, op.I2-op.I1)
		writeInsert(out, b[op.J1:op.J2])
	}
}

// ApplyPatch returns the text that patch makes of base. Errors: ErrPatchBase, ErrPatchCorrupt.
func ApplyPatch(base, patch []byte) ([]byte, error) {
	in := bufio.NewReader(bytes.NewReader(patch))
	header, err := in.ReadString('\n')
	if err != nil {
		return nil, ErrPatchCorrupt
	}
	fields := strings.Fields(header)
	if len(fields) != 3 || fields[0] != patchHeader {
		return nil, ErrPatchCorrupt
	}
	if fields[1] != Hash(base) {
		return nil, ErrPatchBaseMismatch
	}
	next, err := runPatch(in, splitLines(base), len(patch))
	if err != nil {
		return nil, err
	}
	if Hash(next) != fields[2] {
		return nil, ErrPatchCorrupt
	}
	return next, nil
}

// runPatch executes the operations. limit bounds the bytes of one insertion.
func runPatch(in *bufio.Reader, lines []string, limit int) ([]byte, error) {
	var out bytes.Buffer
	for {
		op, err := in.ReadString('\n')
		if err == io.EOF && op == "" {
			return out.Bytes(), nil
		}
		if err != nil || len(op) < 3 {
			return nil, ErrPatchCorrupt
		}
		n, err := strconv.Atoi(op[1 : len(op)-1])
		if err != nil || n < 0 {
			return nil, ErrPatchCorrupt
		}
		if lines, err = runOp(op[0], n, lines, in, &out, limit); err != nil {
			return nil, err
		}
	}
}

func runOp(op byte, n int, lines []string, in io.Reader, out *bytes.Buffer, limit int) ([]string, error) {
	switch {
	case op == '+' && n <= limit:
		if _, err := io.CopyN(out, in, int64(n)); err != nil {
			return nil, ErrPatchCorrupt
		}
		return lines, nil
	case op == '=' && n <= len(lines):
		for _, line := range lines[:n] {
			out.WriteString(line)
		}
		return lines[n:], nil
	case op == '-' && n <= len(lines):
		return lines[n:], nil
	}
	return nil, ErrPatchCorrupt
}
