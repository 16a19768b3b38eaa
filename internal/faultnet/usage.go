package faultnet

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc, as sysconf(_SC_CLK_TCK) gives it on Linux.
const clockTick = 10 * time.Millisecond

// CPUTime returns the processor time that the process has used in user and kernel mode until now, to the clock
// tick, or until its end.
func (p *Proc) CPUTime() (time.Duration, error) {
	select {
	case <-p.done:
	default:
		return runningCPUTime(p.Pid())
	}
	state := p.cmd.ProcessState
	if state == nil {
		return 0, errors.New("the process could not be waited for")
	}
	return state.UserTime() + state.SystemTime(), nil
}

// runningCPUTime reads the processor time of a running process from /proc.
func runningCPUTime(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	return parseCPUTime(stat)
}

// parseCPUTime returns the sum of utime and stime of /proc/PID/stat, its 14th and 15th field. The second field,
// the name of the program in parentheses, may contain spaces.
func parseCPUTime(stat []byte) (time.Duration, error) {
	const firstAfterName, userTime, kernelTime = 3, 14, 15
	end := bytes.LastIndexByte(stat, ')')
	fields := strings.Fields(string(stat[end+1:]))
	if end < 0 || len(fields) <= kernelTime-firstAfterName {
		return 0, fmt.Errorf("unexpected content of /proc/PID/stat: %q", stat)
	}
	user, userErr := strconv.Atoi(fields[userTime-firstAfterName])
	kernel, kernelErr := strconv.Atoi(fields[kernelTime-firstAfterName])
	return time.Duration(user+kernel) * clockTick, errors.Join(userErr, kernelErr)
}
