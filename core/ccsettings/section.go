package ccsettings

// Chair is the name of the chair's section, which overrides the teams' sections and
// holds the votes.
const Chair = "chair"

// MaxSectionBytes is the maximum size of a section's text.
const MaxSectionBytes = 256 << 10

// Section holds the settings of one team or of the chair.
type Section struct {
	Name string
	// File is the name of the section's text in errors.
	File     string
	Settings map[Key]Setting
	// Votes is empty except in the chair's section.
	Votes map[Key]Vote
}

// Setting is a value and its line in the section's text.
type Setting struct {
	Value Value
	Line  int
}

// Vote is the chair's decision on a key on which teams disagree. Either Team or
// Value is set: the vote selects the value of a team, or gives a value.
type Vote struct {
	Team  string
	Value Value
	Line  int
}

// Default returns the settings in force before the first change.
func Default() *Effective {
	return &Effective{
		Services: map[string]Service{},
		Domains:  map[string]Domain{},
		Teams:    map[string]Team{},
		Fleet:    DefaultFleet(),
	}
}
