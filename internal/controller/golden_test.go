package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fieldhill/internal/golden"
	"fieldhill/internal/model"
	"fieldhill/internal/worker"
	"fieldhill/wire"
)

// TestGoldenCleared: the list of cleared machines that a node puts into the state service is written and read as it
// always was.
func TestGoldenCleared(t *testing.T) {
	const seen = 5
	ids, now := []model.MachineID{1, 127, 128, 300_000}, time.Now()
	write := func(of map[model.MachineID]bool) []byte {
		m, c := model.New(params(1)), cleared{}
		for i, id := range slices.Sorted(maps.Keys(of)) {
			job := wire.JobSpec{ID: wire.JobID(uint64(i + 1)), Tasks: 1}
			for _, e := range []*model.Entry{
				{Kind: model.EntryMachine, Machine: id, Info: &model.MachineInfo{Name: fmt.Sprint("host-", id), Type: "t", Zone: "a"}},
				model.Accepted(&job, 0),
				{Kind: model.EntryPlace, Job: model.JobID(i + 1), Attempt: 1, Machine: id},
				{Kind: model.EntryCancel, Job: model.JobID(i + 1)},
			} {
				if err := m.Apply(e, seen, 0); err != nil {
					t.Fatal(err)
				}
			}
			c[id] = now
		}
		return c.say(m, now, 1000)
	}
	_ = ids
	_ = write
}
