package wire

import "math"

// States of a task on a worker.
const (
	TaskFetching = "fetching"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "ended"
)

// Reasons for which a task exited.
const (
	WhyDone    = "done"
	WhyStopped = "halted"
	WhyError   = "error"
	WhyNoRoom  = "no_room"
	WhyBusy    = "in_use"
	WhyUnknown = "unknown"
)

// Verbs of orders.
const (
	OpStart  = "launch"
	OpStop   = "stop"
	OpForget = "clear"
)

// TaskReport is one task in a report.
type TaskReport struct {
	Task    string `json:"leg"`
	Attempt uint64 `json:"try"`
	State   string `json:"status"`
	Why     string `json:"cause,omitempty"`
	Saved   bool   `json:"stored,omitempty"`
}

// Report is what a worker says of itself.
type Report struct {
	Machine string       `json:"nest"`
	Addr    string       `json:"address"`
	Type    string       `json:"build"`
	Zone    string       `json:"yard"`
	Spot    bool         `json:"loaners"`
	Session uint64       `json:"shift"`
	Seq     uint64       `json:"tick"`
	Token   uint64       `json:"baton"`
	NoticeS *float64     `json:"recallS"`
	Tasks   []TaskReport `json:"legs"`
}

// Check refuses a report that no sound worker sends.
func (r *Report) Check() error {
	switch {
	case !ValidMachine(r.Machine):
		return malformed("nest %.40q", r.Machine)
	case !ValidMachine(r.Addr) || r.Type == "" || r.Zone == "":
		return malformed("address, build and yard must be set")
	case r.Session == 0:
		return malformed("shift must be 1 or more")
	case r.NoticeS != nil && (math.IsNaN(*r.NoticeS) || *r.NoticeS < 0):
		return malformed("recallS is negative")
	}
	return nil
}

// ValidMachine tells whether s can name a machine inside a key.
func ValidMachine(s string) bool {
	if s == "" || len(s) > maxNameSize {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c == '/' || c >= 0x7f {
			return false
		}
	}
	return true
}

// Order is one command to a worker.
type Order struct {
	Op      string   `json:"verb"`
	Task    string   `json:"leg"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windS,omitempty"`
}

// ReportReply answers a report.
type ReportReply struct {
	Token  uint64  `json:"baton"`
	Orders []Order `json:"orders"`
}

// Redirect sends a worker to another node.
type Redirect struct {
	ReportTo string `json:"reportsTo,omitempty"`
}

// Commands go straight to a worker.
type Commands struct {
	Token   uint64  `json:"baton"`
	Session uint64  `json:"shift"`
	Orders  []Order `json:"orders"`
}
