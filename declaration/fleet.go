// Package declaration is the operators' library. A program builds a Fleet from
// plain values, and Print writes the TOML that `dotterelwell config submit` takes.
//
// The printed TOML is the contract: a program in another language may print it
// as well. Every type checks itself with Check, and Parse reports all faults of
// a document at once.
package declaration

// Fleet is the whole configuration document.
type Fleet struct {
	Zones       []Zone       `toml:"zone,omitempty" json:"zone,omitempty"`
	Models      []Model      `toml:"model,omitempty" json:"model,omitempty"`
	Workspaces  []Workspace  `toml:"workspace,omitempty" json:"workspace,omitempty"`
	Services    []Service    `toml:"service,omitempty" json:"service,omitempty"`
	SessionKeys []SessionKey `toml:"session-key,omitempty" json:"session-key,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	Name   ZoneName   `toml:"name" json:"name"`
	Region RegionName `toml:"region" json:"region"`
}

// SessionKey signs session tokens. The newest key by Since signs; the two newest verify.
type SessionKey struct {
	Name   KeyName `toml:"name" json:"name"`
	Secret string  `toml:"secret" json:"secret"`
	// Since orders the keys; it is the time in milliseconds since the Unix epoch.
	Since Millis `toml:"since-ms" json:"since-ms"`
}

// State tells what work a version takes.
type State string

// States of a version.
const (
	// StateActive takes all work.
	StateActive State = "active"
	// StateDraining takes no new sessions and keeps those that it has.
	StateDraining State = "draining"
	// StateWithdrawn takes no new work.
	StateWithdrawn State = "withdrawn"
)

// Model is a model with its versions and at most one roll-out.
type Model struct {
	Name     ModelName `toml:"name" json:"name"`
	Versions []Version `toml:"version" json:"version"`
	Rollout  *Rollout  `toml:"rollout,omitempty" json:"rollout,omitempty"`
}

// Version is one version of a model.
type Version struct {
	Name  VersionName `toml:"name" json:"name"`
	State State       `toml:"state,omitempty" json:"state,omitempty"`
	// PromptPrice and AnswerPrice are per thousand tokens.
	PromptPrice MicroCost `toml:"prompt-price" json:"prompt-price"`
	AnswerPrice MicroCost `toml:"answer-price" json:"answer-price"`
	// Quality is the rating to expect before ratings have come in.
	Quality Quality `toml:"quality" json:"quality"`
	// ColdLimit is the number of requests at once that a server of this
	// version bears while in cold start; zero means one.
	ColdLimit int `toml:"cold-limit,omitempty" json:"cold-limit,omitempty"`
}

// Rollout moves new sessions from one version to another in steps.
type Rollout struct {
	From  VersionName `toml:"from" json:"from"`
	To    VersionName `toml:"to" json:"to"`
	Steps []Percent   `toml:"steps" json:"steps"`
	Hold  Millis      `toml:"hold-ms" json:"hold-ms"`
	Guard Guard       `toml:"guard" json:"guard"`
}

// Guard bounds how much worse the new version may be than the old one.
type Guard struct {
	MaxErrorRise     Percent `toml:"max-error-rise" json:"max-error-rise"`
	MaxQualityDrop   Quality `toml:"max-quality-drop" json:"max-quality-drop"`
	MaxLatencyFactor float64 `toml:"max-latency-factor" json:"max-latency-factor"`
}

// Priority is the admission class of a route or service.
type Priority string

// Priorities.
const (
	// PriorityPrompt is for a caller who waits, such as a clerk at the counter.
	PriorityPrompt Priority = "prompt"
	// PriorityPatient is for work that may wait but must not be dropped.
	PriorityPatient Priority = "patient"
)

// AnswerMode tells when an answer is rated.
type AnswerMode string

// Answer modes of a route.
const (
	// AnswerStreamed sends tokens as they come and rates a sample afterwards.
	AnswerStreamed AnswerMode = "streamed"
	// AnswerRated rates each answer before it is sent and escalates a poor one.
	AnswerRated AnswerMode = "rated"
)

// Withdrawal tells what becomes of a session whose version is withdrawn.
type Withdrawal string

// Ways to treat a session whose version is withdrawn.
const (
	// WithdrawalMove moves the session to another version.
	WithdrawalMove Withdrawal = "move"
	// WithdrawalRefuse refuses the session's further requests.
	WithdrawalRefuse Withdrawal = "refuse"
)

// Workspace is a customer's unit of access and billing.
type Workspace struct {
	Name WorkspaceName `toml:"name" json:"name"`
	// KeyDigests are the SHA-256 digests, in hex, of the keys that callers present.
	KeyDigests []string `toml:"key-digests" json:"key-digests"`
	// Allow lists the models and versions that the workspace may use.
	Allow    []Ref         `toml:"allow" json:"allow"`
	Services []ServiceName `toml:"services,omitempty" json:"services,omitempty"`
	Routes   []Route       `toml:"route,omitempty" json:"route,omitempty"`
}

// Route is what a caller names as its model.
type Route struct {
	Name     RouteName `toml:"name" json:"name"`
	Class    ClassName `toml:"class" json:"class"`
	Priority Priority  `toml:"priority,omitempty" json:"priority,omitempty"`
	// Models are the candidates; the workspace must allow each of them.
	Models  []Ref   `toml:"models" json:"models"`
	Quality Quality `toml:"quality" json:"quality"`
	// Answer defaults to AnswerStreamed.
	Answer AnswerMode `toml:"answer,omitempty" json:"answer,omitempty"`
	// OnWithdrawal defaults to WithdrawalMove.
	OnWithdrawal Withdrawal `toml:"on-withdrawal,omitempty" json:"on-withdrawal,omitempty"`
	// Explore is the share of requests that may try a model with few ratings.
	Explore Percent `toml:"explore-percent,omitempty" json:"explore-percent,omitempty"`
}

// Service is a plain service beside the model engines.
type Service struct {
	Name     ServiceName `toml:"name" json:"name"`
	Priority Priority    `toml:"priority,omitempty" json:"priority,omitempty"`
	// OnceMethods are the HTTP methods whose calls may not be repeated.
	OnceMethods []string `toml:"once-methods,omitempty" json:"once-methods,omitempty"`
	// CanTell is set when the service answers GET /requests/<id> truthfully.
	CanTell bool `toml:"can-tell,omitempty" json:"can-tell,omitempty"`
	// Price is charged for each answered call.
	Price MicroCost `toml:"price,omitempty" json:"price,omitempty"`
	// ColdLimit is as for Version.
	ColdLimit int `toml:"cold-limit,omitempty" json:"cold-limit,omitempty"`
}
