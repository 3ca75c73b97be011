package home

// ConfirmationQuorum and SuccessorQuorum are exported for the tests.
var (
	ConfirmationQuorum = confirmationQuorum
	SuccessorQuorum    = successorQuorum
)
