package standin

// HTTP headers that stand-ins of callers, backend servers and the store read or write.
// They repeat the published protocol on purpose, rather than the product's own names.
const (
	HeaderRequestID     = "X-Pomelospring-Request-Id"
	HeaderStamp         = "X-Pomelospring-Server-Stamp"
	HeaderAdapter       = "X-Pomelospring-Model-Id"
	HeaderTeam          = "X-Pomelospring-Tenant-Id"
	HeaderExpectServer  = "X-Pomelospring-Expect-Instance"
	HeaderExpectVersion = "X-Pomelospring-Expect-Version"
	HeaderNotExecuted   = "X-Pomelospring-Not-Executed"
	HeaderPromptPrefix  = "X-Pomelospring-Prompt-Prefix"
	HeaderTokenCount    = "X-Pomelospring-Token-Count"
	HeaderDeadline      = "X-Pomelospring-Deadline-Ms"
	HeaderLimit         = "Server-Limit"
	HeaderBrittle       = "Server-Brittle"
	HeaderLeaving       = "Server-Leaving"
	HeaderStoreEra      = "Store-Era"
)

// Paths of the calls that leaders make at backend servers.
const (
	PathOrder  = "/api/order"
	PathReport = "/api/report"
)
