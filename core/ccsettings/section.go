package ccsettings

// Chair is the name of the chair's section.
const Chair = "chair"

// MaxSectionBytes bounds the text of one section.
const MaxSectionBytes = 256 << 10

// Section is what one team, or the chair, has written.
type Section struct {
	Name string
	// File names the text's origin in errors.
	File     string
	Settings map[Key]Setting
	// Votes are in the chair's section alone.
	Votes map[Key]Vote
}

// Setting is one value with its line.
type Setting struct {
	Value Value
	Line  int
}

// Vote is the chair's decision on a key that teams disagree on. Either Team or
// Value is set.
type Vote struct {
	Team  string
	Value Value
	Line  int
}

// Default returns the settings that are in force before anyone wrote any.
func Default() *Effective {
	return &Effective{
		Services: map[string]Service{},
		Domains:  map[string]Domain{},
		Teams:    map[string]Team{},
		Fleet:    DefaultFleet(),
	}
}
