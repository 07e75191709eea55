package model

import "fieldhill/internal/config"

// Team is an owner of jobs, with what its jobs use.
type Team struct {
	config.Team
	Index              int     // in Model.Teams
	UsedCPUs, UsedGPUs float64 // by its runs, whatever has become of their jobs
	LiveTasks          int     // of its unfinished jobs, not completed
}

// teamTable holds the teams of the settings.
type teamTable struct {
	Teams      []*Team // in the order of the settings
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

// TeamOf finds a team; nil if the settings don't name it.
func (t *teamTable) TeamOf(name string) *Team { return t.teamByName[name] }
