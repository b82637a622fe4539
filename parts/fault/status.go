package fault

import "net/http"

// maxStatus is the largest status that HTTP defines a class for.
const maxStatus = 599

// IsFinalStatus reports whether an answer may have the given HTTP status. net/http reads any three digits,
// but a response with another status is no answer, or an interim one.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }
