package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Node is a machine of the system with its process.
type Node struct {
	world    *World
	name, ip string
	settings string
	logPath  string
	out      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// settingsText has the bounds of kmkcb-ibis-grown and the limits of its larger machines.
const settingsText = `node_name = %[1]q
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = %[2]q
zone = %[3]q
region = "home"
port_range = [7720,7735]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry_kind = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
[zones]
za = "home"
zb = "home"
zc = "home"
[listen_addrs]
front = "%[2]s:8161"
ready = "%[2]s:8167"
control = "%[2]s:8166"
[limits]
cpu_share = 0.8
cores = 1
memory_mb = 536
max_fds = 8192
link_mbps = 200.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 4000
ack_ms = 6000
catch_up_s = 6
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_ms = 250
outer_ms = 6000
recovery_s = 15
max_hold_ms = 10000
stop_timeout_ms = 900
gang_timeout_ms = 4000
cancel_ms = 4000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 1.5
checkpoint_s = 2
restore_ms = 100
notice_ms = 5500
migrate_s = 1.5
maintenance_s = 2
fencing_enforced = true
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
interference_ms = 4500
[platform]
address = %[4]q
form = "log"
writes_per_s = 1200
reads_per_s = 6000
parts = 24
append_ms = 1.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
request_bytes = 2097152
keep_s = 20
partition_mb = 200
min_ttl_ms = 1000
[cloud_api]
address = "%[5]s:8169"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
`

func (w *World) addNode() *Node {
	i := len(w.nodes)
	n := &Node{world: w, name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", w.net, i+1)}
	n.settings, n.logPath = filepath.Join(w.tmp, n.name+".toml"), filepath.Join(w.tmp, n.name+".log")
	text := fmt.Sprintf(settingsText, n.name, n.ip, []string{"za", "zb", "zc"}[i%3], w.net+".100:8169", w.net+".99")
	fail(os.WriteFile(n.settings, []byte(text), 0o600))
	var err error
	n.out, err = os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	fail(err)
	w.nodes = append(w.nodes, n)
	n.start()
	return n
}

// start starts the process with the command of the deploy file.
func (n *Node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := exec.Command("target/ibischute", "node", "--metrics-port", "9464")
	c.Env = []string{"IBISCHUTE_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = n.out, n.out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	fail(c.Start())
	n.process, n.ended = c, make(chan struct{})
	ended := n.ended
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	n.world.note("process of %s starts, pid %d", n.name, c.Process.Pid)
}

// kill kills the process and starts it again after the time; 0 means never.
func (n *Node) kill(restartAfter time.Duration) {
	n.mu.Lock()
	c, ended := n.process, n.ended
	n.mu.Unlock()
	if c == nil {
		return
	}
	n.world.note("process of %s is killed", n.name)
	_ = c.Process.Signal(syscall.SIGKILL)
	<-ended
	if restartAfter > 0 {
		time.AfterFunc(restartAfter, func() {
			select {
			case <-n.world.done:
			default:
				n.start()
			}
		})
	}
}

// waitReady waits until all nodes report themselves ready.
func (w *World) waitReady() {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if res, err := client.Get("http://" + n.ip + ":8167/api/readiness"); err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.nodes) && w.leader() != nil {
			w.note("all processes are ready, %s leads", w.leader().name)
			return
		}
	}
	fail(fmt.Errorf("the processes are not ready in time"))
}

var wonPattern = regexp.MustCompile(`election-won.*epoch=(\d+)|epoch=(\d+).*election-won`)

// leader returns the node whose log tells the last won election. Only the case uses it, to choose the process to kill.
func (w *World) leader() *Node {
	var best *Node
	highest := -1
	for _, n := range w.nodes {
		b, err := os.ReadFile(n.logPath)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(b), "\n") {
			m := wonPattern.FindStringSubmatch(line)
			if m == nil {
				continue
			}
			epoch := 0
			_, _ = fmt.Sscan(m[1]+m[2], &epoch)
			if epoch > highest {
				best, highest = n, epoch
			}
		}
	}
	return best
}

var httpClient = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func (n *Node) call(method string, q *Queue, path string, body []byte) (int, string) {
	r, err := http.NewRequest(method, "http://"+n.ip+":8161"+q.Prefix+path, bytes.NewReader(body))
	fail(err)
	r.Host = q.Host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Ibischute-Deadline-Ms", "3000")
	res, err := httpClient.Do(r)
	if err != nil {
		n.world.note("%s %s%s at %s: no answer: %v", method, q.Prefix, path, n.name, err)
		return 0, ""
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	n.world.noteCall("%s %s%s at %s: %d %s", method, q.Prefix, path, n.name, res.StatusCode, strings.TrimSpace(string(b)))
	return res.StatusCode, string(b)
}

// submit hands in a job at one node after the other until it is accepted.
func (w *World) submit(j *Job) bool {
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	b, err := json.Marshal(j)
	fail(err)
	for i := range 5 {
		status, _ := w.nodes[(i+len(w.jobs))%len(w.nodes)].call(http.MethodPost, j.Queue, j.ID, b)
		if status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks one node after the other for the state of a job.
func (w *World) state(j *Job) string {
	for _, n := range w.nodes {
		if status, body := n.call(http.MethodGet, j.Queue, j.ID, nil); status == http.StatusOK {
			var a struct{ State string }
			_ = json.Unmarshal([]byte(body), &a)
			return a.State
		}
	}
	return ""
}

// awaitStates waits until each job is in a final state, or the time is over. It returns the states.
func (w *World) awaitStates(jobs []*Job, limit time.Duration) map[string]string {
	states := map[string]string{}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		open := 0
		for _, j := range jobs {
			if s := states[j.ID]; s == "completed" || s == "failed" || s == "cancelled" {
				continue
			}
			states[j.ID] = w.state(j)
			if s := states[j.ID]; s != "completed" && s != "failed" && s != "cancelled" {
				open++
			}
		}
		if open == 0 {
			break
		}
	}
	return states
}

// count returns how many runs have started, are running and have ended with the result.
func (w *World) count(how string) (started, running, ended int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.history {
		for _, r := range h.runs {
			started++
			if r.endedAt.IsZero() {
				running++
			}
			if r.how == how {
				ended++
			}
		}
	}
	return started, running, ended
}

// awaitUntil polls a condition and returns whether it came true in time.
func awaitUntil(limit time.Duration, isTrue func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if isTrue() {
			return true
		}
	}
	return false
}

// submitMany hands in short jobs at a rate, over many connections, until all are accepted or the time is over. It returns
// how many were.
func (w *World) submitMany(q *Queue, count, perSecond int, limit time.Duration) int {
	var next, accepted atomic.Int64
	var wg sync.WaitGroup
	begun := time.Now()
	until := begun.Add(limit)
	for c := range 96 {
		wg.Go(func() {
			for time.Now().Before(until) {
				i := int(next.Add(1))
				if i > count {
					return
				}
				time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
				j := &Job{ID: jobID(i), Queue: q, Spec: "short", Steps: []Step{
					{Count: 1, CPU: 100, MemMB: 10, EstimateMS: 20, Work: 20 * time.Millisecond},
				}}
				w.mu.Lock()
				w.jobs[j.ID] = j
				w.mu.Unlock()
				b, _ := json.Marshal(j)
				for time.Now().Before(until) {
					if status, _ := w.nodes[c%len(w.nodes)].call(http.MethodPost, q, j.ID, b); status/100 == 2 {
						accepted.Add(1)
						break
					}
					time.Sleep(time.Second)
				}
			}
		})
	}
	wg.Wait()
	return int(accepted.Load())
}

// noteLogs adds to the record the last line with the text that each process has logged.
func (w *World) noteLogs(text string) {
	for _, n := range w.nodes {
		b, _ := os.ReadFile(n.logPath)
		lines := strings.Split(string(b), "\n")
		count, last := 0, ""
		for _, l := range lines {
			if strings.Contains(l, text) {
				count, last = count+1, l
			}
		}
		w.note("%s has logged %d lines with %q; the last: %s", n.name, count, text, last)
	}
}

// noteMemory adds to the record the memory that each process holds.
func (w *World) noteMemory() {
	for _, n := range w.nodes {
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
		for _, l := range strings.Split(string(b), "\n") {
			if strings.HasPrefix(l, "VmRSS") || strings.HasPrefix(l, "VmHWM") {
				w.note("%s: %s", n.name, l)
			}
		}
	}
}
