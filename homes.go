package pomelospring

import "slices"

// Homes are the regions that calls must not leave; nil for any. Empty names are ignored.
type Homes []string

// Allow reports whether a call may be sent to a region; an unknown one is empty.
func (h Homes) Allow(region string) bool {
	return h == nil || region != "" && slices.Contains(h, region)
}

// CommonHomes returns the regions that both lists allow. A list without names allows any.
func CommonHomes(x, y Homes) Homes {
	x, y = x.named(), y.named()
	if x == nil {
		return y
	}
	common := Homes{}
	for _, region := range x {
		if y.Allow(region) {
			common = append(common, region)
		}
	}
	return common
}

// named returns the homes without empty names, or nil if there are no others.
func (h Homes) named() (named Homes) {
	for _, region := range h {
		if region != "" {
			named = append(named, region)
		}
	}
	return named
}
