package meter

import "time"

// State is what a running role believes and why, as /state and `show` give it.
type State struct {
	Role     string    `json:"role"`
	Name     string    `json:"name"`
	Place    string    `json:"place"`
	Now      time.Time `json:"now"`
	Started  time.Time `json:"started"`
	Revision uint64    `json:"revision"`
	// FileName is the name in the accepted file, FileSource who it came from.
	FileName   string     `json:"file_name"`
	FileSource string     `json:"file_source"`
	Draining   bool       `json:"draining"`
	Flows      Flows      `json:"flows"`
	Endpoints  []Endpoint `json:"endpoints"`
	Links      []Link     `json:"links"`
	Reasons    []Reason   `json:"reasons"`
}

// Flows counts what a side process holds; a balancer holds hints only.
type Flows struct {
	Connecting  int `json:"connecting"`
	HalfOpen    int `json:"half_open"`
	Open        int `json:"open"`
	Lingering   int `json:"lingering"`
	SlotsInHand int `json:"slots_in_hand"`
	SlotsLimit  int `json:"slots_limit"`
	Hints       int `json:"hints"`
}

// Endpoint is one endpoint as the role sees it.
type Endpoint struct {
	Service     string `json:"service"`
	Upstream    string `json:"upstream"`
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Place       string `json:"place"`
	State       string `json:"state"`
	Weight      uint32 `json:"weight"`
	Sequence    uint64 `json:"sequence"`
	// Suspected tells why the endpoint is tried last; empty if it is not.
	Suspected string `json:"suspected"`
}

// Link is one link to another process.
type Link struct {
	Peer  string `json:"peer"`
	State string `json:"state"`
}

// Reason counts one reason for which packets were refused, handed on or dropped.
type Reason struct {
	Name  string `json:"name"`
	Count uint64 `json:"count"`
	// Last is when it was last given; zero if never.
	Last time.Time `json:"last,omitzero"`
}
