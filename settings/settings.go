// Package settings reads and validates the YAML settings of pomelospringd. The
// reference page docs/SETTINGS.md is generated from the structs and their tags.
package settings

import (
	"time"
)

// Settings holds all settings of the daemon, run by `pomelospringd serve`.
type Settings struct {
	Instance   Instance   `yaml:"instance" doc:"This instance."`
	Platform   Platform   `yaml:"platform" doc:"The platform's services."`
	Operators  []Operator `yaml:"operators" validate:"dive" doc:"Who may send commands."`
	Callers    Callers    `yaml:"callers" doc:"Limits on callers."`
	Budget     Budget     `yaml:"budget" doc:"How the token budget is shared."`
	Loads      Loads      `yaml:"loads" doc:"The weight store's budget of loads, over the whole fleet. The same on every instance."`
	Membership Membership `yaml:"membership" doc:"Leases of instances in their failure domain."`
	Intents    Intents    `yaml:"intents" doc:"Calls with an idempotency key."`
	Streams    Streams    `yaml:"streams" doc:"The streams in the platform's log."`
	TLS        TLS        `yaml:"tls" doc:"Certificates. Without them the listeners speak plain TCP."`
	Logging    Logging    `yaml:"logging" doc:"Logs."`
}

// Instance holds the failure domain of this instance and its addresses.
type Instance struct {
	Domain          string   `yaml:"domain" validate:"required,max=64" doc:"Failure domain that the instance runs in."`
	CallerAddress   string   `yaml:"callerAddress" validate:"required,hostname_port" doc:"host:port for callers."`
	PeerAddress     string   `yaml:"peerAddress" validate:"required,hostname_port" doc:"host:port for other instances; they use it as it stands."`
	OperatorAddress string   `yaml:"operatorAddress" validate:"required,hostname_port" doc:"host:port for operators' commands."`
	Seeds           []string `yaml:"seeds" validate:"dive,hostname_port" doc:"Peer addresses to start from when the platform is out."`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	LogURL          string `yaml:"logURL" validate:"required,url" doc:"Base URL of the log service."`
	InstanceListURL string `yaml:"instanceListURL" validate:"required,url" doc:"Base URL of the instance list."`
}

// Operator holds the credentials of one operator, who may send commands.
type Operator struct {
	Name      string `yaml:"name" validate:"required,max=64" doc:"Name that changes are recorded under."`
	TokenHash string `yaml:"tokenHash" validate:"required,len=64,hexadecimal" doc:"Hex SHA-256 of the operator's token."`
}

// Callers limits the size, time and cost of callers' requests.
type Callers struct {
	BodyBytes     int64         `yaml:"bodyBytes" validate:"min=1024,max=67108864" doc:"Largest body, in bytes."`
	HeaderBytes   int           `yaml:"headerBytes" validate:"min=1024,max=1048576" doc:"Largest header, in bytes."`
	HeaderTime    time.Duration `yaml:"headerTime" validate:"min=100ms,max=1m" doc:"Time for a header to arrive."`
	BodyTime      time.Duration `yaml:"bodyTime" validate:"min=100ms,max=10m" doc:"Time for a body to arrive."`
	IdleTime      time.Duration `yaml:"idleTime" validate:"min=1s,max=1h" doc:"Time that an idle connection is kept."`
	WriteTime     time.Duration `yaml:"writeTime" validate:"min=100ms,max=10m" doc:"Time for a caller to read one piece of an answer."`
	StartTime     time.Duration `yaml:"startTime" validate:"min=100ms,max=10m" doc:"Time that a request may wait for a model worker."`
	LoadWait      time.Duration `yaml:"loadWait" validate:"min=100ms,max=10m" doc:"Longest expected wait for the load of its adapter that a request is taken for; beyond it is refused at once with the time to come back."`
	TotalTime     time.Duration `yaml:"totalTime" validate:"min=1s,max=1h" doc:"Time for a whole request."`
	MaxTokens     int64         `yaml:"maxTokens" validate:"min=1,max=1000000" doc:"Tokens generated at most where a request does not say."`
	BytesPerToken float64       `yaml:"bytesPerToken" validate:"min=0.25,max=16" doc:"Prompt bytes that make at least one token. 1 never undercounts; a higher figure charges less ahead and may undercount."`
	KeysTrusted   time.Duration `yaml:"keysTrusted" validate:"min=1s,max=24h" doc:"How long keys are accepted after the last word on the configuration, from the log or from a peer. A key withdrawn while a failure domain is cut off from everything may go on working there for as long."`
}

// Budget controls how instances share each team's token budget.
type Budget struct {
	StandingPercent int           `yaml:"standingPercent" validate:"min=0,max=100" doc:"Part of each budget that holders keep through an outage of the log, in percent. A crash locks a holder's part up for standingTime."`
	LeasedTime      time.Duration `yaml:"leasedTime" validate:"min=2s,max=1h" doc:"How long the part that follows demand is held without renewal."`
	StandingTime    time.Duration `yaml:"standingTime" validate:"min=2s,max=24h" doc:"How long the standing part is held without renewal."`
	FloorPercent    int           `yaml:"floorPercent" validate:"min=0,max=100" doc:"Part of the leased budget that is spread evenly whatever the demand, in percent."`
	LeastBurst      float64       `yaml:"leastBurst" validate:"min=1,max=1000000000" doc:"Least part of a team's burst that an instance holds, in tokens; in a failure domain with less for each, fewer instances hold it and lend to the others. Several times the cost of a usual request."`
	RenewEvery      time.Duration `yaml:"renewEvery" validate:"min=100ms,max=1m" doc:"Time between renewals of a small failure domain; it grows with the domain."`
}

// Loads limits adapter loads from the weight store over the whole fleet.
type Loads struct {
	Rate  float64 `yaml:"rate" validate:"min=0.01,max=100000" doc:"Loads a second that the weight store allows."`
	Burst float64 `yaml:"burst" validate:"min=1,max=100000" doc:"Loads at once."`
}

// Membership holds the timing of instances' leases and of planned stops.
type Membership struct {
	LeaseTime  time.Duration `yaml:"leaseTime" validate:"min=1s,max=10m" doc:"How long an instance owns backend servers without renewal. After a crash its servers wait for as long."`
	FlightTime time.Duration `yaml:"flightTime" validate:"min=0s,max=1m" doc:"Longest that an order may be under way to a backend server."`
	ClockBound time.Duration `yaml:"clockBound" validate:"min=0s,max=10s" doc:"Largest difference assumed between any two clocks."`
	NoticeTime time.Duration `yaml:"noticeTime" validate:"min=0s,max=5m" doc:"How long a planned stop still takes new requests, so that the balancer can turn away first."`
	DrainTime  time.Duration `yaml:"drainTime" validate:"min=1s,max=1h" doc:"How long a planned stop waits for running requests."`
}

// Intents controls how long idempotency keys are retained.
type Intents struct {
	KeptTime time.Duration `yaml:"keptTime" validate:"min=1m,max=720h" doc:"How long an idempotency key is remembered. A key of UUID version 7 that is older is refused."`
}

// Streams controls how often snapshots of state are appended to their streams.
type Streams struct {
	SnapshotRecords int           `yaml:"snapshotRecords" validate:"min=10,max=1000000" doc:"Records after which a state is appended."`
	SnapshotAge     time.Duration `yaml:"snapshotAge" validate:"min=1s,max=24h" doc:"Time after which a state is appended; keep it under a third of the log's retention."`
}

// TLS names the certificate files, which are reloaded when they change.
type TLS struct {
	Callers   Certificate `yaml:"callers" doc:"Listener for callers."`
	Operators Certificate `yaml:"operators" doc:"Listener for operators."`
	Peers     Certificate `yaml:"peers" doc:"Listener for and calls to other instances; with an authority both sides are checked."`
	// BackendAuthority and PlatformAuthority turn on TLS for calls to backend
	// servers and to the platform.
	BackendAuthority  string `yaml:"backendAuthority" validate:"omitempty,file" doc:"PEM file of the authority that backend servers are checked against; set it to call them over TLS."`
	PlatformAuthority string `yaml:"platformAuthority" validate:"omitempty,file" doc:"PEM file of the authority that the platform is checked against."`
}

// Certificate names the PEM files of one certificate, its key and the
// authority that the other side of a connection is verified against.
type Certificate struct {
	Certificate string `yaml:"certificate" validate:"required_with=Key,omitempty,file" doc:"PEM file of the certificate."`
	Key         string `yaml:"key" validate:"required_with=Certificate,omitempty,file" doc:"PEM file of the key."`
	Authority   string `yaml:"authority" validate:"omitempty,file" doc:"PEM file of the authority that the other side is checked against."`
}

// Logging sets the log level.
type Logging struct {
	Level string `yaml:"level" validate:"oneof=debug info warn error" doc:"Lowest level that is logged: debug, info, warn or error."`
}

// Default returns the values of settings that a file leaves out.
func Default() *Settings {
	return &Settings{
		Callers: Callers{
			BodyBytes:     4 << 20,
			HeaderBytes:   64 << 10,
			HeaderTime:    5 * time.Second,
			BodyTime:      15 * time.Second,
			IdleTime:      2 * time.Minute,
			WriteTime:     30 * time.Second,
			StartTime:     20 * time.Second,
			LoadWait:      5 * time.Second,
			TotalTime:     10 * time.Minute,
			MaxTokens:     256,
			BytesPerToken: 1,
			KeysTrusted:   5 * time.Minute,
		},
		Budget: Budget{
			StandingPercent: 30,
			LeasedTime:      75 * time.Second,
			StandingTime:    10 * time.Minute,
			FloorPercent:    30,
			LeastBurst:      1000,
			RenewEvery:      2 * time.Second,
		},
		Loads: Loads{
			Rate:  2,
			Burst: 8,
		},
		Membership: Membership{
			LeaseTime:  10 * time.Second,
			FlightTime: time.Second,
			ClockBound: 250 * time.Millisecond,
			NoticeTime: 3 * time.Second,
			DrainTime:  10 * time.Minute,
		},
		Intents: Intents{
			KeptTime: 24 * time.Hour,
		},
		Streams: Streams{
			SnapshotRecords: 500,
			SnapshotAge:     20 * time.Minute,
		},
		Logging: Logging{
			Level: "info",
		},
	}
}
