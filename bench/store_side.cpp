#include "store_side.hpp"

#include <stdexcept>
#include <utility>

namespace heronvane::bench {

store::SyncThread::Post Posted::post() {
  return [this](std::function<void()> f) {
    {
      const std::lock_guard lock(mutex_);
      posted_.push_back(std::move(f));
    }
    some_.notify_one();
  };
}
void Posted::run() { run(std::unique_lock(mutex_)); }
void Posted::wait() {
  std::unique_lock lock(mutex_);
  some_.wait(lock, [this] { return !posted_.empty(); });
  run(std::move(lock));
}
void Posted::run(std::unique_lock<std::mutex> lock) {
  const auto all = std::exchange(posted_, {});
  lock.unlock();
  for (const auto& f : all) f();
}

StoreSide::StoreSide(const std::filesystem::path& folder, store::Options options, Rounds rounds)
    : rounds_(rounds), disk_(store::open_folder(folder.string())) {
  options.remember_window = rounds_.window;
  options.boot = "bench";
  options.clocks = clock_.read();
  if (options.durability == store::Durability::machine)
    syncs_ = std::make_unique<store::SyncThread>(*disk_, posted_.post());
  store_ = std::make_unique<store::Store>(*disk_, std::move(options), syncs_.get());
}

void StoreSide::make_room(const Message& message, Phase* phase) {
  for (int tries = 0; !store_->admit(message); tries++) {
    if (tries > 100'000) throw std::runtime_error("the store has no room: " + store_->unavailable_reason());
    if (store_->compact() == store::Store::Step::blocked && store_->durable() < store_->written())
      posted_.wait();
    collect(phase);
  }
}

void StoreSide::collect(Phase* phase) {
  while (!waiting_.empty() && waiting_.front().written <= store_->durable()) {
    if (phase != nullptr) {
      phase->messages += waiting_.front().messages;
      phase->latency.add(seconds_since(waiting_.front().begun));
    }
    waiting_.pop_front();
  }
}

void StoreSide::round(std::size_t messages, Phase* phase) {
  posted_.run();
  collect(phase);
  while (waiting_.size() >= rounds_.in_flight) {
    posted_.wait();
    collect(phase);
  }
  const auto begun = Clock::now();
  if (open_.size() >= rounds_.lag) {
    for (const MessageId number : open_.front()) {
      store_->outcome(number, 0, Outcome::served);
      store_->finish(number);
    }
    open_.pop_front();
  }
  auto& numbers = open_.emplace_back();
  numbers.reserve(messages);
  for (std::size_t i = 0; i < messages; i++) {
    clock_.now += rounds_.tick;
    auto m = make_message(next_++, store_->clock().now());
    if (!store_->admit(m)) make_room(m, phase);
    const MessageId number = store_->next_number();
    store_->accept(number, std::move(m));
    store_->sent(number, store_->clock().now(), 1);
    numbers.push_back(number);
  }
  if (!store_->commit()) throw std::runtime_error("the store can't write: " + store_->unavailable_reason());
  waiting_.push_back({store_->written(), begun, messages});
  collect(phase);
  for (int steps = 0; steps < 4 && store_->wants_compaction(); steps++)
    if (store_->compact() != store::Store::Step::more) break;
}

void StoreSide::settle(Phase* phase) {
  while (!waiting_.empty()) {
    posted_.wait();
    collect(phase);
  }
}

Phase StoreSide::run(std::size_t messages, double seconds) {
  settle();
  Phase phase;
  const auto bytes = process_wchar();
  const auto begun = Clock::now();
  while (seconds_since(begun) < seconds) round(messages, &phase);
  settle(&phase);
  phase.seconds = seconds_since(begun);
  phase.bytes = process_wchar() - bytes;
  return phase;
}

}  // namespace heronvane::bench
