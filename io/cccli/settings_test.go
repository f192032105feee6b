package cccli

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"camphorcroft/io/ccstandin"
)

const exampleDir = "../../examples/settings/"

var changingText = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z|[0-9a-f]{8}-[0-9a-f-]{27}`)

// session runs commands against one store and keeps what they write.
type session struct {
	store *ccstandin.Store
	text  strings.Builder
}

func newSession(t *testing.T) *session {
	t.Helper()
	s := &session{store: ccstandin.NewStore(ccstandin.StoreConfig{Seed: 3})}
	if err := s.store.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.store.Close() })
	return s
}

// run runs a command of two words with the session's store.
func (s *session) run(t *testing.T, line string, args ...string) int {
	t.Helper()
	words := strings.Fields(line)
	full := append([]string{words[0], words[1], "--store", s.store.Addr().String()}, words[2:]...)
	code, out, errs := run(t, append(full, args...)...)
	fmt.Fprintf(&s.text, "$ %s\n%s%s[%d]\n", line, out, errs, code)
	return code
}

func (s *session) assert(t *testing.T, name string) {
	t.Helper()
	goldie.New(t).Assert(t, name, []byte(changingText.ReplaceAllString(s.text.String(), "…")))
}

func TestSettingsCommands(t *testing.T) {
	s := newSession(t)
	file := func(name string) string { return exampleDir + name }
	for _, step := range []struct {
		line string
		args []string
	}{
		{"settings check --offline", []string{file("chair.yaml"), file("desk.yaml"), file("billing.yaml")}},
		{"settings check", []string{file("desk.yaml")}},
		{"settings propose --by ana --section chair", []string{file("chair.yaml")}},
		{"settings propose --by bo --section desk", []string{file("desk.yaml")}},
		{"settings propose --by cy --section billing", []string{file("billing.yaml")}},
		{"settings explain services.proof.queueTasks", nil},
		{"settings check", []string{file("decided/chair.yaml")}},
		{"settings propose --by ana --section chair", []string{file("decided/chair.yaml")}},
		{"settings propose --by ana --section chair", []string{file("decided/chair.yaml")}},
		{"settings explain services.proof.queueTasks", nil},
		{"settings explain --output json services.proof.slots", nil},
		{"settings explain fleet.maxClaims", nil},
		{"settings propose --by bo --section chair --base 2", []string{file("chair.yaml")}},
		{"settings propose --output json --section chair --base 3", []string{file("chair.yaml")}},
		{"settings history", nil},
		{"settings show", nil},
	} {
		s.run(t, step.line, step.args...)
	}
	s.assert(t, "settings-commands")
}

func TestDomainCommands(t *testing.T) {
	s := newSession(t)
	s.run(t, "settings propose --by ana --section chair", exampleDir+"chair.yaml")
	for _, line := range []string{
		"domain out --by bo north", "domain out --by bo north", "domain out --by bo nowhere",
		"domain list", "settings show --section chair", "domain in --by bo --output json north", "domain list --output json",
	} {
		s.run(t, line)
	}
	s.assert(t, "domain-commands")
}

func TestSettingsFaults(t *testing.T) {
	s := newSession(t)
	bad := filepath.Join(t.TempDir(), "desk.yaml")
	text := "services: {proof: {slots: 0, weights: {nowhere: 1}}}\nfleet: {cell: 3}\n"
	if err := os.WriteFile(bad, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"settings check", "settings propose --section desk", "settings check --output json"} {
		if code := s.run(t, line, bad); code != ExitFailed {
			t.Errorf("%s: exit code %d", line, code)
		}
		assertHas(t, s.text.String(), "desk.yaml", "fleet.cell", "there is no such key")
	}
	if writes := s.store.Counts().Writes(); writes != 0 {
		t.Errorf("refused settings made %d writes", writes)
	}
	for _, line := range []string{
		"settings propose x.yaml", "settings propose --section desk", "settings explain", "settings explain no.key",
		"settings show more", "domain out", "domain list more", "settings check", "settings show --store here",
		"settings history --limit many", "settings show --output xml",
	} {
		if code := s.run(t, line); code != ExitUsage {
			t.Errorf("%s: exit code %d, want %d", line, code, ExitUsage)
		}
	}
	if err := s.store.SetFaults(ccstandin.StoreFaults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	if code := s.run(t, "settings show --timeout 50ms"); code != ExitFailed {
		t.Errorf("exit code %d in an outage", code)
	}
}
