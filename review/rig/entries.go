package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// graceSeconds is the bound grace_s of the deployment.
const graceSeconds = 8

// settingsTemplate has the fields that the pages show for a process.
const settingsTemplate = `node_name: "%[1]s"
role: "entry"
machine_class: "edge"
serves:
  - "edge"
  - "control_plane"
ip: "%[2]s"
zone: "%[3]s"
region: "sul-br"
zones:
  zone-a: "sul-br"
  zone-b: "sul-br"
  zone-c: "sul-br"
listen:
  front: "%[4]s"
  ready: "%[5]s"
  control: "%[6]s"
internal_ports:
  - %[7]d
  - %[8]d
seeds:
%[9]s
bootstrap: true
loss_counts: false
limits:
  cpu_share: 0.8
  cores: 1
  memory_mb: 544
  max_fds: 8200
  link_mbps: 2000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
fault_tolerance:
  machines: 2
  zones: 1
  regions: 0
bounds:
  seed_lag_s: 3
  reuse_delay_s: 2
  stable_window_ms: 3000
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: %[10]d
  loss_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  max_stretch_ms: 5000
  strict_revocation: false
  revoke_ms: 5000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  budget_slack: 202
  recovery_s: 12
  pass_ms: 120
  retry_after_s: 0
  stall_ms: 2500
  require_fencing: false
platform:
  address: "%[11]s"
  form: "objects"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
`

// entry is the process of an entry host.
type entry struct {
	name, zone, ip        string
	front, ready, control string
	cmd                   *exec.Cmd
	exited                chan struct{}
}

// startEntries starts four entry hosts in three zones, with the command of the deploy file.
func startEntries(root, dir, storeAddress string) ([]*entry, error) {
	var list []*entry
	var seeds []string
	for i, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-c"} {
		e := &entry{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.40.%d.%d", os.Getpid()%250, i+1)}
		for _, address := range []*string{&e.front, &e.ready, &e.control} {
			free, err := freeAddress(e.ip)
			if err != nil {
				return nil, err
			}
			*address = free
		}
		list = append(list, e)
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("  - %q", e.control))
		}
	}
	for _, e := range list {
		if err := e.start(root, dir, storeAddress, strings.Join(seeds, "\n")); err != nil {
			stopEntries(list)
			return nil, err
		}
	}
	return list, awaitReady(list)
}

// freeAddress returns an address with a free port.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (e *entry) start(root, dir, storeAddress, seeds string) error {
	metrics, err := freeAddress(e.ip)
	if err != nil {
		return err
	}
	_, port, _ := net.SplitHostPort(metrics)
	var first int
	if _, err := fmt.Sscan(port, &first); err != nil {
		return err
	}
	path := filepath.Join(dir, e.name+".yaml")
	text := fmt.Sprintf(settingsTemplate, e.name, e.ip, e.zone, e.front, e.ready, e.control, first, first+1, seeds, graceSeconds, storeAddress)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(dir, e.name+".log"))
	if err != nil {
		return err
	}
	e.cmd = exec.Command("target/fsplat")
	e.cmd.Dir, e.cmd.Stdout, e.cmd.Stderr = root, out, out
	e.cmd.Env = append(os.Environ(), names.SettingsFile+"="+path)
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func() {
		defer out.Close()
		_ = e.cmd.Wait()
		close(e.exited)
	}()
	return nil
}

// awaitReady waits until all entry hosts say that they are ready.
func awaitReady(list []*entry) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, e := range list {
		for !e.isReady() {
			select {
			case <-ctx.Done():
				return errors.New(e.name + " is not ready")
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	return nil
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stopEntries ends all processes of entry hosts.
func stopEntries(list []*entry) {
	for _, e := range list {
		if e.exited == nil {
			continue
		}
		_ = e.cmd.Process.Kill()
		<-e.exited
	}
}
