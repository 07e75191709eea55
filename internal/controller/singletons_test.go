package controller

import (
	"slices"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/internal/replication/singleton"
	"fieldhill/wire"
)

// runClusterWithRoles runs f against a deployment whose controllers hold the singleton roles independently of
// leadership.
func runClusterWithRoles(t *testing.T, seed uint64, f func(w *emulator.Environment)) {
	t.Helper()
	distributedRoles = true
	defer func() { distributedRoles = false }()
	runCluster(t, seed, f)
}

// findRoleHolder returns the index of the controller that holds a role, or -1 if no controller holds it.
func findRoleHolder(name singleton.RoleName) int {
	for i := range 3 {
		holds := false
		if node := nodeAt(i); node != nil && node.roles.state != nil {
			node.loop.postAndWait(func() { holds = node.roles.state.roles[name].Trusted(node.now()) })
		}
		if holds {
			return i
		}
	}
	return -1
}

// TestProvisionerFailover checks that the provisioner can be a controller other than the leader, and that another
// controller takes over if the provisioner is frozen, and launches a machine within ten seconds of the freeze. When the
// frozen controller resumes, its provisioning has no effect.
func TestProvisionerFailover(t *testing.T) {
	runClusterWithRoles(t, 41, func(w *emulator.Environment) {
		time.Sleep(45 * time.Second) // long enough for the leader to hand over the roles that it acquired first
		leader, holder := findLeader(), findRoleHolder(singleton.Provisioning)
		if leader < 0 || holder < 0 || leader == holder {
			t.Fatalf("leader is %d, provisioner is %d; want two different controllers", leader, holder)
		}
		w.Submit(newJobSpec(1, wire.Array, 12, 20))
		waitState(t, w, "req-000001", wire.JobRunning, 30*time.Second)
		w.Submit(newWebService(2, 4, "small")) // machines are provisioned for it
		freeze(w, holder, 40*time.Second)
		began, launched := time.Now(), w.Cloud.Launched()
		w.Submit(newWebService(3, 16, "large"))
		if took := waitLaunched(w, launched, began, 30*time.Second, 100*time.Millisecond); took > 10*time.Second {
			t.Errorf("no machine was launched for %v after the provisioner was frozen, want at most 10 s", took)
		}
		if h := findRoleHolder(singleton.Provisioning); h == holder || h < 0 {
			t.Errorf("provisioner is %d after %d was frozen, want another controller", h, holder)
		}
		waitState(t, w, "req-000003", wire.JobRunning, 30*time.Second)
		time.Sleep(60 * time.Second)
		checkMachinesKnown(t, w)
		for i := range 3 { // all controllers list the same holder
			var list wire.RoleList
			_, err := queryAdmin(w, i, wire.PathAdminRoles, &list)
			if err != nil || !list.Distributed || len(list.Roles) != 2 || len(list.UncertainProvisioning) != 0 {
				t.Fatalf("node %d lists %+v, error %v; want 2 distributed roles", i, list, err)
			}
			h := findRoleHolder(singleton.Provisioning)
			if h >= 0 && list.Roles[0].Holder != emulator.ControllerName(h) {
				t.Errorf("node %d lists %s as the provisioner, want controller %d", i, list.Roles[0].Holder, h)
			}
		}
	})
}

// waitLaunched waits until the total number of machines that the cloud has launched differs from before, but at most
// until limit after began. It checks at the given interval and returns the time since began.
func waitLaunched(w *emulator.Environment, before int, began time.Time, limit, interval time.Duration) time.Duration {
	for w.Cloud.Launched() == before && time.Since(began) < limit {
		time.Sleep(interval)
	}
	return time.Since(began)
}

// TestProvisionerWithoutCloud checks that a provisioner that is the only controller without a connection to the cloud
// resigns, though it is otherwise healthy, and does not compete for the role, and that another controller acquires the
// role. While no controller can reach the cloud, holders resign less often, and the role still moves between
// controllers.
func TestProvisionerWithoutCloud(t *testing.T) {
	runClusterWithRoles(t, 42, func(w *emulator.Environment) {
		time.Sleep(45 * time.Second)
		holder := findRoleHolder(singleton.Provisioning)
		w.PartitionCloud(holder, true)
		time.Sleep(singleton.DefaultRules(singleton.Provisioning).StallTimeout + 8*time.Second)
		next := findRoleHolder(singleton.Provisioning)
		if next == holder || next < 0 {
			t.Fatalf("provisioner is %d, want a controller that reaches the cloud (not %d)", next, holder)
		}
		w.Submit(newWebService(1, 4, "small"))
		waitState(t, w, "req-000001", wire.JobRunning, 40*time.Second)
		for i := range 3 {
			w.PartitionCloud(i, true)
		}
		moves, last, end := 0, next, time.Now().Add(5*time.Minute)
		for time.Now().Before(end) {
			time.Sleep(time.Second)
			if h := findRoleHolder(singleton.Provisioning); h >= 0 && h != last {
				moves, last = moves+1, h
			}
		}
		if moves < 2 || moves > 9 {
			t.Errorf("the role moved %d times in five minutes without a connection to the cloud, want 2 to 9", moves)
		}
		for i := range 3 {
			w.PartitionCloud(i, false)
		}
		w.Submit(newWebService(2, 16, "large"))
		waitState(t, w, "req-000002", wire.JobRunning, 90*time.Second)
		time.Sleep(30 * time.Second)
		checkMachinesKnown(t, w)
	})
}

// TestScaleOutResponseLost checks the case in which the response to a scale-out request is lost and all controllers
// end. The request is in the log, and the next provisioner repeats it under the same name, so no machine is provisioned
// twice.
func TestScaleOutResponseLost(t *testing.T) {
	runClusterWithRoles(t, 43, func(w *emulator.Environment) {
		time.Sleep(10 * time.Second)
		w.Cloud.DropResponses(1)
		w.Submit(newWebService(1, 4, "small"))
		for w.Cloud.Launched() == 0 {
			time.Sleep(20 * time.Millisecond)
		}
		crashAll(w)
		launched := w.Cloud.Launched()
		w.Cloud.DropResponses(0)
		time.Sleep(3 * time.Second)
		startAll(w)
		waitState(t, w, "req-000001", wire.JobRunning, 40*time.Second)
		time.Sleep(20 * time.Second)
		checkMachinesKnown(t, w)
		if total := w.Cloud.Launched(); total > launched+1 { // one spare machine is allowed
			t.Errorf("%d machines were launched in total, want at most 1 more than the %d before the restart",
				total, launched)
		}
	})
}

// TestOlderNodeDisablesRoles checks that, while one controller does not support singleton roles or has them disabled,
// the leader does the work of all roles and logs no entry that such a controller can't read.
func TestOlderNodeDisablesRoles(t *testing.T) {
	runClusterWithRoles(t, 44, func(w *emulator.Environment) {
		time.Sleep(10 * time.Second)
		w.StopAndWait(2)
		distributedRoles = false
		w.Start(2)
		time.Sleep(5 * time.Second)
		for _, name := range []singleton.RoleName{singleton.Provisioning, singleton.Compaction} {
			if h := findRoleHolder(name); h >= 0 {
				t.Errorf("node %d holds %v while a node does not participate, want no holder", h, name)
			}
		}
		w.Submit(newWebService(1, 4, "small"))
		waitState(t, w, "req-000001", wire.JobRunning, 40*time.Second)
		checkMachinesKnown(t, w)
		w.StopAndWait(2)
		distributedRoles = true
		w.Start(2)
		time.Sleep(10 * time.Second)
		if findRoleHolder(singleton.Provisioning) < 0 {
			t.Error("got no provisioner while all nodes participate, want one")
		}
		w.Submit(newWebService(2, 16, "large"))
		waitState(t, w, "req-000002", wire.JobRunning, 40*time.Second)
	})
}

// TestProvisionerFailoverTime measures the time from freezing the provisioner to the next scale-out, once with
// distributed roles and once with a leader that does the work of all roles. It runs only with -hard.
func TestProvisionerFailoverTime(t *testing.T) {
	if !*allScenarios {
		t.Skip("measurement, runs only with -hard")
	}
	defer func() { distributedRoles = false }()
	for _, distributedRoles = range []bool{false, true} {
		var took []time.Duration
		for seed := uint64(1); seed <= 20; seed++ {
			runCluster(t, seed, func(w *emulator.Environment) {
				time.Sleep(45*time.Second + time.Duration(seed)*130*time.Millisecond)
				took = append(took, provisionerFailoverTime(t, w))
				writes, _ := w.Store.WriteStats()
				time.Sleep(time.Minute)
				if after, _ := w.Store.WriteStats(); seed == 20 {
					t.Logf("distributed %v: %d writes in a minute without workload", distributedRoles, after-writes)
				}
			})
		}
		slices.Sort(took)
		t.Logf("distributed %v: time to the next scale-out: median %v, maximum %v",
			distributedRoles, took[len(took)/2], took[len(took)-1])
	}
}

// provisionerFailoverTime freezes the provisioner, submits to another controller a service that needs a new machine,
// and returns the time until a machine was launched.
func provisionerFailoverTime(t *testing.T, w *emulator.Environment) time.Duration {
	t.Helper()
	holder := findLeader()
	if distributedRoles {
		holder = findRoleHolder(singleton.Provisioning)
	}
	freeze(w, holder, 40*time.Second)
	began, launched := time.Now(), w.Cloud.Launched()
	job := newWebService(3, 16, "large")
	w.RequestAt((holder+1)%3, "submit", job.ID, registerJob(t, w, job))
	return waitLaunched(w, launched, began, time.Minute, 20*time.Millisecond)
}

// TestReclaimedZoneWithDistributedRoles reclaims all machines of a zone without notice and restarts all controllers at
// that moment. With distributed singleton roles too, the tasks that the machines held must not use up their team's
// limit for so long that jobs wait for 90 s beside room.
func TestReclaimedZoneWithDistributedRoles(t *testing.T) {
	runClusterWithRoles(t, 75, func(w *emulator.Environment) {
		startServices(w, 1)
		zone := "b"
		for n := 10; n < 16; n++ {
			inZone := newWebService(n, 3, "small")
			inZone.Team, inZone.Zone = "blue", &zone
			w.Submit(inZone)
		}
		time.Sleep(40 * time.Second)
		waiting := newReplicatedService(20, 12)
		waiting.Team = "blue"
		w.Submit(waiting)
		time.Sleep(20 * time.Second)
		for _, worker := range zoneMachines(w, zone) {
			w.Cloud.Reclaim(worker.Name)
		}
		killAll(w)
		startAll(w)
		w.Checker.MarkFaultsOver()
		for range 24 {
			go w.Request("poll", waiting.ID, nil)
			time.Sleep(5 * time.Second)
		}
	})
}
