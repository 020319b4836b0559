package relayer

import (
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	pb "github.com/dotterelhollow/dotterelhollow/internal/relayer/relayerpb"
	"github.com/dotterelhollow/dotterelhollow/internal/sharer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxOfferedLoad is the largest offered load, in servers, that an update may
// report.
const maxOfferedLoad = 1e5

// UpdateSize returns the size of an encoded update, without its envelope.
func UpdateSize(s messenger.StateUpdate) identifier.Bytes {
	return identifier.Bytes(proto.Size(encodeStateUpdate(s)))
}

func encodeStateUpdate(s messenger.StateUpdate) *pb.ShareRequest {
	out := &pb.ShareRequest{
		Incarnation:        uint64(s.Incarnation),
		ServersAgeMs:       int64(s.ServersAge),
		ConfigurationAgeMs: int64(s.ConfigurationAge),
		Revision:           uint64(s.Revision),
		Fence:              uint64(s.Fence),
		Holder:             string(s.Leader),
		HolderAgeMs:        int64(s.LeaderAge),
		Scope:              string(s.Scope),
		Zone:               string(s.Zone),
		Whole:              s.AllServers,
		Wants:              s.RequestsAllServers,
		Round:              s.Round,
		Grantor:            string(s.Grantor),
		ServersSpanMs:      int64(s.ServersSpan),
		ServersRead:        encodeObservation(s.ServersRead),
		ConfigurationRead:  encodeObservation(s.ConfigurationRead),
		HolderAnnounced:    encodeObservation(s.LeaderAnnounced),
		StoreReturned:      encodeObservation(s.StoreReturned),
		StoreReturnAgeMs:   int64(s.StoreReturnAge),
	}
	for _, e := range s.Servers {
		out.Servers = append(out.Servers, encodePublishedServer(e))
	}
	servers := reportedServers(s)
	for _, vm := range servers {
		out.InFlight = append(out.InFlight, &pb.ServerLoad{
			Server:    string(vm),
			Running:   int64(s.InFlight[vm].Running),
			PrefillMs: int64(s.InFlight[vm].Prefill),
		})
	}
	out.Factors = encodeFactors(servers, s.Factors)
	out.Kept = encodeCachedPrefixes(s.CachedPrefixes)
	for _, suspect := range s.Suspects {
		out.Suspects = append(out.Suspects, encodeSuspect(suspect))
	}
	out.Streams = encodeStreams(s.Streams)
	out.Limits = encodeLimits(s.Limits)
	for _, r := range s.Rollouts {
		out.Rollouts = append(out.Rollouts, encodeRollout(r))
	}
	for _, c := range s.Versions {
		out.Versions = append(out.Versions, encodeVersionCount(c))
	}
	for _, u := range s.Usage {
		out.Usage = append(out.Usage, &pb.UsageCount{
			Window:  int64(u.Window),
			Account: string(u.Account),
			Count:   int64(u.Count),
		})
	}
	for _, service := range slices.Sorted(maps.Keys(s.Demand)) {
		d := s.Demand[service]
		accounts, loads := encodeAccountLoads(d.Accounts)
		out.Demand = append(out.Demand, &pb.ServiceDemand{
			Service:      string(service),
			Running:      int64(d.Running),
			Busy:         d.OfferedLoad,
			Accounts:     accounts,
			AccountLoads: loads,
			Served:       float32(d.ServedLoad),
		})
	}
	return out
}

// encodeObservation returns nil for none.
func encodeObservation(o messenger.Observation) *pb.Observation {
	if o.Node == "" {
		return nil
	}
	return &pb.Observation{
		Node:        string(o.Node),
		Incarnation: uint64(o.Incarnation),
		Number:      o.Number,
	}
}

func decodeObservation(o *pb.Observation) messenger.Observation {
	return messenger.Observation{
		Node:        identifier.VMID(o.GetNode()),
		Incarnation: identifier.Incarnation(o.GetIncarnation()),
		Number:      o.GetNumber(),
	}
}

func encodePublishedServer(e messenger.PublishedServer) *pb.PublishedServer {
	return &pb.PublishedServer{
		Server:     string(e.Server),
		Offset:     uint64(e.Offset),
		Service:    string(e.Service),
		Address:    e.Address,
		Zone:       string(e.Zone),
		Slots:      int64(e.Slots),
		State:      string(e.State),
		LeavesInMs: int64(e.LeavesIn),
		Market:     string(e.Market),
		Version:    string(e.Version),
		ColdForMs:  int64(e.ColdFor),
	}
}

func decodeStateUpdate(q *pb.ShareRequest) messenger.StateUpdate {
	s := messenger.StateUpdate{
		Incarnation:        identifier.Incarnation(q.GetIncarnation()),
		ServersAge:         timekeeper.Duration(max(q.GetServersAgeMs(), 0)),
		Round:              q.GetRound(),
		Grantor:            identifier.VMID(q.GetGrantor()),
		ServersSpan:        timekeeper.Duration(max(q.GetServersSpanMs(), 0)),
		ServersRead:        decodeObservation(q.GetServersRead()),
		ConfigurationAge:   timekeeper.Duration(max(q.GetConfigurationAgeMs(), 0)),
		ConfigurationRead:  decodeObservation(q.GetConfigurationRead()),
		Revision:           identifier.Revision(q.GetRevision()),
		Fence:              identifier.Fence(q.GetFence()),
		Leader:             identifier.VMID(q.GetHolder()),
		LeaderAge:          timekeeper.Duration(max(q.GetHolderAgeMs(), 0)),
		LeaderAnnounced:    decodeObservation(q.GetHolderAnnounced()),
		StoreReturned:      decodeObservation(q.GetStoreReturned()),
		StoreReturnAge:     timekeeper.Duration(max(q.GetStoreReturnAgeMs(), 0)),
		Scope:              messenger.UpdateScope(q.GetScope()),
		Zone:               identifier.Zone(q.GetZone()),
		AllServers:         q.GetWhole(),
		RequestsAllServers: q.GetWants(),
		InFlight:           make(map[identifier.VMID]messenger.InFlight, len(q.GetInFlight())),
		Demand:             make(map[identifier.ServiceName]messenger.ServiceDemand, len(q.GetDemand())),
	}
	for _, e := range q.GetServers() {
		s.Servers = append(s.Servers, decodePublishedServer(e))
	}
	s.Factors = decodeFactors(q.GetInFlight(), q.GetFactors())
	for _, l := range q.GetInFlight() {
		id := identifier.VMID(l.GetServer())
		load := messenger.InFlight{
			Running: int(max(l.GetRunning(), 0)),
			Prefill: timekeeper.Duration(max(l.GetPrefillMs(), 0)),
		}
		if _, listed := s.Factors[id]; listed && load == (messenger.InFlight{}) {
			continue // The server is listed for its evidence only.
		}
		s.InFlight[id] = load
	}
	s.CachedPrefixes = decodeCachedPrefixes(q.GetKept())
	for _, suspect := range q.GetSuspects() {
		s.Suspects = append(s.Suspects, decodeSuspect(suspect))
	}
	s.Streams = decodeStreams(q.GetStreams())
	s.Limits = decodeLimits(q.GetLimits())
	for _, r := range q.GetRollouts() {
		s.Rollouts = append(s.Rollouts, decodeRollout(r))
	}
	for _, c := range q.GetVersions() {
		s.Versions = append(s.Versions, decodeVersionCount(c))
	}
	for _, u := range q.GetUsage() {
		s.Usage = append(s.Usage, messenger.UsageCount{
			Window:  identifier.UsageWindow(u.GetWindow()),
			Account: identifier.AccountID(u.GetAccount()),
			Count:   int(max(u.GetCount(), 0)),
		})
	}
	for _, d := range q.GetDemand() {
		s.Demand[identifier.ServiceName(d.GetService())] = messenger.ServiceDemand{
			Running:     int(max(d.GetRunning(), 0)),
			OfferedLoad: validLoad(d.GetBusy()),
			Accounts:    decodeAccountLoads(d.GetAccounts(), d.GetAccountLoads()),
			ServedLoad:  validLoad(float64(d.GetServed())),
		}
	}
	return s
}

// accountLoadUnit is the unit of accounts' loads in messages, in servers.
const accountLoadUnit = 1e-4

// encodeAccountLoads returns the accounts and their loads in units of accountLoadUnit.
func encodeAccountLoads(loads map[identifier.AccountHash]float64) (accounts, units []uint32) {
	loads = sharer.Largest(loads)
	for _, account := range slices.Sorted(maps.Keys(loads)) {
		if load := uint32(math.Round(loads[account] / accountLoadUnit)); load > 0 {
			accounts = append(accounts, uint32(account))
			units = append(units, load)
		}
	}
	return accounts, units
}

func decodeAccountLoads(accounts, units []uint32) map[identifier.AccountHash]float64 {
	count := min(len(accounts), len(units), sharer.MaxAccounts)
	if count == 0 {
		return nil
	}
	loads := make(map[identifier.AccountHash]float64, count)
	for i := range count {
		loads[identifier.AccountHash(accounts[i])] = validLoad(float64(units[i]) * accountLoadUnit)
	}
	return loads
}

func decodePublishedServer(e *pb.PublishedServer) messenger.PublishedServer {
	return messenger.PublishedServer{
		Server:   identifier.VMID(e.GetServer()),
		Offset:   identifier.Offset(e.GetOffset()),
		Service:  identifier.ServiceName(e.GetService()),
		Address:  e.GetAddress(),
		Zone:     identifier.Zone(e.GetZone()),
		Slots:    int(e.GetSlots()),
		State:    messenger.ServerState(e.GetState()),
		LeavesIn: timekeeper.Duration(e.GetLeavesInMs()),
		Market:   catalog.Market(e.GetMarket()),
		Version:  identifier.Version(e.GetVersion()),
		ColdFor:  timekeeper.Duration(max(e.GetColdForMs(), 0)),
	}
}

// encodeCachedPrefixes groups prefixes by server.
func encodeCachedPrefixes(prefixes []messenger.CachedPrefix) []*pb.KeptParts {
	var out []*pb.KeptParts
	groups := map[identifier.VMID]*pb.KeptParts{}
	for _, p := range prefixes {
		group := groups[p.Server]
		if group == nil {
			group = &pb.KeptParts{Server: string(p.Server)}
			groups[p.Server] = group
			out = append(out, group)
		}
		group.Hashes = append(group.Hashes, uint64(p.Part.Hash))
		group.Tokens = append(group.Tokens, int64(p.Part.Tokens))
	}
	return out
}

// decodeCachedPrefixes omits invalid data: lists of different lengths, and
// prefixes without tokens.
func decodeCachedPrefixes(groups []*pb.KeptParts) []messenger.CachedPrefix {
	var out []messenger.CachedPrefix
	for _, group := range groups {
		if len(group.GetHashes()) != len(group.GetTokens()) {
			continue
		}
		for i, hash := range group.GetHashes() {
			if tokens := group.GetTokens()[i]; tokens > 0 {
				out = append(out, messenger.CachedPrefix{
					Server: identifier.VMID(group.GetServer()),
					Part: messenger.PromptPart{
						Hash:   identifier.PrefixHash(hash),
						Tokens: identifier.Tokens(tokens),
					},
				})
			}
		}
	}
	return out
}

// validLoad returns an offered load, or zero if it is invalid.
func validLoad(servers float64) float64 {
	if math.IsNaN(servers) || servers < 0 || servers > maxOfferedLoad {
		return 0
	}
	return servers
}

func encodeSuspect(s messenger.SuspectRequest) *pb.SuspectRequest {
	out := &pb.SuspectRequest{
		Request:      uint64(s.Request),
		Part:         s.Part,
		SeenAgeMs:    int64(s.SeenAge),
		Cleared:      s.Cleared,
		ClearedAgeMs: int64(s.ClearedAge),
	}
	for _, e := range s.Ends {
		out.Servers = append(out.Servers, string(e.Server))
		out.EndedAgesMs = append(out.EndedAgesMs, int64(e.Age))
	}
	return out
}

// decodeSuspect omits the ends if the lists have different lengths.
func decodeSuspect(s *pb.SuspectRequest) messenger.SuspectRequest {
	out := messenger.SuspectRequest{
		Request:    identifier.Fingerprint(s.GetRequest()),
		Part:       s.GetPart(),
		SeenAge:    timekeeper.Duration(max(s.GetSeenAgeMs(), 0)),
		Cleared:    s.GetCleared(),
		ClearedAge: timekeeper.Duration(max(s.GetClearedAgeMs(), 0)),
	}
	if len(s.GetServers()) != len(s.GetEndedAgesMs()) {
		return out
	}
	for i, server := range s.GetServers() {
		out.Ends = append(out.Ends, messenger.ServerEnd{
			Server: identifier.VMID(server),
			Age:    timekeeper.Duration(max(s.GetEndedAgesMs()[i], 0)),
		})
	}
	return out
}
