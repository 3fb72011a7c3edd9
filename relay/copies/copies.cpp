#include "copies.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <charconv>
#include <chrono>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "facts.hpp"

namespace heronvane::copies {

namespace net = boost::asio;

namespace {

constexpr auto kTick = std::chrono::milliseconds(25), kLazy = std::chrono::milliseconds(3);
constexpr std::size_t kMostEarly = 1 << 20;
constexpr Microseconds kConnectEach = 200'000;
constexpr Microseconds kAskEach = 500'000;  // that the owner lives; less where a take-over comes sooner
constexpr Microseconds kChooseAtMost = 3'000'000;  // then others than the first choice
constexpr Microseconds kFullPause = 500'000;
constexpr std::uint64_t kKeptPart = 16;    // of the memory, for entries that holders lack
constexpr std::size_t kRows = 256 * 1024;  // in a part of a snapshot
constexpr std::uint64_t kSincePart = 8;    // of the memory, for what is written while one goes on
constexpr std::size_t kSpareHolders = 2;

std::uint64_t whole(const std::map<std::string, std::string>& facts, const std::string& key) {
  const auto it = facts.find(key);
  std::uint64_t v = 0;
  if (it != facts.end()) std::from_chars(it->second.data(), it->second.data() + it->second.size(), v);
  return v;
}

Streams::Address address(const std::string& text, const std::string& where) {
  const auto colon = text.rfind(':');
  unsigned port = 0;
  if (colon != std::string::npos) std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  boost::system::error_code bad;
  const auto ip = net::ip::make_address(text.substr(0, colon), bad);
  if (colon == std::string::npos || bad || port == 0 || port > 65535)
    throw std::runtime_error(where + ": \"" + text + "\" is no ip:port");
  if (!is_private(ip))
    throw std::runtime_error(where + ": " + text +
                             " is neither a loopback nor a private address: copies go unencrypted");
  return {ip, static_cast<std::uint16_t>(port)};
}

// Of a life of a disk or of a log: later ones are higher, but for a wall clock that was set back.
std::uint64_t fresh_number() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

std::string folder_of(const Options& o) { return o.folder; }

std::uint64_t shelf_limit(const Options& o) {
  if (o.settings.disk_bytes > 0) return o.settings.disk_bytes;
  return o.disk_bytes * (2 * static_cast<std::uint64_t>(o.settings.holders) + 4);
}

}  // namespace

Copies::Copies(net::io_context& io, store::Store& store, Options options, Hooks hooks)
    : io_(io),
      store_(store),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      shelves_({folder_of(options_), shelf_limit(options_), options_.durability,
                [this] { return store_.clock().now(); }, [this] { return steady(); },
                [this](std::function<void()> done) { net::post(io_, std::move(done)); }, options_.log}),
      takeover_(
          {store_, shelves_, [this] { return self_; }, [this] { return log_; }, [this] { return acks(); },
           [this] { return steady(); }, [this](std::uint64_t above) { return next_epoch(above); },
           [this](const Member& to, const Packet& p) {
             if (to != self_) return streams_->say(to, p);
             net::post(io_, [this, p] { shelves_.hear(p, [this](Packet a) { takeover_.hear(self_, a); }); });
             return true;
           },
           [this] { hooks_.settle(); }, [this](MessageId from, MessageId to) { hooks_.taken_over(from, to); },
           options_.log, options_.settings.takeover_after}),
      timer_(io),
      lazy_(io) {
  const auto* const own = member(options_.name);
  if (own == nullptr && options_.settings.listen.empty())
    throw std::runtime_error("copies: no [[copies.member]] is named " + options_.name +
                             ", and copies.listen is not given");
  for (const auto& m : options_.settings.members) address(m.address, "copies.member " + m.name);
  own_place_.member.name = options_.name;
  if (own != nullptr) own_place_.machine = own->machine, own_place_.zone = own->zone;
  told_ = store_.locally_durable();
  adopt_facts();
  listen();
}

void Copies::listen() {
  const auto* const own = member(options_.name);
  Streams::Hooks h;
  h.greet = [this](const std::string& name, Hello& hello) {
    hello.mark = told_;
    const auto it = marks_.find(name);
    if (it != marks_.end()) hello.seen_incarnation = it->second.first, hello.seen_mark = it->second.second;
  };
  h.met = [this](const Hello& hello) { met(hello); };
  h.knows = [this](const std::string& name) { return member(name) != nullptr && name != options_.name; };
  h.up = [this](const Member& m) { went_up(m); };
  h.down = [this](const std::string& name) { went_down(name); };
  h.answer = [this](const Member& from, Packet p) { answered(from, std::move(p)); };
  h.asked = [this](const Member& from, Packet p, Streams::Reply r) {
    asked(from, std::move(p), std::move(r));
  };
  const auto& text = options_.settings.listen.empty() ? own->address : options_.settings.listen;
  streams_ = std::make_unique<Streams>(io_, address(text, "copies.listen"),
                                       Hello{options_.settings.cluster, self_, 0, 0, 0}, std::move(h));
}

// Each remembers how far the others said they were, and tells them: a disk of an earlier moment is found out.
void Copies::met(const Hello& hello) {
  told_mark(hello.self, hello.mark);
  if (hello.seen_incarnation != self_.incarnation || hello.seen_mark <= told_ ||
      std::exchange(went_back_, true))
    return;
  net::post(io_, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) disk_went_back();
  });
}

void Copies::told_mark(const Member& m, store::Sequence mark) {
  auto& seen = marks_[m.name];
  if (seen.first != m.incarnation) seen = {m.incarnation, 0};
  seen.second = std::max(seen.second, mark);
}

// As a holder this relay is another one now; as an owner its claim finds out what it lacks.
void Copies::disk_went_back() {
  options_.log(
      "copies: this disk is of an earlier moment than others have seen: what it promised as a holder is "
      "forgotten, and it comes back as another member");
  went_back_ = false;
  shelves_.forget_all();
  self_.incarnation = std::max(fresh_number(), self_.incarnation + 1);
  put(kMember, std::to_string(self_.incarnation));
  streams_.reset();
  views_.clear();
  transfers_.clear();
  listen();
  // Under its new name; what the old one had claimed is another's word.
  if (owner_ || claim_) claim(used_epoch_);
  connect();
  hooks_.settle();
}

void Copies::members(std::vector<Settings::Member> members) {
  try {
    for (const auto& m : members) address(m.address, "copies.member " + m.name);
  } catch (const std::exception& e) {
    return options_.log(std::string("copies: the old members stay: ") + e.what());
  }
  if (std::none_of(members.begin(), members.end(), [&](const auto& m) { return m.name == options_.name; }) &&
      options_.settings.listen.empty())
    return options_.log("copies: the old members stay: " + options_.name + " is not among the new ones");
  options_.settings.members = std::move(members);
  connect_at_ = 0;
}

Copies::~Copies() { store_.set_log_sink(nullptr); }

Microseconds Copies::steady() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

const Settings::Member* Copies::member(const std::string& name) const {
  for (const auto& m : options_.settings.members)
    if (m.name == name) return &m;
  return nullptr;
}

std::vector<Place> Copies::places() const {
  std::vector<Place> all;
  for (const auto& m : options_.settings.members) {
    Place& p = all.emplace_back();
    p.member.name = m.name, p.machine = m.machine, p.zone = m.zone;
  }
  return all;
}

bool Copies::connected(const Member& m) const {
  const Member* const peer = streams_->peer(m.name);
  return peer != nullptr && *peer == m;
}

// ---- The start. ----
void Copies::adopt_facts() {
  const auto& facts = store_.facts();
  self_ = {options_.name, whole(facts, kMember)};
  if (self_.incarnation == 0 || shelves_.forgot()) {
    // Under the old name it would be held to promises that it knows no more.
    self_.incarnation = std::max(fresh_number(), self_.incarnation + 1);
    put(kMember, std::to_string(self_.incarnation));
  }
  used_epoch_ = whole(facts, kEpoch);
  log_ = {options_.name, whole(facts, kLog)};
  if (log_.incarnation == 0) return;
  if (options_.force_own) {
    options_.log(
        "copies: forced: a new log with what this folder holds; what another relay took over may run twice");
    for (const auto& key : {kLog, kConfig, kAt}) put(key, {});
    log_.incarnation = 0;
    return;
  }
  phase_ = Phase::claiming;
  if (const auto it = facts.find(kConfig); it != facts.end())
    if (const auto kept = read_state(it->second)) config_ = kept->config;
  const auto& r = store_.recovery();
  if (!r.damaged.empty() || r.counts.missing > 0) {
    options_.log("copies: the own folder is damaged: what it held is read from the holders");
    return;  // at position 0: theirs is more
  }
  if (const auto it = facts.find(kAt); it != facts.end()) {
    std::istringstream in(it->second);
    in >> last_ >> last_epoch_.number >> last_epoch_.claimant.incarnation;
    last_epoch_.claimant.name = options_.name;
  }
}

void Copies::start() {
  started_ = true;
  awaited_at_ = steady();
  store_.set_log_sink(this);
  takeover_.load();
  phase_since_ = steady();
  if (phase_ == Phase::claiming) claim(used_epoch_);
  connect();
  tick();
}

std::uint64_t Copies::next_epoch(std::uint64_t above) {
  used_epoch_ = std::max(used_epoch_, above) + 1;
  put(kEpoch, std::to_string(used_epoch_));
  return used_epoch_;
}

// To the holders, to those that might take their place, and to whom a claim speaks.
void Copies::connect() {
  std::set<std::string> wanted;
  const auto want = [&](const std::vector<Member>& all) {
    for (const auto& m : all)
      if (m.name != options_.name) wanted.insert(m.name);
  };
  const auto count = static_cast<std::size_t>(options_.settings.holders);
  want(config_.holders), want(config_.next), want(takeover_.wanted());
  if (claim_) want(claim_->config().holders), want(claim_->config().next);
  const bool away = std::any_of(config_.holders.begin(), config_.holders.end(), [this](const Member& m) {
    return !connected(m) || !views_[m.name].trouble.empty();
  });
  if (phase_ == Phase::choosing || away)
    want(choose_holders(own_place_, places(), count == 0 ? 0 : count + kSpareHolders));
  for (const auto& m : options_.settings.members) {
    if (wanted.count(m.name) > 0)
      streams_->keep(m.name, address(m.address, "copies.member." + m.name));
    else
      streams_->leave(m.name);
  }
}

// The first choice; where some of it is not there for long, others.
void Copies::choose() {
  const auto count = static_cast<std::size_t>(options_.settings.holders);
  const bool late = steady() - phase_since_ > kChooseAtMost;
  const auto first = choose_holders(own_place_, places(), count);
  std::vector<Place> there;
  for (const auto& p : places()) {
    const bool chosen =
        std::any_of(first.begin(), first.end(), [&](const Member& m) { return m.name == p.member.name; });
    if (const Member* const peer = streams_->peer(p.member.name); peer != nullptr && (late || chosen))
      there.emplace_back(p).member = *peer;
  }
  const auto holders = choose_holders(own_place_, there, count);
  if (holders.size() == first.size()) begin_log(holders);
}

void Copies::begin_log(std::vector<Member> holders) {
  log_ = {options_.name, fresh_number()};
  const Epoch epoch{next_epoch(0), self_};
  config_ = {{epoch, 1}, std::move(holders), {}};
  // What is here already counts as its first entry: holders get it as a snapshot.
  last_ = 1, last_epoch_ = epoch;
  put(kLog, std::to_string(log_.incarnation));
  std::string names;
  for (const auto& h : config_.holders) names += " " + h.name;
  options_.log("copies: a new log, held by" + (names.empty() ? " none" : names));
  claim_.reset();
  owner_.emplace(self_, epoch, config_, last_, last_epoch_, OwnerOptions{acks(), 64});
  own();
}

// ---- Records. ----
void Copies::closing() {
  if (!owner_ || owner_->fenced()) return;
  put(kAt, std::to_string(owner_->last() + 1) + " " + std::to_string(owner_->epoch().number) + " " +
               std::to_string(self_.incarnation));
}

void Copies::written(store::Sequence last, std::string_view frames) {
  for (auto& [m, t] : transfers_) t.since.append(frames);
  if (!owner_ || owner_->fenced()) {
    // Facts, and outcomes of calls that are still out: they go with the first entry of the next epoch.
    early_.append(frames);
    // Asked for hours: then holders get a snapshot in its place.
    if (early_.size() > kMostEarly) early_.clear(), early_lost_ = true;
    if (!ready_) return;
    // What was fenced acts on nothing that is written now.
    if (waiting_.empty()) store_.set_replicated(store_.written());
    if (waiting_.empty() || waiting_.back().position <= last_)
      waiting_.push_back({last_ + 1, last, steady()});
    else
      waiting_.back().last = last;
    return;
  }
  std::string entry = std::exchange(early_, {});
  entry.append(frames);
  owner_->wrote(std::move(entry));
  last_ = owner_->last(), last_epoch_ = owner_->epoch();
  waiting_.push_back({owner_->last(), last, steady()});
  while (!waiting_.empty() && waiting_.front().position <= owner_->durable()) waiting_.pop_front();
  if (waiting_.empty()) return;
  // What was written before the oldest that waits stands.
  if (waiting_.size() == 1) store_.set_replicated(store_.written());
  // Outcomes, for which nobody waits, go with what is waited for, or a little later together.
  if (std::exchange(lazy_due_, true)) return;
  lazy_.expires_after(kLazy);
  lazy_.async_wait([this](boost::system::error_code bad) {
    lazy_due_ = false;
    if (!bad) pump();
  });
}

Packet Copies::packet(Saying saying) const {
  Packet p;
  p.log = log_, p.saying = std::move(saying);
  p.salt = store_.salt(), p.now = store_.clock().now(), p.disk = options_.disk_bytes;
  return p;
}

void Copies::pump() {
  if (!owner_) return;
  for (const auto& h : owner_->holders()) pump(h);
}

void Copies::pump(const Member& h) {
  if (!owner_ || !connected(h) || steady() < views_[h.name].retry_at) return;
  if (owner_->needs_snapshot(h)) {
    // One at a time: it costs both sides.
    const auto it = transfers_.find(h);
    if (it == transfers_.end()) {
      if (!transfers_.empty()) return;
      transfers_[h].rows = std::make_unique<RowWriter>(store_);
    }
    return send_part(h);
  }
  transfers_.erase(h);
  if (const auto letter = owner_->next(h))
    if (!streams_->say(h, packet(letter->saying))) owner_->again(h);
}

void Copies::send_part(const Member& h) {
  auto& t = transfers_[h];
  if (t.out) return;
  if (t.since.size() > options_.memory_bytes / kSincePart) {  // slower than what is written
    transfers_.erase(h);
    views_[h.name].retry_at = steady() + kFullPause;
    return;
  }
  Packet p;
  p.kind = Packet::Kind::part, p.log = log_, p.epoch = owner_->epoch(), p.part = t.part;
  p.salt = store_.salt(), p.now = store_.clock().now(), p.disk = options_.disk_bytes;
  // What was written since the last part goes before the rows, which know of it.
  p.body = std::exchange(t.since, {});
  p.body += t.rows->next(kRows);
  p.last = t.rows->done();
  if (p.last) {
    owner_->again(h);
    if (auto letter = owner_->snapshot(h)) p.saying = std::move(letter->saying);
  }
  t.out = true, t.part++;
  if (!streams_->say(h, p)) {
    transfers_.erase(h);
    owner_->again(h);
  }
}

// ---- What is heard. ----
void Copies::answered(const Member& from, Packet p) {
  told_mark(from, p.mark);
  if (p.log != log_) return takeover_.hear(from, p);
  auto& view = views_[from.name];
  switch (p.kind) {
    case Packet::Kind::full:
      if (view.trouble != p.text) options_.log("copies: holder " + from.name + ": " + p.text);
      if (view.trouble.empty()) view.troubled_since = steady();
      view.trouble = p.text;
      view.retry_at = steady() + kFullPause;
      transfers_.erase(from);
      if (owner_) owner_->again(from);
      return;
    case Packet::Kind::part_taken: {
      const auto it = transfers_.find(from);
      if (it == transfers_.end() || it->second.part != p.part + 1) return;
      it->second.out = false;
      return pump(from);
    }
    case Packet::Kind::word:
      break;
    case Packet::Kind::part:
    case Packet::Kind::heard:
    case Packet::Kind::release:
      return;
  }
  view.trouble.clear();
  if (claim_) {
    if (std::holds_alternative<say::State>(*p.saying)) {
      if (claim_->state() != Claim::State::reading || from != claim_->source() || p.part != read_part_)
        return;
      read_part(p);
      if (!p.last) return;
    }
    const auto before = claim_->state();
    claim_->hear(from, *p.saying);
    if (claim_->state() != before) claim_moved_on();
    return;
  }
  if (!owner_) return;
  const auto it = transfers_.find(from);
  const bool done = it != transfers_.end() && std::holds_alternative<say::Appended>(*p.saying);
  owner_->hear(from, *p.saying);
  if (done) transfers_.erase(from);
  look();
  pump(from);
}

void Copies::look() {
  if (!owner_) return;
  if (owner_->fenced()) {
    options_.log("copies: fenced by " + owner_->fenced()->claimant.name +
                 ": nothing is acted on until it is "
                 "known where the log goes");
    return claim(owner_->fenced()->number);
  }
  if (owner_->config().version != config_.version) {
    config_ = owner_->config();
    put(kConfig, write_state(owner_->epoch(), 0, {}, config_, std::nullopt, 0, 0));
    hooks_.settle();
    if (!owner_) return;
    connect();
    pump();
  }
  bool moved = false;
  while (!waiting_.empty() && waiting_.front().position <= owner_->durable()) {
    const auto last = waiting_.front().last;
    waiting_.pop_front();
    // What compaction wrote meanwhile stands where it stood.
    store_.set_replicated(waiting_.empty() ? store::Store::kAllRecords : last);
    moved = true;
  }
  owner_->trim(options_.memory_bytes / kKeptPart);
  if (moved && short_ && waiting_.empty()) {
    short_ = false;
    options_.log("copies: all that was written stands at enough holders again");
  }
  if (!ready_ && owner_->durable() > start_) {
    ready_ = true;
    hooks_.ready();
  }
  if (moved) hooks_.stands();
}

void Copies::asked(const Member& from, Packet p, Streams::Reply reply) {
  if (p.kind == Packet::Kind::heard) {
    const auto shelf = shelves_.find(p.log);
    p.ago = shelf ? steady() - shelf->heard : -1;
    if (shelf && shelf->state.config.version > p.version && shelf->state.config.next.empty()) {
      const auto& holders = shelf->state.config.holders;
      p.replaced = std::find(holders.begin(), holders.end(), from) == holders.end();
    }
    p.mark = told_ = std::max(told_, store_.locally_durable());
    return reply(p);
  }
  if (from.name == p.log.name) shelves_.heard(p.log);
  shelves_.hear(p, [this, alive = std::weak_ptr(alive_), reply = std::move(reply)](Packet answer) {
    if (!alive.expired()) answer.mark = told_ = std::max(told_, store_.locally_durable());
    reply(std::move(answer));
  });
}

void Copies::went_up(const Member& peer) {
  views_[peer.name].away_since = 0;
  if (owner_) {
    owner_->again(peer);
    pump(peer);
  }
  said_at_ = 0;
}

void Copies::went_down(const std::string& name) {
  auto& view = views_[name];
  if (view.away_since == 0) view.away_since = steady();
  std::erase_if(transfers_, [&](const auto& t) { return t.first.name == name; });
  read_at_ = 0;
  if (!owner_) return;
  for (const auto& h : owner_->holders())
    if (h.name == name) owner_->again(h);
}

// ---- Time. ----
void Copies::tick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](boost::system::error_code bad) {
    if (!bad) tick();
  });
  if (steady() >= connect_at_ || phase_ != Phase::owning) {
    connect_at_ = steady() + kConnectEach;
    connect();
  }
  switch (phase_) {
    case Phase::choosing:
      choose();
      break;
    case Phase::claiming:
      if (!claim_) break;
      if (claim_->state() != Claim::State::beaten)
        say_claim();
      else if (steady() >= claim_again_at_)
        claim(claim_->beaten_by().number);
      break;
    case Phase::owning: {
      const Microseconds each = options_.settings.takeover_after > 0
                                    ? std::min(kAskEach, options_.settings.takeover_after / 8)
                                    : kAskEach;
      const bool ask = steady() - said_at_ >= each;
      if (ask) said_at_ = steady();
      for (const auto& h : owner_->holders()) {
        if (ask && connected(h) && !owner_->needs_snapshot(h))
          if (const auto letter = owner_->next(h, true))
            if (!streams_->say(h, packet(letter->saying))) owner_->again(h);
        pump(h);
      }
      replace_lost();
      break;
    }
  }
  if (phase_ != Phase::owning) say_who_is_awaited();
  look_short();
  if (ready_) takeover_.tick();
  shelves_.tidy();
}

// Health is 503 meanwhile; nobody is to guess why.
void Copies::say_who_is_awaited() {
  constexpr Microseconds kLong = 5'000'000;
  if (steady() - awaited_at_ < kLong) return;
  awaited_at_ = steady();
  const auto names =
      phase_ == Phase::choosing
          ? choose_holders(own_place_, places(), static_cast<std::size_t>(options_.settings.holders))
          : config_.holders;
  std::string text;
  for (const auto& m : names) {
    const Member* const peer = streams_->peer(m.name);
    const bool another = peer != nullptr && phase_ == Phase::claiming && *peer != m;
    text.append(text.empty() ? "" : ", ").append(m.name);
    text.append(peer == nullptr ? " (no connection)"
                : another       ? " (came back without its disk)"
                                : " (there)");
  }
  options_.log(phase_ == Phase::choosing
                   ? "copies: a new log waits for holders: " + text
                   : "copies: the own log is not known to stand yet; its holders: " + text +
                         ". Bring back who is missing; --force-own goes on without asking");
}

void Copies::look_short() {
  if (waiting_.empty() || steady() - waiting_.front().since < options_.settings.short_after) return;
  if (!std::exchange(short_, true)) {
    shorts_++;
    options_.log("copies: too few holders: " + std::to_string(waiting_.size()) +
                 " entries wait, the oldest for " +
                 std::to_string((steady() - waiting_.front().since) / 1000) + " ms; nothing is taken on");
  }
  hooks_.wait_is_over();
}

// A holder that is away for long, or came back without what it promised, goes for another one.
void Copies::replace_lost() {
  if (!owner_ || owner_->changing() || owner_->fenced()) return;
  const auto holders = owner_->config().holders;
  for (const auto& h : holders) {
    const Member* const peer = streams_->peer(h.name);
    const auto& view = views_[h.name];
    const bool there = connected(h);
    if (there && view.trouble.empty()) continue;
    const Microseconds since = there ? view.troubled_since : view.away_since;
    std::optional<Member> fresh;
    if (peer != nullptr && !there) {
      fresh = *peer;  // the same relay, without its disk
    } else if (since != 0 && steady() - since >= options_.settings.replace_after) {
      std::vector<Place> others;
      for (const auto& p : places())
        if (const Member* const m = streams_->peer(p.member.name)) others.emplace_back(p).member = *m;
      for (const auto& m : choose_holders(own_place_, others, others.size()))
        if (std::none_of(holders.begin(), holders.end(), [&](const Member& x) { return x.name == m.name; })) {
          fresh = m;
          break;
        }
    }
    if (!fresh || !owner_->replace(h, *fresh)) continue;
    options_.log("copies: holder " + h.name + " is lost: " + fresh->name + " takes its place");
    views_[fresh->name].away_since = 0;
    return look();
  }
}

}  // namespace heronvane::copies
