#include "world.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <stdexcept>

namespace heronvane::lab {

namespace net = boost::asio;
using boost::system::error_code;
using std::chrono::microseconds;

namespace {

constexpr Microseconds kTick = 5'000;  // of the loop that measures its own lag
constexpr Microseconds kSample = 100'000;
constexpr Microseconds kReadyAtMost = 60'000'000;
constexpr std::size_t kSpareDescriptors = 3000;  // for connections, beside the links' own

void need_descriptors(std::size_t wanted) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < wanted)
    throw std::runtime_error("the lab may hold " + std::to_string(limit.rlim_cur) +
                             " file descriptors, and this " + "experiment wants some " +
                             std::to_string(wanted) +
                             ": raise the hard limit (ulimit -Hn) or take fewer relays or endpoints");
}

}  // namespace

World::World(net::io_context& io, Launcher& launcher, const Experiment& experiment, const Plan& plan,
             RunOptions options)
    : io_(io),
      launcher_(launcher),
      experiment_(experiment),
      plan_(plan),
      options_(std::move(options)),
      links_(plan_.relays.size()),
      up_(plan_.relays.size(), false),
      endpoint_down_(plan_.endpoints.size(), false),
      endpoint_outages_(plan_.endpoints.size(), 0),
      fleets_(plan_.relays.size(), experiment_.fleet),
      back_(plan_.relays.size(), -1),
      on_down_(plan_.relays.size()),
      away_by_cut_(plan_.relays.size(), 0),
      disturbed_(plan_.relays.size(), 0),
      next_new_endpoint_(plan_.endpoints_at_start),
      ticker_(io) {
  const std::size_t others = experiment_.fleet.copies >= 0 ? plan_.relays.size() : 0;
  need_descriptors(plan_.relays.size() * (plan_.endpoints.size() + 4 + others) + plan_.endpoints.size() +
                   kSpareDescriptors);
  std::filesystem::create_directories(options_.folder);
  for (std::size_t i = 0; i < experiment_.traffic.classes.size(); i++)
    class_index_[experiment_.traffic.classes[i].name] = static_cast<int>(i);
  take_addresses();
  for (Index r = 0; r < plan_.relays.size(); r++) relay_by_address_[addresses_->source(r)] = r;
  fabric_ = std::make_unique<Fabric>(io_, seed_of(plan_.seed, "fabric"));
  build_endpoints();
  PlatformHooks hooks;
  hooks.now = [this] { return now(); };
  hooks.relay = [this](const net::ip::address& from) { return relay_at(from); };
  hooks.address = [this](Index relay, Index endpoint) {
    const auto a = addresses_->endpoint_seen_by(relay, endpoint);
    return a.address().to_string() + ":" + std::to_string(a.port());
  };
  hooks.notice = [this](Index relay, const std::string& id, bool deferred) {
    note(deferred ? Kind::notice_deferred : Kind::notice_undeliverable, relay).id = id;
    owed_.erase(id);
  };
  hooks.listed = [this](Index relay, const Catalog::Change& change) {
    note(Kind::listed, relay, change.endpoint);
  };
  hooks.list_call = [this](Index relay, bool refused) {
    note(Kind::list_call, relay).value = refused ? 1 : 0;
  };
  platform_ = std::make_unique<Platform>(io_, addresses_->platform(),
                                         Catalog(experiment_.platform, plan_, experiment_.fleet.zones),
                                         std::move(hooks));
  build_links();
  build_machines();
  build_clients();
}

World::~World() {
  running_ = false;
  ticker_.cancel();
  for (const auto& t : timers_) t->cancel();
  clients_.clear();
  machines_.clear();
  platform_.reset();
  endpoints_.clear();
  fabric_.reset();
}

// ---- Set-up. ----
void World::take_addresses() {
  for (unsigned n = Addresses::kFirstNet; n <= Addresses::kLastNet; n += Addresses::kStep) {
    addresses_ = std::make_unique<Addresses>(n);
    lock_ = std::make_unique<net::ip::tcp::acceptor>(io_);
    error_code bad;
    lock_->open(net::ip::tcp::v4(), bad);
    lock_->bind(addresses_->lock(), bad);
    if (!bad) lock_->listen(1, bad);
    if (!bad) return;
  }
  throw std::runtime_error("all 32 ranges of loopback addresses are taken by other runs of the lab");
}

void World::build_endpoints() {
  for (Index d = 0; d < plan_.destinations.size(); d++)
    destinations_.emplace_back(experiment_.destinations, plan_.destinations[d],
                               seed_of(plan_.seed, "destination " + std::to_string(d)));
  for (Index e = 0; e < plan_.endpoints.size(); e++) {
    standins::EndpointOptions o;
    o.name = plan_.endpoints[e].name;
    o.listen = addresses_->endpoint(e);
    o.now = [this] { return now(); };
    o.bundle_max = static_cast<std::size_t>(experiment_.destinations.bundle_max);
    o.max_connections = static_cast<std::size_t>(experiment_.destinations.connections);
    o.decide = [this, e](const standins::Call& call) { return decide(e, call); };
    o.on_stage = [this, e](const standins::Call& call, standins::Stage stage, Microseconds until) {
      followed(e, call, stage, until);
    };
    o.connected = [this, e](const net::ip::tcp::endpoint& from, bool crowded) {
      note(crowded ? Kind::crowded : Kind::connection, relay_at(from.address()), e);
    };
    endpoints_.push_back(std::make_unique<standins::Endpoint>(io_, std::move(o)));
  }
}

void World::build_links() {
  const auto add = [this](const Tcp::endpoint& listen, const Tcp::endpoint& target,
                          const net::ip::address_v4& source, Door door) {
    const auto link = fabric_->link(listen, target, source);
    if (door != Door::open) fabric_->door(link, door);
    doors_.push_back(door);
    link_faults_.emplace_back();
    return link;
  };
  for (Index r = 0; r < plan_.relays.size(); r++) {
    for (Index e = 0; e < plan_.endpoints.size(); e++)
      links_[r].endpoints.push_back(add(addresses_->endpoint_seen_by(r, e), addresses_->endpoint(e),
                                        addresses_->source(r),
                                        e < plan_.endpoints_at_start ? Door::open : Door::closed));
    links_[r].platform =
        add(addresses_->platform_seen_by(r), addresses_->platform(), addresses_->source(r), Door::open);
    links_[r].clients =
        add(addresses_->relay_seen_by_clients(r), addresses_->relay(r), addresses_->clients(), Door::closed);
    for (Index other = 0; experiment_.fleet.copies >= 0 && other < plan_.relays.size(); other++)
      links_[r].copies.push_back(add(addresses_->copies_seen_by(r, other), addresses_->copies(other),
                                     addresses_->source(r), Door::open));
  }
  for (Index e = plan_.endpoints_at_start; e < plan_.endpoints.size(); e++) {
    endpoint_down_[e] = true;
    endpoints_[e]->go_down();
  }
  if (!experiment_.fleet.notes) return;
  for (Index r = 0; r < plan_.relays.size(); r++)
    fabric_->peer(addresses_->relay_seen_by_peers(r), addresses_->datagrams(r));
  fabric_->peers_all(addresses_->all_peers());
  fabric_->datagram_faults([this](std::size_t from, std::size_t to) {
    LinkFaults f;
    for (const auto& [number, s] : active_) {
      const auto in = [](const Set& set, Index r) {
        return std::binary_search(set.relays.begin(), set.relays.end(), r);
      };
      const bool there = in(s.strikes, from) && in(s.others, to),
                 back = in(s.others, from) && in(s.strikes, to);
      if (!there && !back) continue;
      if (s.kind == FaultKind::cut || (s.kind == FaultKind::cut_one && there)) f.hold_there = true;
      if (s.kind == FaultKind::delay) f.delay = f.spread = static_cast<Microseconds>(s.amount);
      if (s.kind == FaultKind::loss) f.loss = s.amount;
      if (s.kind == FaultKind::repeat) f.repeat = s.amount;
    }
    return f;
  });
}

void World::build_machines() {
  for (Index r = 0; r < plan_.relays.size(); r++) {
    MachineOptions o;
    o.name = plan_.relays[r].name;
    o.folder = options_.folder + "/" + o.name;
    o.program = options_.program;
    o.settings = operator_settings(r);
    o.environment = options_.environment;
    o.health = addresses_->relay(r);
    o.start_at_most = experiment_.fleet.start_at_most;
    o.config = [this, r](unsigned life) { return config(r, life); };
    machines_.push_back(std::make_unique<Machine>(
        io_, launcher_, std::move(o),
        Machine::Hooks{[this, r] { went_up(r); }, [this, r](Machine::End end) { went_down(r, end); },
                       [this, r] {
                         note(Kind::no_start, r);
                         tell(plan_.relays[r].name + " does not become ready");
                       }}));
  }
}

void World::build_clients() {
  const std::size_t count = plan_.relays.size();
  for (Index r = 0; r < count; r++) {
    standins::ClientsOptions o;
    // A relay of their own; two more stand by while it does not serve.
    for (Index i = 0; i < std::min<std::size_t>(3, count); i++) {
      const Index other = (r + i * (count / 3 + 1)) % count;
      if (i > 0 && other == r) continue;
      o.relays.push_back({plan_.relays[other].name, addresses_->relay_seen_by_clients(other)});
    }
    o.prefer_first = true;
    o.plan.per_s = plan_.relays[r].per_s;
    o.plan.body = experiment_.traffic.body;
    for (const auto& c : experiment_.traffic.classes) {
      o.plan.classes.push_back({c.name, c.share, c.deadline});
      if (c.effect == Effect::safe) o.retry_after_silence.push_back(c.name);
    }
    for (const auto& d : plan_.destinations) o.plan.destinations.push_back({d.number, d.per_s});
    o.seed = seed_of(plan_.seed, "clients " + std::to_string(r));
    o.now = [this] { return now(); };
    o.on_try = [this](const standins::Message& m) {
      // A request that goes once more over a new connection keeps its id.
      if (message_of_.count(m.id) > 0) return;
      auto& e = note(Kind::sent);
      e.id = m.id;
      e.destination = static_cast<Index>(m.destination - 1);
      e.message_class = class_index_.at(m.message_class);
      e.until = m.until;
      e.value = m.tries;
      message_of_[m.id] = {e.destination, e.message_class};
    };
    std::vector<Index> relays;
    for (const auto& relay : o.relays)
      for (Index i = 0; i < count; i++)
        if (plan_.relays[i].name == relay.name) relays.push_back(i);
    o.on_try_result = [this, relays](const standins::Message& m, std::size_t relay, standins::TryResult h) {
      heard(relays[relay], m, h);
    };
    clients_.push_back(std::make_unique<standins::Clients>(io_, std::move(o)));
  }
}

// As written in the experiment, and whom copies of logs may go to.
std::string World::operator_settings(Index relay) const {
  const auto& fleet = experiment_.fleet;
  if (fleet.copies < 0) return fleet.settings;
  const auto text = [](const auto& e) {
    return "\"" + e.address().to_string() + ":" + std::to_string(e.port()) + "\"\n";
  };
  const auto seconds = [](Microseconds t) { return std::to_string(static_cast<double>(t) / 1e6) + "\n"; };
  std::string all = fleet.settings +
                    "\n[copies]\ncluster = \"lab\"\nholders = " + std::to_string(fleet.copies) +
                    "\nacks = \"" + fleet.acks + "\"\nlisten = " + text(addresses_->copies(relay)) +
                    "takeover_after_s = " + seconds(fleet.takeover_after) +
                    "replace_after_s = " + seconds(fleet.replace_after);
  for (Index i = 0; i < plan_.relays.size(); i++) {
    const auto& r = plan_.relays[i];
    all += "[[copies.member]]\nname = \"" + r.name +
           "\"\naddress = " + text(addresses_->copies_seen_by(relay, i)) + "machine = \"" + r.name +
           "\"\nzone = \"" + fleet.zones[static_cast<std::size_t>(r.zone)] + "\"\n";
  }
  return all;
}

std::string World::settings(Index relay) const {
  const auto& x = experiment_;
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> json(out);
  const auto number = [&](const char* name, auto value) {
    json.Key(name);
    if constexpr (std::is_floating_point_v<decltype(value)>)
      json.Double(value);
    else
      json.Int64(static_cast<std::int64_t>(value));
  };
  const auto flag = [&](const char* name, bool value) { json.Key(name), json.Bool(value); };
  json.StartObject();
  json.Key("Classes"), json.StartArray();
  for (const auto& c : x.traffic.classes) {
    json.StartObject();
    json.Key("Name"), json.String(c.name.c_str());
    number("Points", c.worth), number("LateWorth", c.late_worth), number("Target", c.aim);
    number("Deadline", c.deadline), number("Window", 5'000'000);
    json.Key("Idempotency");
    json.String(c.effect == Effect::safe    ? "read_like"
                : c.effect == Effect::keyed ? "idempotency_key"
                                            : "non_idempotent");
    json.EndObject();
  }
  json.EndArray();
  // Of each type, in the order of HostTypes.
  json.Key("FamilyInfo"), json.StartObject();
  number("Workers", fleets_[relay].workers);
  json.Key("BundleMax"), json.StartArray();
  json.Int(x.destinations.bundle_max), json.Int(x.destinations.bundle_max), json.EndArray();
  json.Key("RoutesApart"), json.StartArray(), json.Bool(false), json.Bool(true), json.EndArray();
  json.Key("Decay"), json.String("halves");
  json.EndObject();
  json.Key("HostTypes"), json.StartArray(), json.String(kPlainType), json.String(kApartType), json.EndArray();
  json.Key("FailureDomains"), json.StartArray();
  for (const auto& z : x.fleet.zones) json.String(z.c_str());
  json.EndArray();
  json.Key("Locality"),
      json.String(x.fleet.zones[static_cast<std::size_t>(plan_.relays[relay].zone)].c_str());
  json.Key("Discovery"), json.String("subscribe");
  number("GroupSize", x.fleet.relays), number("Rank", static_cast<std::int64_t>(relay)),
      number("Tick", x.fleet.tick);
  json.Key("Limits"), json.StartObject();
  number("OpenCap", fleets_[relay].open_cap), number("MaxAttempts", 8), flag("Cancelling", true);
  flag("Peers", x.fleet.notes), number("ConnIdle", 5'000'000), number("ConnectTimeout", 1'500'000);
  number("MaxRetryAfter", 2'000'000);
  json.EndObject();
  json.Key("Rules"), json.StartObject();
  number("AnswerSlack", 20'000), number("DrainGrace", 1'000'000), number("MustAskIn", 10'000'000);
  number("FallMultiple", x.destinations.fall_multiple), number("OverloadFor", x.destinations.overload_for);
  number("ColdFrom", x.destinations.cold_from), number("Cold", x.destinations.cold);
  json.EndObject();
  json.EndObject();
  return out.GetString();
}

std::string World::config(Index r, unsigned life) const {
  const auto text = [](const auto& e) { return e.address().to_string() + ":" + std::to_string(e.port()); };
  char seed[17];
  std::snprintf(seed, sizeof seed, "%016llx",
                static_cast<unsigned long long>(
                    seed_of(plan_.seed, plan_.relays[r].name + " life " + std::to_string(life))));
  const auto address = [this, r, text](Index e) { return text(addresses_->endpoint_seen_by(r, e)); };
  char disk[32];
  std::snprintf(disk, sizeof disk, "%g", fleets_[r].disk_mb);
  std::string json = "{\"name\":\"" + plan_.relays[r].name + "\",\"listen\":\"" + text(addresses_->relay(r)) +
                     "\",\"discovery\":\"" + text(addresses_->platform_seen_by(r)) + "\",\"seed\":\"" + seed +
                     "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(fleets_[r].memory_mb) +
                     ",\"sockets\":" + std::to_string(fleets_[r].sockets) + ",\"disk_mb\":" + disk + "}";
  if (experiment_.fleet.notes) {
    json += ",\"peer_listen\":\"" + text(addresses_->datagrams(r)) + "\",\"peers_all\":\"" +
            text(addresses_->all_peers()) + "\",\"peers\":[";
    for (Index i = 0; i < plan_.relays.size(); i++)
      json += (i == 0 ? "\"" : ",\"") + text(addresses_->relay_seen_by_peers(i)) + "\"";
    json += "]";
  }
  // As the relay last had it at the best: the list of the beginning.
  return json +
         ",\"known\":" + Catalog(experiment_.platform, plan_, experiment_.fleet.zones).whole(0, address) +
         ",\"settings\":" + settings(r) + "}\n";
}

void World::configure(Index relay, const std::string& field, double value) {
  auto& f = fleets_[relay];
  const int whole = static_cast<int>(value);
  if (field == "disk_mb") f.disk_mb = value;
  if (field == "memory_mb") f.memory_mb = whole;
  if (field == "open_cap") f.open_cap = whole;
  if (field == "sockets") f.sockets = whole;
  if (field == "workers") f.workers = whole;
}

// ---- What happens. ----
Microseconds World::now() const { return standins::steady_time() - zero_; }

Event& World::note(Kind kind, Index relay, Index endpoint) {
  auto& e = history_.emplace_back();
  e.at = now(), e.kind = kind, e.relay = relay, e.endpoint = endpoint;
  if (endpoint != kNobody) e.destination = plan_.endpoints[endpoint].destination;
  return e;
}

void World::tell(const std::string& line) const {
  if (options_.told) options_.told(line);
}

Index World::relay_at(const net::ip::address& address) const {
  const auto it = relay_by_address_.find(address);
  return it == relay_by_address_.end() ? kNobody : it->second;
}

Index World::lane_of(Index endpoint) const {
  const auto& all = plan_.destinations[plan_.endpoints[endpoint].destination].endpoints;
  return static_cast<Index>(std::find(all.begin(), all.end(), endpoint) - all.begin());
}

standins::Fate World::decide(Index endpoint, const standins::Call& call) {
  const auto& planned = plan_.endpoints[endpoint];
  auto& d = destinations_[planned.destination];
  const auto fate = d.call(now(), lane_of(endpoint), relay_at(call.from.address()), call.ids.size());
  for (const auto& fall : d.take_falls()) {
    auto& e = note(Kind::fell);
    e.destination = planned.destination;
    e.value = fall.load.weight();
    e.part = fall.load.weight_of_those_who_saw();
    tell(plan_.destinations[planned.destination].name + " fell over");
    tell(text(fall.load));
  }
  return fate;
}

void World::followed(Index endpoint, const standins::Call& call, standins::Stage stage, Microseconds until) {
  auto& number = call_numbers_[{endpoint, call.number}];
  if (number == 0) number = ++last_call_;
  const Index relay = relay_at(call.from.address());
  for (const auto& id : call.ids) {
    const Kind kind = [&] {
      switch (stage) {
        case standins::Stage::came:
          return Kind::call;
        case standins::Stage::turned_away:
          return Kind::turned_away;
        case standins::Stage::told_wait:
          return Kind::told_wait;
        case standins::Stage::ran:
          return Kind::ran;
        case standins::Stage::answered:
          return Kind::answered;
        case standins::Stage::over:
          break;
      }
      return Kind::call_over;
    }();
    auto& e = note(kind, relay, endpoint);
    e.id = id, e.call = number;
    e.until = stage == standins::Stage::came ? call.first_byte : until;
    if (kind == Kind::answered) owed_.erase(id);
  }
}

void World::heard(Index relay, const standins::Message& m, standins::TryResult heard) {
  const Kind kind = [&] {
    switch (heard) {
      case standins::TryResult::taken:
        return Kind::taken;
      case standins::TryResult::refused:
        return Kind::refused;
      case standins::TryResult::failed:
        return Kind::failed;
      case standins::TryResult::silence:
        return Kind::silence;
      case standins::TryResult::no_relay:
        break;
    }
    return Kind::unreached;
  }();
  auto& e = note(kind, relay);
  e.id = m.id;
  if (kind != Kind::taken) return;
  owed_[m.id] = {relay, now()};
}

void World::went_up(Index r) {
  note(Kind::up, r);
  up_[r] = true;
  doors_[links_[r].clients] = Door::open;
  refresh_clients(r);
}

void World::went_down(Index r, Machine::End end) {
  up_[r] = false;
  if (!running_) return;
  doors_[links_[r].clients] = Door::closed;
  refresh_clients(r);
  const bool crashed = end == Machine::End::by_itself;
  note(crashed ? Kind::crashed : Kind::down, r);
  if (crashed)
    tell(plan_.relays[r].name + " ended by itself; its log: " + options_.folder + "/" + plan_.relays[r].name +
         "/log");
  if (const auto then = std::exchange(on_down_[r], nullptr)) then();
  start_later(r, crashed ? 600'000 : back_[r]);
}

// ---- The loop. ----
bool World::wait_until(const std::function<bool()>& done, Microseconds at_most) {
  const Microseconds until = standins::steady_time() + at_most;
  while (!done()) {
    if (standins::steady_time() > until) return false;
    io_.restart();
    io_.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

void World::tick() {
  const Microseconds at = now();
  const Microseconds late = at - tick_due_;
  lags_ms_.push_back(static_cast<double>(late) / 1e3);
  if (late >= 10'000) note(Kind::lag).value = static_cast<double>(late);
  if (at - sampled_ >= kSample) {
    sampled_ = at;
    Sample s;
    s.at = at;
    for (const auto& d : destinations_) s.capacity.push_back(d.capacity(at));
    s.connections_open = fabric_->counts().open;
    s.relays_up = static_cast<int>(std::count(up_.begin(), up_.end(), true));
    samples_.push_back(std::move(s));
    if (options_.progress) {
      standins::Clients::Counts sum;
      for (const auto& c : clients_) sum.handed += c->counts().handed, sum.taken += c->counts().taken;
      options_.progress(at, std::to_string(samples_.back().relays_up) + " of " +
                                std::to_string(machines_.size()) + " relays up, handed in " +
                                std::to_string(sum.handed) + ", taken " + std::to_string(sum.taken) +
                                ", held " + std::to_string(owed_.size()));
    }
  }
  tick_due_ = at + kTick;
  ticker_.expires_after(microseconds(kTick));
  ticker_.async_wait([this](error_code bad) {
    if (!bad && running_) tick();
  });
}

RunResult World::run() {
  running_ = true;
  zero_ = standins::steady_time();
  tell("starting " + std::to_string(machines_.size()) + " relays, " +
       std::to_string(plan_.endpoints_at_start) + " endpoints of " + std::to_string(destinations_.size()) +
       " destinations, " + std::to_string(fabric_->counts().links) + " links");
  for (const auto& m : machines_) m->start();
  const auto all_up = [this] {
    return std::count(up_.begin(), up_.end(), true) == static_cast<long>(up_.size());
  };
  if (!wait_until(all_up, kReadyAtMost))
    throw std::runtime_error(std::to_string(std::count(up_.begin(), up_.end(), false)) +
                             " relays did not become ready; their logs: " + options_.folder + "/n*/log");
  // What they did until here is no part of the run.
  history_.clear(), lags_ms_.clear(), samples_.clear();
  zero_ = standins::steady_time();
  tick_due_ = 0;
  tick();
  for (const auto& c : clients_) c->start();
  for (std::size_t i = 0; i < plan_.strikes.size(); i++) {
    const auto& s = plan_.strikes[i];
    if (s.kind == FaultKind::rollback)
      after(std::max<Microseconds>(0, s.at - static_cast<Microseconds>(s.amount)), [this, i] {
        for (const Index r : plan_.strikes[i].strikes.relays)
          machines_[r]->copy_disk("disk-" + std::to_string(i));
      });
    after(s.at, [this, i] { strike(i); });
  }
  wait_until([this] { return now() >= experiment_.length; }, experiment_.length + 1'000'000);
  for (const auto& c : clients_) c->stop();
  const auto out = [this] {
    return std::all_of(clients_.begin(), clients_.end(), [](const auto& c) { return c->counts().out == 0; });
  };
  wait_until([&] { return out() && (!owed() || now() >= experiment_.length + experiment_.settle); },
             experiment_.settle + 5'000'000);
  RunResult result;
  result.end = now();
  for (const auto& m : machines_) {
    result.relay_cpu_s += m->cpu_seconds();
    result.relay_memory = std::max(result.relay_memory, m->resident());
  }
  running_ = false;
  ticker_.cancel();
  result.fabric = fabric_->counts();
  for (const auto& destination : destinations_) result.peak_cold_load.include(destination.peak_cold_load());
  result.history = std::move(history_);
  result.samples = std::move(samples_);
  result.lags_ms = std::move(lags_ms_);
  return result;
}

bool World::owed() const { return !owed_.empty(); }

void World::lost(Index relay, Microseconds since) {
  // Another one is to end it.
  if (experiment_.fleet.copies > 0) return;
  std::erase_if(owed_,
                [&](const auto& one) { return one.second.relay == relay && one.second.taken >= since; });
}

}  // namespace heronvane::lab
