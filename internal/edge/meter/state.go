package meter

import "time"

// State is what a running role knows of the system, with a counter for each reason, as
// /state and `show` print it.
type State struct {
	Role     string    `json:"role"`
	Name     string    `json:"name"`
	Place    string    `json:"place"`
	Now      time.Time `json:"now"`
	Started  time.Time `json:"started"`
	Revision uint64    `json:"revision"`
	// FileName is the name in the accepted file, FileSource the source of that file.
	FileName   string     `json:"file_name"`
	FileSource string     `json:"file_source"`
	Draining   bool       `json:"draining"`
	Flows      Flows      `json:"flows"`
	Endpoints  []Endpoint `json:"endpoints"`
	Links      []Link     `json:"links"`
	Reasons    []Reason   `json:"reasons"`
}

// Flows counts the flows of an agent. A balancer has only hints.
type Flows struct {
	Connecting  int `json:"connecting"`
	HalfOpen    int `json:"half_open"`
	Open        int `json:"open"`
	Lingering   int `json:"lingering"`
	SlotsInHand int `json:"slots_in_hand"`
	SlotsLimit  int `json:"slots_limit"`
	Hints       int `json:"hints"`
}

// Endpoint is the role's view of one endpoint.
type Endpoint struct {
	Service     string `json:"service"`
	Upstream    string `json:"upstream"`
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Place       string `json:"place"`
	State       string `json:"state"`
	Weight      uint32 `json:"weight"`
	Sequence    uint64 `json:"sequence"`
	// Suspected is the reason why the endpoint is tried last, or empty.
	Suspected string `json:"suspected"`
}

// Link is the state of a link to another process.
type Link struct {
	Peer  string `json:"peer"`
	State string `json:"state"`
}

// Reason counts the packets refused, forwarded or dropped for one reason.
type Reason struct {
	Name  string `json:"name"`
	Count uint64 `json:"count"`
	// Last is the time of the last such packet, or zero.
	Last time.Time `json:"last,omitzero"`
}
