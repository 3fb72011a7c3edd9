#include "state_records.hpp"

#include "store/scan.hpp"

namespace heronvane::copies {

StateWriter::StateWriter(const store::Store& store)
    : store_(store), over_(store.remembered_ids()), numbered_(over_.size() + store.held().size()) {
  for (const auto& [key, value] : store.facts()) fact_keys_.push_back(key);
}

std::string StateWriter::next(std::size_t max_bytes) {
  store::Batch batch(store_.salt());
  for (; batch.bytes() < max_bytes && fact_index_ < fact_keys_.size(); fact_index_++)
    if (const auto fact = store_.facts().find(fact_keys_[fact_index_]); fact != store_.facts().end())
      batch.add(store::record::Fact{fact->first, fact->second});
  for (; batch.bytes() < max_bytes && over_index_ < over_.size(); over_index_++)
    batch.add(std::move(over_[over_index_]));
  auto message = store_.held().lower_bound(next_message_);
  for (; batch.bytes() < max_bytes && message != store_.held().end(); ++message) {
    batch.add(message->first, message->second);
    next_message_ = message->first + 1;
  }
  done_ = fact_index_ == fact_keys_.size() && over_index_ == over_.size() && message == store_.held().end();
  return batch.empty() ? std::string() : batch.stamped(1);
}

bool read_records(store::Salt salt, std::string_view frames,
                  const std::function<void(store::Record&&)>& visit) {
  store::Scan scan(salt, frames);
  while (const auto found = scan.next()) {
    const auto* const frame = std::get_if<store::Frame>(&*found);
    if (frame == nullptr) return false;
    auto record = store::decode(frame->header.kind, frame->payload);
    if (!record) return false;
    visit(std::move(*record));
  }
  return true;
}

}  // namespace heronvane::copies
