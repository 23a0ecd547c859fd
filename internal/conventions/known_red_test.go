package conventions

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runKnownRed runs the CI script that checks the list of known failures, on a given list, and
// returns its standard error.
func runKnownRed(t *testing.T, list string) (messages string, err error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(file, []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command("bash", filepath.Join(".ci", "known-red"), file)
	command.Dir = moduleRoot
	var stderr strings.Builder
	command.Stderr = &stderr
	err = command.Run()
	return stderr.String(), err
}

// A bad entry fails CI, which prints its line: otherwise a test could be skipped by mistake.
func TestBadEntriesOfKnownFailuresAreRejected(t *testing.T) {
	entry := func(test string) string { return test + " | seed 1 | at times: fails | 1\n" }
	first, second, third, fourth := entry("TestPickNode"), entry("TestAssign"), entry("TestFindVictims"), entry("TestLogLinesHaveOneStyle")
	for name, test := range map[string]struct{ before, entry, message string }{
		"a part is missing":        {"", "TestPickNode | seed 1 | fails\n", "not test, command and seed"},
		"no line end":              {"", "TestPickNode | seed 1", "not test, command and seed"},
		"no such test":             {"", entry("TestThatIsNowhere"), "not a test"},
		"no test's name":           {"", entry("everything"), "not a test"},
		"an empty name":            {"", entry("TestPickNode, "), "not a test"},
		"a test in an entry twice": {"", entry("TestPickNode, TestPickNode"), "listed twice"},
		"a test in two entries":    {first, first, "listed twice"},
		"a fourth entry":           {first + second + third, fourth, "more than 3 entries"},
	} {
		messages, err := runKnownRed(t, test.before+test.entry)
		if err == nil || !strings.Contains(messages, test.message) || !strings.Contains(messages, strings.TrimSpace(test.entry)) {
			t.Errorf("%s: %v, %q", name, err, messages)
		}
	}
}
