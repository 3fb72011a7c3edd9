// verify and show: for people.
#include <algorithm>
#include <iomanip>

#include "commands.hpp"
#include "text.hpp"

namespace heronvane::store::tool {
namespace {

std::string file_of(const Folder& folder, SegmentNumber number) {
  const auto it = folder.contents.files.find(number);
  return it == folder.contents.files.end() ? std::string() : it->second.name;
}

std::string outcome_of(const Attempt& a) { return a.outcome ? name_of(*a.outcome) : "not seen"; }

std::string outcomes_of(const Held& h) {
  if (h.attempts.empty()) return "none";
  std::string all;
  for (const auto& a : h.attempts) all += (all.empty() ? "" : ", ") + outcome_of(a);
  return std::to_string(h.attempts.size()) + ": " + all;
}

std::string end_of(const Held& h) {
  std::string end = "open";
  if (h.ending) {
    end = h.ending->deferred ? "given up: deferred, again after " + duration(h.ending->again)
                             : std::string("given up: undeliverable");
  }
  return h.doubt ? end + "; in doubt" : end;
}

std::string shortened(const std::string& text, std::size_t most) {
  return text.size() <= most ? text : text.substr(0, most - 3) + "...";
}

using Row = std::vector<std::string>;

void put_table(const std::vector<Row>& rows, std::ostream& out) {
  std::vector<std::size_t> widths(rows.front().size());
  for (const auto& row : rows)
    for (std::size_t i = 0; i < row.size(); i++) widths[i] = std::max(widths[i], row[i].size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i + 1 < row.size(); i++)
      out << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
    out << row.back() << '\n';
  }
}

void put_missing(const Folder& folder, SegmentNumber number, std::ostream& out) {
  for (const auto& run : folder.contents.missing)
    if (run.segment == number) out << "  missing: " << name_of(run) << '\n';
}

void put_file(const Folder& folder, SegmentNumber number, const SegmentFile& file, std::ostream& out) {
  const Contents& c = folder.contents;
  out << file.name << ": format " << (file.format1 ? 1 : 2) << ", " << file.bytes << " bytes, ";
  if (c.members.count(number) == 0) {
    out << "left of a segment whose records stand elsewhere; not read\n";
    return;
  }
  out << file.records << " records";
  if (file.first > 0) out << " (" << file.first << " to " << file.last << ")";
  out << ", " << c.ledger.segments().at(number).live << " bytes live\n";
  for (const auto& d : c.damage)
    if (d.segment == number && d.type == Damage::Type::corrupt)
      out << "  damaged: bytes " << d.from << " to " << d.to << '\n';
    else if (d.segment == number && d.type == Damage::Type::truncated)
      out << "  cut off at byte " << d.from << '\n';
  if (file.torn)
    out << "  torn end: bytes " << file.torn->from << " to " << file.torn->to
        << ", of a write that was cut off and never acted on\n";
  put_missing(folder, number, out);
}

std::string counted(std::uint64_t n, const std::string& what) {
  return std::to_string(n) + " " + what + (n == 1 ? "" : "s");
}

void put_message(const Folder& folder, MessageId number, const Held& h, bool body, std::ostream& out) {
  const Message& m = h.message;
  out << "message " << number << '\n'
      << "  id            " << printable(m.id) << '\n'
      << "  class         " << printable(m.message_class) << '\n'
      << "  tenant        " << printable(m.tenant) << '\n'
      << "  destination   " << m.destination << '\n'
      << "  deadline      " << date(m.deadline + folder.to_wall) << ", "
      << (m.deadline >= folder.now ? "in " + duration(m.deadline - folder.now)
                                   : duration(folder.now - m.deadline) + " ago")
      << '\n'
      << "  repeat        " << (m.repeat ? "yes" : "no") << " (the client hands it in again)\n"
      << (m.idempotency_key.empty() ? std::string()
                                    : "  key           " + printable(m.idempotency_key) + "\n")
      << "  may have run  " << (h.possibly_executed() ? "yes" : "no")
      << (h.doubt ? " (in doubt: records of it may have been lost)" : "") << '\n'
      << "  ends          " << end_of(h) << '\n';
  for (std::size_t i = 0; i < h.attempts.size(); i++) {
    const Attempt& a = h.attempts[i];
    out << "  attempt " << i << "     "
        << (a.sent == 0 ? "its record is gone"
                        : date(a.sent + folder.to_wall) + ", " + duration(folder.now - a.sent) + " ago")
        << ", zone " << (a.zone < 0 ? "unknown" : std::to_string(a.zone)) << ", outcome " << outcome_of(a)
        << '\n';
  }
  out << "  body          " << m.body.size() << " bytes" << (body ? "" : ", shown with --body") << '\n';
  if (body) out << printable(m.body) << '\n';
}

}  // namespace

void verify(const Folder& folder, std::ostream& out) {
  const Contents& c = folder.contents;
  for (const auto& [number, file] : c.files) put_file(folder, number, file, out);
  for (const auto& d : c.damage) {
    if (d.type != Damage::Type::missing_file) continue;
    out << text(d, {}) << '\n';
    put_missing(folder, d.segment, out);
  }
  if (c.journal_next) out << "journal.next: a copy of `journal` that was never finished; not read\n";
  for (const auto& other : c.others)
    out << printable(other.name) << ": "
        << (other.name.rfind("damaged-", 0) == 0
                ? "set aside by an earlier start, which took over what could be read of it; not read"
                : "none of the store's; not read")
        << '\n';
  out << counted(c.table.held().size(), "message") << " held, " << c.table.given_up() << " of them given up; "
      << counted(c.table.remembered(), "id") << " remembered; " << counted(c.table.facts().size(), "fact")
      << '\n';
  if (c.counts.torn > 0)
    out << counted(c.counts.torn, "record") << " of a write that was cut off: never acted on, no loss\n";
  if (!folder.damaged()) {
    out << "sound\n";
    return;
  }
  out << "DAMAGED: " << counted(c.damage.size(), "place") << ", about " << counted(c.counts.missing, "record")
      << " missing; " << counted(c.doubtful, "message") << " held may have been called without a record\n";
}

void show_all(const Folder& folder, std::ostream& out) {
  const Contents& c = folder.contents;
  constexpr std::size_t kMaxId = 48, kMaxName = 24;
  out << counted(c.table.held().size(), "message") << " held\n";
  if (!c.table.held().empty()) {
    std::vector<Row> rows = {
        {"number", "id", "class", "tenant", "destination", "deadline in", "attempts", "ends"}};
    for (const auto& [number, h] : c.table.held()) {
      const Message& m = h.message;
      rows.push_back({std::to_string(number), shortened(printable(m.id), kMaxId),
                      shortened(printable(m.message_class), kMaxName),
                      shortened(printable(m.tenant), kMaxName), std::to_string(m.destination),
                      duration(m.deadline - folder.now), outcomes_of(h), end_of(h)});
    }
    put_table(rows, out);
  }
  out << '\n' << counted(c.table.remembered(), "id") << " remembered\n";
  if (c.table.remembered() > 0) {
    std::vector<Row> rows = {{"number", "id", "for"}};
    for (const auto& over : c.table.remembered_ids())
      rows.push_back({std::to_string(over.number), shortened(printable(over.id), kMaxId),
                      duration(over.remember_until - folder.now)});
    put_table(rows, out);
  }
  out << '\n' << counted(c.table.facts().size(), "fact") << '\n';
  if (!c.table.facts().empty()) {
    std::vector<Row> rows = {{"key", "value"}};
    for (const auto& [key, value] : c.table.facts()) rows.push_back({printable(key), printable(value)});
    put_table(rows, out);
  }
}

bool show_one(const Folder& folder, const std::string& id, bool body, std::ostream& out) {
  bool any = false;
  for (const auto& [number, h] : folder.contents.table.held()) {
    if (h.message.id != id && "#" + std::to_string(number) != id) continue;
    put_message(folder, number, h, body, out);
    any = true;
  }
  for (const auto& over : folder.contents.table.remembered_ids()) {
    if (over.id != id && "#" + std::to_string(over.number) != id) continue;
    out << "message " << over.number << "\n  id            " << printable(over.id)
        << "\n  over; its id is remembered for " << duration(over.remember_until - folder.now) << '\n';
    any = true;
  }
  return any;
}

void tell_losses(const Folder& folder, std::ostream& out) {
  const Contents& c = folder.contents;
  for (const auto& d : c.damage) out << "lost: " << text(d, file_of(folder, d.segment)) << '\n';
  for (const auto& run : c.missing) out << "lost: " << name_of(run) << '\n';
  for (const auto& [number, h] : c.table.held())
    if (h.doubt) out << "in doubt: message " << number << ", id " << printable(h.message.id) << '\n';
  if (folder.damaged())
    out << "about " << counted(c.counts.missing, "record")
        << " lost: a message in it is gone, one that was over may be held again (in doubt)\n";
}

}  // namespace heronvane::store::tool
