package waxrollout

// Reason says why the controller acts, in logs and in the record.
type Reason string

// Reasons of actions.
const (
	ReasonNone        Reason = ""
	ReasonOrdered     Reason = "ordered"
	ReasonRenewed     Reason = "renewed"
	ReasonTakenOver   Reason = "taken-over"
	ReasonProved      Reason = "proved"
	ReasonBudget      Reason = "exposure-budget"
	ReasonTime        Reason = "two-thirds-of-duration"
	ReasonStreamsDone Reason = "old-streams-ended"
	ReasonDeadline    Reason = "deadline-near"
	ReasonSuspect     Reason = "version-slow"
	ReasonBad         Reason = "version-bad"
	ReasonNoServers   Reason = "version-without-servers"
	ReasonWithdrawn   Reason = "order-withdrawn"
	ReasonRestored    Reason = "store-restored"
	ReasonStatus      Reason = "status-differs"
)
