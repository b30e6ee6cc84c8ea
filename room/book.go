// Package room decides how many calls may be under way at brittle backend servers: those
// that fall over when they turn too many calls away within a second.
package room

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// teamUseTime is the time constant with which permits given to a team are forgotten.
	teamUseTime = 4 * time.Second
	// maxServers bounds the servers that are remembered, maxTeams the teams and
	// maxWaiting the requests that wait.
	maxServers = 4096
	maxTeams   = 1024
	maxWaiting = 4096
)

// Server is a brittle backend server as a request names it.
type Server struct {
	ID string
	// Started identifies one start of the server.
	Started time.Time
	// Slots is the number of calls that it works on at once.
	Slots int
	// RejectionsPerSecond is how many calls it may turn away within a second.
	RejectionsPerSecond float64
	// Room is how many calls it took lately, as far as others know; 0 if unknown.
	Room int
}

// Key identifies a permit.
type Key struct {
	// Owner is the instance that asked for the permit, and Number is unique there.
	Owner  string
	Number int64
}

// Request asks for a permit to send a call to one of several servers.
type Request struct {
	Key  Key
	Team string
	// Servers are in order of preference.
	Servers []Server
	// Until is when the request stops waiting, and ExpiresAt when its permit ends if it
	// is not returned before.
	Until     time.Time
	ExpiresAt time.Time
}

// Grant is a permit that was given to a request.
type Grant struct {
	Key    Key
	Server string
}

// Outcome says how a call with a permit ended.
type Outcome int

// The outcomes of calls with permits.
const (
	// Served means that the server took the call.
	Served Outcome = iota
	// Rejected means that the server turned the call away.
	Rejected
	// Broken means that the connection could not be made or broke.
	Broken
	// Unsent means that the call was not sent.
	Unsent
)

// Book gives out permits for calls to brittle servers. It is not safe for concurrent use.
type Book struct {
	// Share is the part of each server's room that the book may give out, for an instance
	// that decides alone; 0 for all of it. Phase, from 0 to 1, spreads the first permits
	// of such instances.
	Share float64
	Phase float64
	// OpenAt is when the first permit may be given out, after others gave out some.
	OpenAt time.Time

	servers map[string]*server
	owners  map[Key]string
	waiting []*Request
	teams   map[string]*teamUse
	settle  settling
}

// teamUse is the number of permits that a team got lately, decayed over teamUseTime.
type teamUse struct {
	permits float64
	at      time.Time
}

func (t *teamUse) decayed(now time.Time) float64 {
	return t.permits * math.Exp(-now.Sub(t.at).Seconds()/teamUseTime.Seconds())
}

// Empty reports whether no server is known and no request waits.
func (b *Book) Empty() bool { return len(b.servers) == 0 && len(b.waiting) == 0 }

// Ask asks for a permit. The request waits if it is likely to get one in time; else
// refused is set, and retryAt is when one is likely to be free.
func (b *Book) Ask(request Request, now time.Time) (grants []Grant, retryAt time.Time, refused bool) {
	for i := range request.Servers {
		b.know(&request.Servers[i], now)
	}
	b.waiting = append(b.waiting, &request)
	grants = b.Next(now)
	if slices.ContainsFunc(grants, func(grant Grant) bool { return grant.Key == request.Key }) {
		return grants, time.Time{}, false
	}
	freeAt := b.likelyFreeAt(&request, now)
	if freeAt.After(request.Until) || len(b.waiting) > maxWaiting {
		b.Withdraw(request.Key)
		return grants, freeAt, true
	}
	return grants, freeAt, false
}

// Withdraw ends the wait of a request.
func (b *Book) Withdraw(key Key) {
	b.waiting = slices.DeleteFunc(b.waiting, func(request *Request) bool { return request.Key == key })
}

// Next gives out the permits that are free to the requests that wait, and drops those
// that have waited for too long.
func (b *Book) Next(now time.Time) (grants []Grant) {
	b.waiting = slices.DeleteFunc(b.waiting, func(request *Request) bool { return now.After(request.Until) })
	if len(b.waiting) == 0 || now.Before(b.OpenAt) {
		return nil
	}
	takes := map[string]bool{}
	free := 0
	for id, s := range b.servers {
		if takes[id] = s.takes(b.Share, now); takes[id] {
			free++
		}
	}
	for free > 0 && len(b.waiting) > 0 {
		position, id := b.choose(takes, now)
		if position < 0 {
			return grants
		}
		request := b.waiting[position]
		b.waiting = slices.Delete(b.waiting, position, position+1)
		b.servers[id].grant(request, b.Share, now)
		if takes[id] = b.servers[id].takes(b.Share, now); !takes[id] {
			free--
		}
		if b.owners == nil {
			b.owners = map[Key]string{}
		}
		b.owners[request.Key] = id
		b.countGrant(request.Team, now)
		grants = append(grants, Grant{
			Key:    request.Key,
			Server: id,
		})
	}
	return grants
}

// choose returns the position of the request that gets the next permit, and its server;
// -1 if none can have one. Of the requests that can have one, that of the team with the
// fewest permits lately goes first. takes has which servers take a call.
func (b *Book) choose(takes map[string]bool, now time.Time) (position int, id string) {
	position = -1
	least := math.Inf(1)
	uses := map[string]float64{}
	for i, request := range b.waiting {
		used, known := uses[request.Team]
		if !known {
			used = b.used(request.Team, now)
			uses[request.Team] = used
		}
		if used >= least {
			continue
		}
		for j := range request.Servers {
			candidate := request.Servers[j].ID
			if takes[candidate] {
				position, id, least = i, candidate, used
				break
			}
		}
	}
	return position, id
}

// used returns how many permits a team got lately.
func (b *Book) used(team string, now time.Time) float64 {
	if use := b.teams[team]; use != nil {
		return use.decayed(now)
	}
	return 0
}

func (b *Book) countGrant(team string, now time.Time) {
	if b.teams == nil {
		b.teams = map[string]*teamUse{}
	}
	use := b.teams[team]
	if use == nil {
		if len(b.teams) >= maxTeams {
			maps.DeleteFunc(b.teams, func(_ string, other *teamUse) bool { return now.Sub(other.at) > teamUseTime })
		}
		use = &teamUse{
			at: now,
		}
		b.teams[team] = use
	}
	use.permits, use.at = use.decayed(now)+1, now
}

// likelyFreeAt estimates when a request that waits gets a permit, if the teams that wait
// for its servers get theirs in turn.
func (b *Book) likelyFreeAt(request *Request, now time.Time) time.Time {
	perSecond := 0.0
	var upAt time.Time
	for i := range request.Servers {
		s := b.servers[request.Servers[i].ID]
		if s == nil {
			continue
		}
		perSecond += s.permitsPerSecond(b.Share)
		if upAt.IsZero() || s.downUntil.Before(upAt) {
			upAt = s.downUntil
		}
	}
	if perSecond == 0 {
		return request.Until.Add(time.Second)
	}
	own, teams := 0, map[string]bool{}
	asked := make(map[string]bool, len(request.Servers))
	for i := range request.Servers {
		asked[request.Servers[i].ID] = true
	}
	for _, other := range b.waiting {
		if !slices.ContainsFunc(other.Servers, func(s Server) bool { return asked[s.ID] }) {
			continue
		}
		teams[other.Team] = true
		if other.Team == request.Team {
			own++
		}
	}
	wait := time.Duration(float64(own*max(1, len(teams))) / perSecond * float64(time.Second))
	for _, earliest := range []time.Time{now, b.OpenAt} {
		if upAt.Before(earliest) {
			upAt = earliest
		}
	}
	return upAt.Add(wait)
}

// know records what a request says of a server.
func (b *Book) know(named *Server, now time.Time) {
	if b.servers == nil {
		b.servers = map[string]*server{}
	}
	s := b.servers[named.ID]
	if s != nil && !named.Started.After(s.started) {
		if named.Started.Equal(s.started) {
			s.rejectionsPerSecond, s.slots = named.RejectionsPerSecond, max(1, named.Slots)
			s.limit = min(s.limit, s.slots)
		}
		return
	}
	if s == nil && len(b.servers) >= maxServers {
		maps.DeleteFunc(b.servers, func(_ string, other *server) bool { return len(other.held) == 0 })
	}
	if s != nil {
		b.forgetPermits(s)
	}
	b.servers[named.ID] = newServer(named, &b.settle, b.Share, b.Phase, now)
}

func (b *Book) forgetPermits(s *server) {
	for key := range s.held {
		delete(b.owners, key)
	}
}

// Return ends a permit, with how its call ended. A request that still waits is withdrawn.
func (b *Book) Return(key Key, outcome Outcome, now time.Time) {
	b.Withdraw(key)
	id, found := b.owners[key]
	if !found {
		return
	}
	delete(b.owners, key)
	if s := b.servers[id]; s != nil {
		s.finish(key, outcome, b.Share, now)
	}
}

// SetUnpermitted records how many calls without a permit an owner has at servers.
func (b *Book) SetUnpermitted(owner string, counts map[string]int) {
	for id, s := range b.servers {
		if counts[id] > 0 {
			s.unpermitted[owner] = counts[id]
		} else {
			delete(s.unpermitted, owner)
		}
	}
}

// KeepOwners forgets the permits and requests of owners for which isLive is false, the
// permits that have expired, and the servers that are not brittle any longer.
func (b *Book) KeepOwners(isLive func(owner string) bool, isBrittle func(server string) bool, now time.Time) {
	b.waiting = slices.DeleteFunc(b.waiting, func(request *Request) bool { return !isLive(request.Key.Owner) })
	for id, s := range b.servers {
		maps.DeleteFunc(s.unpermitted, func(owner string, _ int) bool { return !isLive(owner) })
		for key, held := range s.held {
			if !isLive(key.Owner) || now.After(held.expiresAt) {
				delete(s.held, key)
				delete(b.owners, key)
			}
		}
		if !isBrittle(id) {
			b.forgetPermits(s)
			delete(b.servers, id)
		}
	}
}

// Room is how many calls a server may have under way.
type Room struct {
	Server string
	Calls  int
}

// Rooms lists the room of the servers, by ID.
func (b *Book) Rooms() (rooms []Room) {
	for id, s := range b.servers {
		rooms = append(rooms, Room{
			Server: id,
			Calls:  s.limit,
		})
	}
	slices.SortFunc(rooms, func(x, y Room) int { return cmp.Compare(x.Server, y.Server) })
	return rooms
}
