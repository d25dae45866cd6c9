package request

// Unprocessable returns the answer to a request that is refused for good because of a
// field of what it describes.
func Unprocessable(field, reason string) Response {
	return Response{Status: 422, Field: field, Reason: field + ": " + reason}
}
