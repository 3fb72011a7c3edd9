// verify and show: output for people.
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

std::string outcome_of(const Attempt& attempt) {
  return attempt.outcome ? name_of(*attempt.outcome) : "not seen";
}

std::string outcomes_of(const Held& held) {
  if (held.attempts.empty()) return "none";
  std::string all;
  for (const auto& attempt : held.attempts) all += (all.empty() ? "" : ", ") + outcome_of(attempt);
  return std::to_string(held.attempts.size()) + ": " + all;
}

std::string end_of(const Held& held) {
  std::string end = "open";
  if (held.ending) {
    end = held.ending->deferred ? "given up: deferred, again after " + duration(held.ending->again)
                                : std::string("given up: undeliverable");
  }
  return held.doubt ? end + "; in doubt" : end;
}

std::string shortened(const std::string& text, std::size_t max_size) {
  return text.size() <= max_size ? text : text.substr(0, max_size - 3) + "...";
}

using Row = std::vector<std::string>;

void print_table(const std::vector<Row>& rows, std::ostream& out) {
  std::vector<std::size_t> widths(rows.front().size());
  for (const auto& row : rows)
    for (std::size_t i = 0; i < row.size(); i++) widths[i] = std::max(widths[i], row[i].size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i + 1 < row.size(); i++)
      out << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
    out << row.back() << '\n';
  }
}

void print_missing(const Folder& folder, SegmentNumber number, std::ostream& out) {
  for (const auto& run : folder.contents.missing)
    if (run.segment == number) out << "  missing: " << name_of(run) << '\n';
}

void print_file(const Folder& folder, SegmentNumber number, const SegmentFile& file, std::ostream& out) {
  const Contents& contents = folder.contents;
  out << file.name << ": format " << (file.format1 ? 1 : 2) << ", " << file.bytes << " bytes, ";
  if (contents.members.count(number) == 0) {
    out << "left over from a dropped segment, its live records are stored elsewhere; not read\n";
    return;
  }
  out << file.records << " records";
  if (file.first > 0) out << " (" << file.first << " to " << file.last << ")";
  out << ", " << contents.ledger.segments().at(number).live << " bytes live\n";
  for (const auto& damage : contents.damage)
    if (damage.segment == number && damage.type == Damage::Type::corrupt)
      out << "  damaged: bytes " << damage.from << " to " << damage.to << '\n';
    else if (damage.segment == number && damage.type == Damage::Type::truncated)
      out << "  cut off at byte " << damage.from << '\n';
  if (file.torn)
    out << "  torn end: bytes " << file.torn->from << " to " << file.torn->to
        << ", of an incomplete write that was never acted on\n";
  print_missing(folder, number, out);
}

std::string counted(std::uint64_t count, const std::string& what) {
  return std::to_string(count) + " " + what + (count == 1 ? "" : "s");
}

void print_message(const Folder& folder, MessageId number, const Held& held, bool body, std::ostream& out) {
  const Message& message = held.message;
  out << "message " << number << '\n'
      << "  id            " << printable(message.id) << '\n'
      << "  class         " << printable(message.message_class) << '\n'
      << "  tenant        " << printable(message.tenant) << '\n'
      << "  destination   " << message.destination << '\n'
      << "  deadline      " << date(message.deadline + folder.wall_offset) << ", "
      << (message.deadline >= folder.now ? "in " + duration(message.deadline - folder.now)
                                         : duration(folder.now - message.deadline) + " ago")
      << '\n'
      << "  repeat        " << (message.repeat ? "yes" : "no") << " (the client hands it in again)\n"
      << (message.idempotency_key.empty() ? std::string()
                                          : "  key           " + printable(message.idempotency_key) + "\n")
      << "  may have run  " << (held.possibly_executed() ? "yes" : "no")
      << (held.doubt ? " (in doubt: records of it may have been lost)" : "") << '\n'
      << "  ends          " << end_of(held) << '\n';
  for (std::size_t i = 0; i < held.attempts.size(); i++) {
    const Attempt& attempt = held.attempts[i];
    out << "  attempt " << i << "     "
        << (attempt.sent == 0 ? "its record is missing"
                              : date(attempt.sent + folder.wall_offset) + ", " +
                                    duration(folder.now - attempt.sent) + " ago")
        << ", zone " << (attempt.zone < 0 ? "unknown" : std::to_string(attempt.zone)) << ", outcome "
        << outcome_of(attempt) << '\n';
  }
  out << "  body          " << message.body.size() << " bytes" << (body ? "" : ", shown with --body") << '\n';
  if (body) out << printable(message.body) << '\n';
}

}  // namespace

void verify(const Folder& folder, std::ostream& out) {
  const Contents& contents = folder.contents;
  for (const auto& [number, file] : contents.files) print_file(folder, number, file, out);
  for (const auto& damage : contents.damage) {
    if (damage.type != Damage::Type::missing_file) continue;
    out << text(damage, {}) << '\n';
    print_missing(folder, damage.segment, out);
  }
  if (contents.journal_next) out << "journal.next: a copy of `journal` that was never finished; not read\n";
  for (const auto& other : contents.others)
    out << printable(other.name) << ": "
        << (other.name.rfind("damaged-", 0) == 0
                ? "renamed by an earlier start, which kept all records that could be read; not read"
                : "no file of the store; not read")
        << '\n';
  out << counted(contents.table.held().size(), "message") << " held, " << contents.table.given_up()
      << " of them given up; " << counted(contents.table.remembered(), "id") << " remembered; "
      << counted(contents.table.facts().size(), "fact") << '\n';
  if (contents.counts.torn > 0)
    out << counted(contents.counts.torn, "record") << " of an incomplete write: never acted on, no loss\n";
  if (!folder.damaged()) {
    out << "sound\n";
    return;
  }
  out << "DAMAGED: " << counted(contents.damage.size(), "place") << ", about "
      << counted(contents.counts.missing, "record") << " missing; " << counted(contents.doubtful, "message")
      << " held may have been sent without a record\n";
}

void show_all(const Folder& folder, std::ostream& out) {
  const Contents& contents = folder.contents;
  constexpr std::size_t kMaxIdColumns = 48, kMaxNameColumns = 24;
  out << counted(contents.table.held().size(), "message") << " held\n";
  if (!contents.table.held().empty()) {
    std::vector<Row> rows = {
        {"number", "id", "class", "tenant", "destination", "deadline in", "attempts", "ends"}};
    for (const auto& [number, held] : contents.table.held()) {
      const Message& message = held.message;
      rows.push_back({std::to_string(number), shortened(printable(message.id), kMaxIdColumns),
                      shortened(printable(message.message_class), kMaxNameColumns),
                      shortened(printable(message.tenant), kMaxNameColumns),
                      std::to_string(message.destination), duration(message.deadline - folder.now),
                      outcomes_of(held), end_of(held)});
    }
    print_table(rows, out);
  }
  out << '\n' << counted(contents.table.remembered(), "id") << " remembered\n";
  if (contents.table.remembered() > 0) {
    std::vector<Row> rows = {{"number", "id", "for"}};
    for (const auto& over : contents.table.remembered_ids())
      rows.push_back({std::to_string(over.number), shortened(printable(over.id), kMaxIdColumns),
                      duration(over.remember_until - folder.now)});
    print_table(rows, out);
  }
  out << '\n' << counted(contents.table.facts().size(), "fact") << '\n';
  if (!contents.table.facts().empty()) {
    std::vector<Row> rows = {{"key", "value"}};
    for (const auto& [key, value] : contents.table.facts())
      rows.push_back({printable(key), printable(value)});
    print_table(rows, out);
  }
}

bool show_one(const Folder& folder, const std::string& id, bool body, std::ostream& out) {
  bool any = false;
  for (const auto& [number, held] : folder.contents.table.held()) {
    if (held.message.id != id && "#" + std::to_string(number) != id) continue;
    print_message(folder, number, held, body, out);
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

void print_losses(const Folder& folder, std::ostream& out) {
  const Contents& contents = folder.contents;
  for (const auto& damage : contents.damage)
    out << "lost: " << text(damage, file_of(folder, damage.segment)) << '\n';
  for (const auto& run : contents.missing) out << "lost: " << name_of(run) << '\n';
  for (const auto& [number, held] : contents.table.held())
    if (held.doubt) out << "in doubt: message " << number << ", id " << printable(held.message.id) << '\n';
  if (folder.damaged())
    out << "about " << counted(contents.counts.missing, "record")
        << " lost: messages may be lost, and finished ones may be held again (in doubt)\n";
}

}  // namespace heronvane::store::tool
