package maintenance

import (
	"io/fs"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// endMark is what the file of an end mark holds: when the maintenance ended, as time since boot.
type endMark struct {
	sinceBoot time.Duration
	bootID    string // of that boot; empty if it is not known
}

// newEndMark returns the mark of a maintenance that ends now.
func newEndMark() endMark { return endMark{sinceBoot(), bootID()} }

// fromOtherBoot returns whether the mark was written before the machine's last boot. It returns false
// if one of the boots is not known.
func (m endMark) fromOtherBoot() bool {
	current := bootID()
	return m.bootID != "" && current != "" && m.bootID != current
}

// String returns the mark as its file holds it: nanoseconds since boot and, if known, the id of that
// boot.
func (m endMark) String() string {
	return strings.TrimSpace(strconv.FormatInt(int64(m.sinceBoot), 10) + " " + m.bootID)
}

// parseEndMark parses what String returns.
func parseEndMark(text string) (endMark, error) {
	nanoseconds, id, _ := strings.Cut(text, " ")
	written, err := strconv.ParseInt(nanoseconds, 10, 64)
	return endMark{time.Duration(written), id}, err
}

// sinceBoot returns the time since the machine started. End marks hold it in place of a wall-clock time,
// because it does not change when the wall clock is stepped, and it is the same for all processes. It
// returns 0 if the time cannot be read.
func sinceBoot() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0
	}
	return time.Duration(at.Nano())
}

// bootID returns the id that the kernel gives each boot, or an empty string if it cannot be read.
func bootID() string {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(id))
}

// endedAt returns when the end mark at path was written. If the mark cannot be read, or is later than the
// present time since boot, the modification time of the file is used. So it is for a mark of an earlier
// boot, as times since two boots cannot be compared; but it was not written after this boot.
func endedAt(path string, file fs.FileInfo) time.Time {
	now, uptime := time.Now(), sinceBoot()
	fileAge := max(0, now.Sub(file.ModTime()))
	mark, err := readEndMark(path)
	switch {
	case err == nil && mark.fromOtherBoot():
		return now.Add(-max(fileAge, uptime))
	case err == nil && mark.sinceBoot <= uptime:
		return now.Add(mark.sinceBoot - uptime)
	}
	return now.Add(-fileAge)
}

// readEndMark reads the end mark at path.
func readEndMark(path string) (endMark, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return endMark{}, err
	}
	return parseEndMark(string(text))
}
