package settings

import "time"

// Front holds the settings of an instance behind a load balancer, run by
// `pomelospringd front`.
type Front struct {
	Name           string      `yaml:"name" validate:"required,max=128" doc:"Name of this instance, in logs."`
	Domain         string      `yaml:"domain" validate:"required,max=64" doc:"Failure domain that the instance runs in."`
	Domains        []string    `yaml:"domains" validate:"required,dive,required" doc:"All failure domains of the fleet; the same on all instances."`
	Listen         FrontListen `yaml:"listen" doc:"Addresses to listen on."`
	StoreAddress   string      `yaml:"storeAddress" validate:"required,hostname_port" doc:"host:port of the platform's metadata store."`
	GroupParts     int         `yaml:"groupParts" validate:"min=1,max=1000" doc:"Partitions that the store gives every topic; the leader holds all of the group's."`
	Processor      float64     `yaml:"processorShare" validate:"min=0,max=1024" doc:"Part of a core that the instance has; those with more lead sooner."`
	FirstStart     bool        `yaml:"firstStart" doc:"The whole fleet starts for the first time: instances may take a second to be ready rather than all read the store."`
	Bounds         FrontBounds `yaml:"bounds" doc:"What the platform holds instances to."`
	Logging        Logging     `yaml:"logging" doc:"Logs."`
	MemoryMB       int64       `yaml:"memoryMB" validate:"min=0,max=16777216" doc:"Memory that the instance may use, in megabytes, of which callers get a part; 0 for the machine's, or the runtime's own limit if that is less."`
	MaxDescriptors int64       `yaml:"maxDescriptors" validate:"min=0,max=16777216" doc:"Descriptors that the instance may use, of which callers' connections get a part; 0 for the process's own limit."`

	Regions map[string]string `yaml:"regions" validate:"dive,keys,required,endkeys,max=64" doc:"Region of each failure domain, for routes and teams that have homes; without it their calls are refused."`
}

// FrontListen holds the addresses that an instance listens on.
type FrontListen struct {
	Callers   string `yaml:"callers" validate:"required,hostname_port" doc:"host:port for callers, who come through the balancer."`
	Readiness string `yaml:"readiness" validate:"required,hostname_port" doc:"host:port for the balancer's question whether the instance is ready."`
	Peers     string `yaml:"peers" validate:"required,hostname_port" doc:"host:port for other instances; they use it as it stands."`
	Metrics   string `yaml:"metrics" validate:"required,hostname_port" doc:"host:port for metrics."`
}

// FrontBounds holds the platform's limits that instances must respect.
type FrontBounds struct {
	StopWithin          time.Duration `yaml:"stopWithin" validate:"min=1000000000" doc:"Time from SIGTERM to SIGKILL."`
	OrderTurn           time.Duration `yaml:"orderTurn" validate:"min=0" doc:"Time in which two instances must not both give orders to a model worker."`
	RetrySlack          float64       `yaml:"retrySlack" validate:"min=0" doc:"Retries that the whole fleet may send to a service beyond its part of the requests."`
	ConfigurationWithin time.Duration `yaml:"configurationWithin" validate:"min=1000000000" doc:"Time from the acknowledgement of a configuration until instances must follow it. One whose configuration was not confirmed for that time, less 500ms, refuses unknown routes and keys only for the time being."`
	SettingsPoll        time.Duration `yaml:"settingsPoll" validate:"min=100000000" doc:"Time between looks whether the settings file has changed."`
}

// DefaultFront returns the values of settings that a file leaves out.
func DefaultFront() *Front {
	return &Front{
		GroupParts: 12,
		Processor:  1,
		Bounds: FrontBounds{
			StopWithin: 8 * time.Second,
			OrderTurn:  3 * time.Second,
			RetrySlack: 20,

			ConfigurationWithin: 3 * time.Second,
			SettingsPoll:        5 * time.Second,
		},
		Logging: Logging{
			Level: "info",
		},
	}
}
