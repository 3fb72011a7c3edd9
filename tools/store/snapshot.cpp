// snapshot: the folder of a relay that runs, as it is at one moment; restore: a new folder from one.
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "commands.hpp"
#include "store/disk.hpp"
#include "text.hpp"

namespace heronvane::store::tool {
namespace {

namespace fs = std::filesystem;

constexpr int kTries = 50;
constexpr auto kPause = std::chrono::milliseconds(20);
constexpr std::size_t kPiece = 1 << 20;
const std::string kSegments = "segments", kMarker = "sync-failed";

// Of its segments, in the order of their numbers, which is that of their names.
std::vector<std::string> segments_of(const fs::path& folder) {
  std::vector<std::string> names;
  for (const auto& f : fs::directory_iterator(folder)) {
    const std::string name = f.path().filename();
    std::error_code gone;
    if (f.is_regular_file(gone) && name.compare(0, 8, "segment-") == 0) names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

// What is in it now; it may grow meanwhile. False: it is gone. Read without the lock that a relay has.
bool copy_file(const fs::path& from, Disk& to, const std::string& name) {
  std::ifstream in(from, std::ios::binary);
  if (!in && !fs::exists(from)) return false;
  if (!in) throw StoreError(from.string() + ": can't be read");
  std::error_code error;
  const std::uint64_t size = fs::file_size(from, error);
  if (error == std::errc::no_such_file_or_directory) return false;  // it went since it was opened
  if (error) throw std::system_error(error, from.string());
  FileId out = -1;
  const auto check = [&](std::error_code failed) {
    if (failed) throw std::system_error(failed, name);
  };
  check(to.open(name, Disk::Access::create, out));
  std::string piece(kPiece, '\0');
  for (std::uint64_t at = 0; at < size;) {
    in.read(piece.data(), static_cast<std::streamsize>(std::min<std::uint64_t>(kPiece, size - at)));
    const auto got = static_cast<std::size_t>(in.gcount());
    if (got == 0) break;
    std::size_t written = 0;
    check(to.write(out, at, std::string_view(piece).substr(0, got), written));
    at += got;
  }
  check(to.sync(out));
  to.close(out);
  return true;
}

// One try: closed segments by links, the last one, which grows, copied after them. That is the state at some
// record of the last one, whatever the relay does meanwhile, as long as none of them went before it was got:
// a record that is dead once another segment has gone may stand in it. False: one did.
bool try_snapshot(const fs::path& from, const fs::path& to) {
  for (const auto& f : fs::directory_iterator(to)) fs::remove(f.path());
  const auto names = segments_of(from);
  if (names.empty()) return false;
  const auto disk = open_folder(to);
  for (const auto& name : names) {
    std::error_code error;
    if (name != names.back()) fs::create_hard_link(from / name, to / name, error);
    if (error == std::errc::no_such_file_or_directory) return false;
    // Another file system, or one without links.
    if ((error || name == names.back()) && !copy_file(from / name, *disk, name)) return false;
  }
  if (fs::exists(from / kMarker) && !copy_file(from / kMarker, *disk, kMarker)) return false;
  if (const auto error = disk->sync_folder()) throw std::system_error(error, to);
  return true;
}

}  // namespace

void snapshot(const std::string& from, const std::string& to, std::ostream& out) {
  if (!fs::is_directory(from)) throw StoreError(from + ": is no folder");
  if (segments_of(from).empty())
    throw StoreError(from + " holds no file of a store: name the folder that LB_STATE names");
  if (fs::exists(to) && !fs::is_empty(to)) throw StoreError(to + ": is there already, and not empty");
  // In a folder of their own: a relay that is started on a snapshot finds nothing, and sends nothing again.
  const fs::path place = fs::path(to) / kSegments;
  fs::create_directories(place);
  int tries = 1;
  while (!try_snapshot(from, place)) {
    if (++tries > kTries) {
      fs::remove_all(place);
      throw StoreError(from + ": its files change too fast; nothing was kept, try again");
    }
    std::this_thread::sleep_for(kPause);
  }
  const Folder folder = read(place);
  out << printable(to) << ": " << folder.contents.table.held().size() << " messages, "
      << folder.contents.table.remembered() << " ids, " << segments_of(place).size() << " segments, "
      << (tries == 1 ? "at the first try" : "after " + std::to_string(tries) + " tries") << '\n';
  if (folder.damaged())
    out << "the folder is damaged: see heronvane-store verify " << printable(place.string()) << '\n';
}

void restore(const std::string& snapshot, const std::string& to, std::ostream& out) {
  const fs::path place = fs::path(snapshot) / kSegments;
  if (!fs::is_directory(place))
    throw StoreError(snapshot + ": is no snapshot: it has no folder " + kSegments);
  Folder folder = read(place);
  auto& table = folder.contents.table;
  std::vector<MessageId> numbers;
  for (const auto& [number, held] : table.held()) numbers.push_back(number);
  // Each may have been sent, delivered or ended since.
  for (const MessageId number : numbers) table.doubt(number);
  // Its promises as a holder of copies were made by the disk that is gone.
  table.fact(record::Fact{"copies.member", {}});
  rewrite(folder, to);
  tell_losses(folder, out);
  std::size_t owed = 0;
  for (const auto& [number, held] : table.held()) owed += held.ending.has_value();
  out << printable(to) << ": " << numbers.size() << " messages, as they were "
      << "at " + date(folder.anchor.persistent + folder.to_wall) << ". " << owed
      << " are given up, and their notices go again. Each of the others may have run or been ended since: "
         "those "
         "that must not run twice are ended as undeliverable at the start, the rest are sent again. What was "
         "taken on later is not in it.\n";
}

}  // namespace heronvane::store::tool
