// How the faults of a plan strike a world.
#include <algorithm>
#include <chrono>

#include "world.hpp"

namespace heronvane::lab {

using boost::system::error_code;
using std::chrono::microseconds;

namespace {

constexpr Microseconds kRestartKill = 3'700'000;  // from SIGTERM to SIGKILL
constexpr Microseconds kDoorAfterTerm = 300'000;  // new connections go on coming for so long after SIGTERM
constexpr Microseconds kBackAfterRestart = 600'000;
constexpr Microseconds kDrainFor = 5'000'000, kReplacedAfter = 2'000'000;
constexpr Microseconds kDutyCycle = 50'000;

bool in(const std::vector<Index>& set, Index i) { return std::binary_search(set.begin(), set.end(), i); }

}  // namespace

void World::after(Microseconds span, std::function<void()> then) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, microseconds(std::max<Microseconds>(0, span)));
  timers_.push_back(timer);
  timer->async_wait([this, then = std::move(then)](error_code bad) {
    if (!bad && running_) then();
  });
}

void World::start_later(Index r, Microseconds back) {
  if (back < 0) return;
  after(back, [this, r] { machines_[r]->start(); });
}

void World::strike(std::size_t number) {
  const Strike s = plan_.strikes[number];
  tell(s.words);
  switch (s.kind) {
    case FaultKind::kill:
    case FaultKind::restart:
    case FaultKind::overlap:
    case FaultKind::configure:
    case FaultKind::stop:
    case FaultKind::slow:
    case FaultKind::wipe:
    case FaultKind::fill:
      for (const Index r : s.strikes.relays) strike_machine(s, r);
      return;
    case FaultKind::rollback:
      for (const Index r : s.strikes.relays) {
        if (!machines_[r]->running()) continue;
        back_[r] = s.back;
        on_down_[r] = [this, r, number, earlier = s.at - static_cast<Microseconds>(s.amount)] {
          if (!machines_[r]->put_back("disk-" + std::to_string(number))) return;
          note(Kind::rolled_back, r).until = earlier;
          lost(r, earlier);
        };
        machines_[r]->kill();
      }
      return;
    case FaultKind::outage:
    case FaultKind::limit:
      return strike_destinations(s);
    case FaultKind::drain:
      return drain(s, false);
    case FaultKind::replace:
      return drain(s, true);
    case FaultKind::burst: {
      const auto pace = [this] {
        double product = 1;
        for (const double b : bursts_) product *= b;
        for (const auto& c : clients_) c->pace(std::max(product, 1e-6));
      };
      bursts_.push_back(s.amount);
      pace();
      after(s.lasts, [this, pace, amount = s.amount] {
        bursts_.erase(std::find(bursts_.begin(), bursts_.end(), amount));
        pace();
      });
      return;
    }
    case FaultKind::down:
      platform_->down(true);
      after(s.lasts, [this] { platform_->down(false); });
      return;
    case FaultKind::cut:
    case FaultKind::cut_one:
    case FaultKind::delay:
    case FaultKind::loss:
    case FaultKind::repeat:
    case FaultKind::rate:
    case FaultKind::reset:
    case FaultKind::half:
    case FaultKind::tear:
      return link_strike(number);
  }
}

// ---- Machines. ----
void World::strike_machine(const Strike& s, Index r) {
  auto& m = *machines_[r];
  if (!m.running()) return;  // one that is down already is struck by nothing more
  switch (s.kind) {
    case FaultKind::kill:
      back_[r] = s.back;
      return m.kill();
    case FaultKind::wipe:
      back_[r] = s.back;
      on_down_[r] = [this, r] {
        machines_[r]->lose_disk();
        note(Kind::disk_lost, r);
        lost(r, 0);
      };
      return m.kill();
    case FaultKind::configure:
      configure(r, s.how, s.amount);
      [[fallthrough]];
    case FaultKind::restart:
    case FaultKind::overlap: {
      const bool overlaps = s.kind == FaultKind::overlap;
      back_[r] = overlaps ? 0 : s.back < 0 ? kBackAfterRestart : s.back;
      note(Kind::term, r);
      overlaps ? m.overlap(kRestartKill) : m.terminate(kRestartKill);
      after(kDoorAfterTerm, [this, r] {
        if (up_[r] && machines_[r]->running()) return;
        doors_[links_[r].clients] = Door::closed;
        refresh_clients(r);
      });
      return;
    }
    case FaultKind::stop:
      note(Kind::away, r);
      m.stop();
      return after(s.lasts, [this, r] {
        machines_[r]->go_on();
        note(Kind::back, r);
      });
    case FaultKind::slow:
      note(Kind::away, r);
      duty(r, s.amount, now() + s.lasts);
      return after(s.lasts, [this, r] { note(Kind::back, r); });
    case FaultKind::fill:
      note(Kind::away, r);
      m.fill_disk(true);
      return after(s.lasts, [this, r] {
        machines_[r]->fill_disk(false);
        note(Kind::back, r);
      });
    default:
      return;
  }
}

void World::duty(Index r, double share, Microseconds until) {
  if (now() >= until || share <= 0) return machines_[r]->go_on();
  const auto stopped = static_cast<Microseconds>(share * static_cast<double>(kDutyCycle));
  machines_[r]->stop();
  after(stopped, [this, r, share, until, stopped] {
    machines_[r]->go_on();
    after(kDutyCycle - stopped, [this, r, share, until] { duty(r, share, until); });
  });
}

// ---- Destinations. ----
void World::strike_destinations(const Strike& s) {
  Set set = s.strikes;
  if (s.kind == FaultKind::limit) {
    for (const Index d : set.destinations) destinations_[d].limit(s.amount);
    if (s.lasts > 0)
      after(s.lasts, [this, set] {
        for (const Index d : set.destinations) destinations_[d].limit(1);
      });
    return;
  }
  const Outage kind = s.how == "silent"    ? Outage::silent
                      : s.how == "shut"    ? Outage::shut
                      : s.how == "failing" ? Outage::failing
                                           : Outage::down;
  const auto each = [this, set](auto what) {
    for (const Index d : set.destinations) {
      what(d, std::nullopt);
    }
    for (const Index e : set.endpoints) {
      const Index d = plan_.endpoints[e].destination;
      what(d, plan_.destinations[d].routes_apart ? std::optional<Index>(lane_of(e)) : std::nullopt);
    }
  };
  std::vector<Index> listening;
  for (const Index d : set.destinations)
    listening.insert(listening.end(), plan_.destinations[d].endpoints.begin(),
                     plan_.destinations[d].endpoints.end());
  listening.insert(listening.end(), set.endpoints.begin(), set.endpoints.end());
  each([&](Index d, std::optional<Index> lane) { destinations_[d].outage(now(), kind, lane); });
  if (kind == Outage::down) {
    // Whoever has a connection there sees it end. Who only finds it refused can't be seen from here.
    for (const Index e : listening) {
      const Index d = plan_.endpoints[e].destination;
      for (auto it = history_.rbegin(); it != history_.rend() && it->at > now() - 10'000'000; ++it)
        if (it->kind == Kind::call && it->endpoint == e && it->relay != kNobody)
          destinations_[d].saw_failure(it->relay, lane_of(e));
      endpoint_outages_[e]++;
      if (!endpoint_down_[e]) endpoints_[e]->go_down();
      refresh_endpoint(e, Door::closed);
    }
  }
  after(s.lasts, [this, each, listening, kind] {
    each([this, kind](Index d, std::optional<Index> lane) { destinations_[d].over(now(), kind, lane); });
    if (kind != Outage::down) return;
    for (const Index e : listening) {
      if (--endpoint_outages_[e] > 0 || endpoint_down_[e]) continue;
      endpoints_[e]->come_back();
      refresh_endpoint(e, Door::open);
    }
  });
}

void World::drain(const Strike& s, bool replace) {
  const Microseconds back = s.back >= 0 ? s.back : replace ? kReplacedAfter : kDrainFor;
  for (const Index e : s.strikes.endpoints) {
    platform_->catalog().change(now(), e, Catalog::Status::draining);
    note(Kind::drained, kNobody, e);
    after(replace ? back + kDrainFor : back, [this, e] {
      platform_->catalog().change(now(), e, Catalog::Status::gone);
      // It ends once everybody has been told and has had the time for what was out.
      after(kDrainFor + experiment_.platform.late, [this, e] {
        endpoint_down_[e] = true;
        endpoints_[e]->go_down();
        refresh_endpoint(e, Door::closed);
      });
    });
    if (!replace) continue;
    const Index fresh = next_new_endpoint_++;
    after(back, [this, fresh] {
      endpoint_down_[fresh] = false;
      endpoints_[fresh]->come_back();
      refresh_endpoint(fresh, Door::open);
      platform_->catalog().change(now(), fresh, Catalog::Status::ready);
    });
  }
}

// ---- Links. ----
void World::link_strike(std::size_t number) {
  const Strike& s = plan_.strikes[number];
  // Who is cut off from the platform can't end what it owes; who is cut off from others hears late.
  std::vector<Index> from_platform, from_others;
  for (Index r = 0; r < links_.size(); r++) {
    const bool there = in(s.strikes.relays, r), back = in(s.others.relays, r);
    if (!there && !back) continue;
    const Set& other = there ? s.others : s.strikes;
    if (other.platform) from_platform.push_back(r);
    if (!other.endpoints.empty() || !other.destinations.empty() || other.clients || !other.relays.empty())
      from_others.push_back(r);
  }
  for (const Index r : from_platform) note(Kind::away, r);
  for (const Index r : from_others) note(Kind::disturbed, r);
  const auto over = [this, from_platform, from_others] {
    for (const Index r : from_platform) note(Kind::back, r);
    for (const Index r : from_others) note(Kind::undisturbed, r);
  };
  if (s.kind == FaultKind::reset || s.kind == FaultKind::half ||
      ((s.kind == FaultKind::cut || s.kind == FaultKind::cut_one) && s.how == "reset")) {
    // Asked as if it were a cut, to find out which links it is about.
    const auto before = std::exchange(active_, {});
    active_[number] = s;
    active_[number].kind = FaultKind::cut;
    for (Index r = 0; r < links_.size(); r++)
      each_link(r, [&](LinkId link, Party from, Party to) {
        bool refuse = false;
        if (faults_of(from, to, refuse) == LinkFaults{}) return;
        s.kind == FaultKind::half ? fabric_->half_close(link) : fabric_->reset(link);
      });
    active_ = before;
    if (s.kind == FaultKind::reset || s.kind == FaultKind::half) return over();
  }
  active_[number] = s;
  recompute_links();
  after(s.lasts, [this, number, over] {
    active_.erase(number);
    recompute_links();
    over();
  });
}

// What the active strikes do to a link between these two; `from` connects. `refuse`: new connections are
// refused.
LinkFaults World::faults_of(Party from, Party to, bool& refuse) const {
  const auto touches = [](const Set& set, const Party& party) {
    switch (party.kind) {
      case Party::Kind::relay:
        return in(set.relays, party.index);
      case Party::Kind::endpoint:
        return in(set.endpoints, party.index) || in(set.destinations, party.destination);
      case Party::Kind::platform:
        return set.platform;
      case Party::Kind::clients:
        return set.clients;
    }
    return false;
  };
  LinkFaults f;
  for (const auto& [number, s] : active_) {
    const bool there = touches(s.strikes, from) && touches(s.others, to);
    const bool back = touches(s.strikes, to) && touches(s.others, from);
    if (!there && !back) continue;
    switch (s.kind) {
      case FaultKind::cut:
        f.hold_there = f.hold_back = true;
        refuse = refuse || s.how == "reset";
        break;
      case FaultKind::cut_one:
        f.hold_there = f.hold_there || there;
        f.hold_back = f.hold_back || back;
        break;
      case FaultKind::delay:
        f.delay += static_cast<Microseconds>(s.amount), f.spread += static_cast<Microseconds>(s.amount);
        break;
      case FaultKind::rate:
        f.rate = s.amount;
        break;
      case FaultKind::tear:
        f.tear_after = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(s.amount));
        break;
      default:
        break;
    }
  }
  return f;
}

void World::each_link(Index r, const std::function<void(LinkId, Party, Party)>& what) const {
  const Party relay{Party::Kind::relay, r, 0};
  for (Index e = 0; e < links_[r].endpoints.size(); e++)
    what(links_[r].endpoints[e], relay, {Party::Kind::endpoint, e, plan_.endpoints[e].destination});
  what(links_[r].platform, relay, {Party::Kind::platform});
  what(links_[r].clients, {Party::Kind::clients}, relay);
  for (Index other = 0; other < links_[r].copies.size(); other++)
    what(links_[r].copies[other], relay, {Party::Kind::relay, other, 0});
}

void World::refresh(LinkId link, Party from, Party to) {
  bool refuse = false;
  const auto f = active_.empty() ? LinkFaults{} : faults_of(from, to, refuse);
  const bool held = f.hold_there || f.hold_back;
  fabric_->door(link, doors_[link] == Door::closed || refuse ? Door::closed
                      : held                                 ? Door::silent
                                                             : Door::open);
  if (link_faults_[link] == f) return;
  link_faults_[link] = f;
  fabric_->faults(link, f);
}

void World::refresh_clients(Index r) {
  refresh(links_[r].clients, {Party::Kind::clients}, {Party::Kind::relay, r, 0});
}

void World::refresh_endpoint(Index e, Door door) {
  for (Index r = 0; r < links_.size(); r++) {
    doors_[links_[r].endpoints[e]] = door;
    refresh(links_[r].endpoints[e], {Party::Kind::relay, r, 0},
            {Party::Kind::endpoint, e, plan_.endpoints[e].destination});
  }
}

void World::recompute_links() {
  for (Index r = 0; r < links_.size(); r++)
    each_link(r, [this](LinkId link, Party from, Party to) { refresh(link, from, to); });
}

}  // namespace heronvane::lab
