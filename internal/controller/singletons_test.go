package controller

import (
	"slices"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/internal/replication/singleton"
	"fieldhill/wire"
)

// runClusterWithRoles runs f in a world whose nodes hold duties one by one.
func runClusterWithRoles(t *testing.T, seed uint64, f func(w *emulator.Environment)) {
	distributedRoles = true
	defer func() { distributedRoles = false }()
	runCluster(t, seed, f)
}

// findRoleHolder finds the node that holds a duty, or -1.
func findRoleHolder(name singleton.Name) int {
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

// TestProvisionerFailover: who deals with the cloud need not lead, and when it stands still another goes on within the
// time of its lease; what it does when it wakes changes nothing.
func TestProvisionerFailover(t *testing.T) {
	runClusterWithRoles(t, 41, func(w *emulator.Environment) {
		time.Sleep(45 * time.Second) // the leader has had the time to give away what it took first
		leader, holder := findLeader(), findRoleHolder(singleton.Provisioning)
		if leader < 0 || holder < 0 || leader == holder {
			t.Fatalf("%d leads, %d deals with the cloud", leader, holder)
		}
		w.Submit(newJobSpec(1, wire.Array, 12, 20))
		waitState(t, w, "req-000001", wire.JobRunning, 30*time.Second)
		w.Submit(newWebService(2, 4, "small")) // machines are rented for it
		freeze(w, holder, 40*time.Second)
		began, rented := time.Now(), w.Cloud.Launched()
		w.Submit(newWebService(3, 16, "large"))
		for w.Cloud.Launched() == rented && time.Since(began) < 30*time.Second {
			time.Sleep(100 * time.Millisecond)
		}
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("nothing was rented for %v after the holder stood still", took)
		}
		if h := findRoleHolder(singleton.Provisioning); h == holder || h < 0 {
			t.Errorf("%d deals with the cloud", h)
		}
		waitState(t, w, "req-000003", wire.JobRunning, 30*time.Second)
		time.Sleep(60 * time.Second)
		checkMachinesKnown(t, w)
		// Whoever is asked tells the same of who holds what.
		for i := range 3 {
			var d wire.RoleList
			if _, err := queryAdmin(
				w,
				i,
				wire.PathAdminRoles,
				&d,
			); err != nil || !d.Distributed || len(d.Roles) != 2 ||
				len(d.UncertainProvisioning) != 0 {
				t.Fatalf("%d tells %+v, %v", i, d, err)
			}
			if at := findRoleHolder(
				singleton.Provisioning,
			); at >= 0 &&
				d.Roles[0].Holder != emulator.ControllerName(at) {
				t.Errorf("%d takes %s for who deals with the cloud, it is %d", i, d.Roles[0].Holder, at)
			}
		}
	})
}

// TestProvisionerWithoutCloud: a holder that alone does not reach the cloud gives the duty up, though it is well otherwise,
// and stands back; another one takes it. When none of them reaches it they have longer patience, and go on trying.
func TestProvisionerWithoutCloud(t *testing.T) {
	runClusterWithRoles(t, 42, func(w *emulator.Environment) {
		time.Sleep(45 * time.Second)
		holder := findRoleHolder(singleton.Provisioning)
		w.PartitionCloud(holder, true)
		time.Sleep(singleton.DefaultRules(singleton.Provisioning).Patience + 8*time.Second)
		next := findRoleHolder(singleton.Provisioning)
		if next == holder || next < 0 {
			t.Fatalf("%d deals with the cloud, which it does not reach", next)
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
			t.Errorf("the duty changed hands %d times in five minutes in which nobody could do it", moves)
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

// TestScaleOutResponseLost: the answer to a rental is lost, and all controllers end. The log has what was asked for,
// and the next holder asks again under that name: nothing is rented twice.
func TestScaleOutResponseLost(t *testing.T) {
	runClusterWithRoles(t, 43, func(w *emulator.Environment) {
		time.Sleep(10 * time.Second)
		w.Cloud.DropResponses(1)
		w.Submit(newWebService(1, 4, "small"))
		for w.Cloud.Launched() == 0 {
			time.Sleep(20 * time.Millisecond)
		}
		for i := range 3 {
			w.Crash(i)
		}
		rented := w.Cloud.Launched()
		w.Cloud.DropResponses(0)
		time.Sleep(3 * time.Second)
		for i := range 3 {
			w.Start(i)
		}
		waitState(t, w, "req-000001", wire.JobRunning, 40*time.Second)
		time.Sleep(20 * time.Second)
		checkMachinesKnown(t, w)
		if total := w.Cloud.Launched(); total > rented+1 { // one to stand by
			t.Errorf("%d machines were rented before, %d after", rented, total)
		}
	})
}

// TestOlderNodeDisablesRoles: while one node knows nothing of duties, or was started without, the leader does it all,
// and logs nothing that such a node can't read.
func TestOlderNodeDisablesRoles(t *testing.T) {
	runClusterWithRoles(t, 44, func(w *emulator.Environment) {
		time.Sleep(10 * time.Second)
		w.Crash(2)
		distributedRoles = false
		w.Start(2)
		time.Sleep(5 * time.Second)
		for _, name := range []singleton.Name{singleton.Provisioning, singleton.Compaction} {
			if h := findRoleHolder(name); h >= 0 {
				t.Errorf("%d holds %v beside a node that takes no part", h, name)
			}
		}
		w.Submit(newWebService(1, 4, "small"))
		waitState(t, w, "req-000001", wire.JobRunning, 40*time.Second)
		checkMachinesKnown(t, w)
		w.Crash(2)
		distributedRoles = true
		w.Start(2)
		time.Sleep(10 * time.Second)
		if findRoleHolder(singleton.Provisioning) < 0 {
			t.Error("nobody deals with the cloud, though all nodes take part")
		}
		w.Submit(newWebService(2, 16, "large"))
		waitState(t, w, "req-000002", wire.JobRunning, 40*time.Second)
	})
}

// TestProvisionerFailoverTime measures how long it takes from the moment at which who deals with the cloud stands
// still to the next rental: with the duty held by itself, and with the leader holding all. It is played with -hard.
func TestProvisionerFailoverTime(t *testing.T) {
	if !*allScenarios {
		t.Skip("a measurement: -hard")
	}
	for _, distributed := range []bool{false, true} {
		var took []time.Duration
		for seed := uint64(1); seed <= 20; seed++ {
			distributedRoles = distributed
			runCluster(t, seed, func(w *emulator.Environment) {
				time.Sleep(45*time.Second + time.Duration(seed)*130*time.Millisecond)
				holder := findLeader()
				if distributed {
					holder = findRoleHolder(singleton.Provisioning)
				}
				freeze(w, holder, 40*time.Second)
				began, rented := time.Now(), w.Cloud.Launched()
				job := newWebService(3, 16, "large") // by a node that does not stand still
				body, _ := wire.Marshal(job)
				w.Checker.RegisterJob(job)
				w.RequestAt((holder+1)%3, "submit", job.ID, body)
				for w.Cloud.Launched() == rented && time.Since(began) < 60*time.Second {
					time.Sleep(20 * time.Millisecond)
				}
				took = append(took, time.Since(began))
				writes, _ := w.Store.Load()
				time.Sleep(time.Minute)
				if after, _ := w.Store.Load(); seed == 20 {
					t.Logf("spread %v: %d writes in a minute without work", distributed, after-writes)
				}
			})
		}
		distributedRoles = false
		slices.Sort(took)
		t.Logf(
			"spread %v: next rental after %v in the middle, %v at worst",
			distributed,
			took[len(took)/2],
			took[len(took)-1],
		)
	}
}
