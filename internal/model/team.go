package model

import "fieldhill/internal/config"

// Team is a configured team, which owns jobs, with the resources that its jobs use.
type Team struct {
	config.Team
	Index              int     // index in Model.Teams
	UsedCPUs, UsedGPUs float64 // used by the runs of its jobs, including cancelled jobs
	LiveTasks          int     // uncompleted tasks of its live jobs
}

// teamTable holds the configured teams.
type teamTable struct {
	Teams      []*Team // in the order of the configuration
	teamByName map[string]*Team
}

func newTeamTable(settings []config.Team) teamTable {
	t := teamTable{teamByName: map[string]*Team{}}
	for _, s := range settings {
		t.insertTeam(&Team{Team: s, Index: len(t.Teams)})
	}
	return t
}

func (t *teamTable) insertTeam(team *Team) {
	t.Teams = append(t.Teams, team)
	t.teamByName[team.Name] = team
}

// TeamOf returns the team with the given name, or nil if it is not configured.
func (t *teamTable) TeamOf(name string) *Team { return t.teamByName[name] }
