// How a relay comes to own its log: one that begins, one that an earlier life wrote, one that was fenced.
#include <stdexcept>
#include <utility>

#include "copies.hpp"
#include "facts.hpp"

namespace heronvane::copies {

namespace {

constexpr Microseconds kSayAgain = 150'000;     // words of a claim
constexpr Microseconds kReadAgain = 2'000'000;  // a state that is read, from its first part on

}  // namespace

void Copies::claim(std::uint64_t above) {
  phase_ = Phase::claiming, phase_since_ = steady();
  owner_.reset();
  transfers_.clear();
  const Epoch epoch{next_epoch(above), self_};
  if (config_.holders.empty() && config_.next.empty()) {  // nobody else was ever to have it
    owner_.emplace(self_, epoch, config_, last_, last_epoch_, OwnerOptions{acks(), 64});
    return own();
  }
  claim_.emplace(self_, Claim::Purpose::go_on, epoch, config_, log_, last_, last_epoch_,
                 ClaimOptions{acks()});
  said_at_ = 0, read_at_ = 0;
  // Before its words go out; a store that can't be written says none.
  if (started_) hooks_.settle();
}

void Copies::say_claim() {
  const Microseconds now = steady();
  if (now - said_at_ < kSayAgain || !store_.unavailable_reason().empty()) return;
  said_at_ = now;
  for (const auto& letter : claim_->words()) {
    Packet p = packet(letter.saying);
    if (std::holds_alternative<say::Read>(letter.saying)) {
      if (read_at_ != 0 && now - read_at_ < kReadAgain) continue;
      read_at_ = now;
      read_part_ = 0;
      read_.clear();
    }
    streams_->say(letter.to, p);
  }
}

// The holder's state in the place of the own one, which is older: what it has not is over.
void Copies::read_part(const Packet& p) {
  const bool sound = read_rows(p.salt, p.body, [this](store::Record&& r) {
    if (const auto* const t = std::get_if<store::record::Accepted>(&r)) read_.insert(t->number);
    const auto* const f = std::get_if<store::record::Fact>(&r);
    const bool own = f != nullptr && f->key.compare(0, kOwnFacts.size(), kOwnFacts) == 0;
    if (!own) store_.put(std::move(r));
  });
  if (!sound) {
    options_.log("copies: what a holder sent of the own log can't be read");
    read_at_ = 0;
    return;
  }
  if (!p.last) {
    Packet more = packet(say::Read{claim_->epoch()});
    more.part = ++read_part_;
    read_at_ = steady();
    streams_->say(claim_->source(), more);
    return;
  }
  std::vector<MessageId> over;
  for (const auto& [number, held] : store_.held())
    if (read_.count(number) == 0) over.push_back(number);
  for (const MessageId number : over) store_.finish(number, false);
  options_.log("copies: this disk was older than its copies: " + std::to_string(read_.size()) +
               " messages read, " + std::to_string(over.size()) + " that were over are dropped");
  read_.clear();
}

void Copies::claim_moved_on() {
  switch (claim_->state()) {
    case Claim::State::importing:
      last_ = claim_->last(), last_epoch_ = claim_->last_epoch();
      // Only its owner writes a log: what runs can't be older than its copies.
      if (ready_) throw std::runtime_error("copies: the holders have more of the own log than was written");
      put(kAt, std::to_string(last_) + " " + std::to_string(last_epoch_.number) + " " +
                   std::to_string(last_epoch_.claimant.incarnation));
      hooks_.settle();
      claim_->imported();
      return claim_moved_on();
    case Claim::State::won: {
      config_ = claim_->config();
      const Epoch epoch = claim_->epoch();
      claim_.reset();
      // As if it were an entry, which no holder has.
      if (std::exchange(early_lost_, false)) last_++, last_epoch_ = epoch;
      owner_.emplace(self_, epoch, config_, last_, last_epoch_, OwnerOptions{acks(), 64});
      return own();
    }
    case Claim::State::moved:
      options_.log("copies: what was held here was taken over by " + claim_->into().name +
                   ": nothing of it is this relay's any more");
      return lost_log();
    case Claim::State::beaten:
      // At another moment than the other one, which may try again, too.
      claim_again_at_ = steady() + 200'000 + static_cast<Microseconds>(self_.incarnation % 300'000);
      return;
    case Claim::State::asking:
    case Claim::State::reading:
    case Claim::State::moving:
      said_at_ = 0;
      return;
  }
}

void Copies::lost_log() {
  claim_.reset();
  owner_.reset();
  takeover_.forget();
  waiting_.clear();
  transfers_.clear();
  early_.clear(), early_lost_ = false;
  ready_ = short_ = false;
  for (const auto& key : {kLog, kConfig, kAt}) put(key, {});
  hooks_.disown();
  store_.set_replicated();
  hooks_.settle();
  config_ = {};
  last_ = 0, last_epoch_ = {};
  phase_ = Phase::choosing, phase_since_ = steady();
  connect();
}

void Copies::own() {
  phase_ = Phase::owning, phase_since_ = steady();
  start_ = owner_->last();
  for (const auto& h : owner_->holders()) views_[h.name].away_since = connected(h) ? 0 : steady();
  config_ = owner_->config();
  put(kConfig, write_state(owner_->epoch(), 0, {}, config_, std::nullopt, 0, 0));
  hooks_.settle();  // the first entry under this epoch
  connect();
  pump();
  look();
}

}  // namespace heronvane::copies
