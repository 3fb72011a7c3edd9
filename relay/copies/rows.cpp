#include "rows.hpp"

#include "store/scan.hpp"

namespace heronvane::copies {

RowWriter::RowWriter(const store::Store& store)
    : store_(store), over_(store.remembered_ids()), numbered_(over_.size() + store.held().size()) {
  for (const auto& [key, value] : store.facts()) facts_.push_back(key);
}

std::string RowWriter::next(std::size_t most) {
  store::Batch batch(store_.salt());
  for (; batch.bytes() < most && fact_ < facts_.size(); fact_++)
    if (const auto it = store_.facts().find(facts_[fact_]); it != store_.facts().end())
      batch.add(store::record::Fact{it->first, it->second});
  for (; batch.bytes() < most && over_at_ < over_.size(); over_at_++) batch.add(std::move(over_[over_at_]));
  auto it = store_.held().lower_bound(message_);
  for (; batch.bytes() < most && it != store_.held().end(); ++it) {
    batch.add(it->first, it->second);
    message_ = it->first + 1;
  }
  done_ = fact_ == facts_.size() && over_at_ == over_.size() && it == store_.held().end();
  return batch.empty() ? std::string() : batch.stamped(1);
}

bool read_rows(store::Salt salt, std::string_view frames, const std::function<void(store::Record&&)>& each) {
  store::Scan scan(salt, frames);
  while (const auto found = scan.next()) {
    const auto* const frame = std::get_if<store::Frame>(&*found);
    if (frame == nullptr) return false;
    auto record = store::decode(frame->header.kind, frame->payload);
    if (!record) return false;
    each(std::move(*record));
  }
  return true;
}

}  // namespace heronvane::copies
