// snapshot: copies the folder of a running relay as of one moment; restore: makes a new folder from a
// snapshot.
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

constexpr int kMaxTries = 50;
constexpr auto kRetryPause = std::chrono::milliseconds(20);
constexpr std::size_t kCopyChunkBytes = 1 << 20;
const std::string kSegmentsFolder = "segments", kSyncFailedMarker = "sync-failed";

// Names of the segment files, ordered by name and so by segment number.
std::vector<std::string> segments_of(const fs::path& folder) {
  std::vector<std::string> names;
  for (const auto& entry : fs::directory_iterator(folder)) {
    const std::string name = entry.path().filename();
    std::error_code ignored;
    if (entry.is_regular_file(ignored) && name.compare(0, 8, "segment-") == 0) names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

// Copies the present content of a file, which may grow meanwhile. False if the file does not exist any more.
// Reads without the lock that the relay holds.
bool copy_file(const fs::path& from, Disk& to, const std::string& name) {
  std::ifstream in(from, std::ios::binary);
  if (!in && !fs::exists(from)) return false;
  if (!in) throw StoreError(from.string() + ": the file can't be read");
  std::error_code error;
  const std::uint64_t size = fs::file_size(from, error);
  if (error == std::errc::no_such_file_or_directory) return false;  // removed since it was opened
  if (error) throw std::system_error(error, from.string());
  FileId out = -1;
  const auto check = [&](std::error_code failed) {
    if (failed) throw std::system_error(failed, name);
  };
  check(to.open(name, Disk::Access::create, out));
  std::string chunk(kCopyChunkBytes, '\0');
  for (std::uint64_t at = 0; at < size;) {
    in.read(chunk.data(), static_cast<std::streamsize>(std::min<std::uint64_t>(kCopyChunkBytes, size - at)));
    const auto bytes_read = static_cast<std::size_t>(in.gcount());
    if (bytes_read == 0) break;
    std::size_t written = 0;
    check(to.write(out, at, std::string_view(chunk).substr(0, bytes_read), written));
    at += bytes_read;
  }
  check(to.sync(out));
  to.close(out);
  return true;
}

// One attempt: links sealed segments, then copies the last one, which grows. The result is the state at some
// record of the last segment, whatever the relay does meanwhile, as long as no listed segment is removed
// before it was linked: an earlier segment may contain records that became obsolete with the removal. Returns
// false if one was removed.
bool try_snapshot(const fs::path& from, const fs::path& to) {
  for (const auto& entry : fs::directory_iterator(to)) fs::remove(entry.path());
  const auto names = segments_of(from);
  if (names.empty()) return false;
  const auto disk = open_folder(to);
  for (const auto& name : names) {
    std::error_code error;
    if (name != names.back()) fs::create_hard_link(from / name, to / name, error);
    if (error == std::errc::no_such_file_or_directory) return false;
    // Links fail across file systems and on those without links.
    if ((error || name == names.back()) && !copy_file(from / name, *disk, name)) return false;
  }
  if (fs::exists(from / kSyncFailedMarker) && !copy_file(from / kSyncFailedMarker, *disk, kSyncFailedMarker))
    return false;
  if (const auto error = disk->sync_folder()) throw std::system_error(error, to);
  return true;
}

}  // namespace

void snapshot(const std::string& from, const std::string& to, std::ostream& out) {
  if (!fs::is_directory(from)) throw StoreError(from + " is not a folder");
  if (segments_of(from).empty())
    throw StoreError(from + " holds no file of a store: name the folder that LB_STATE names");
  if (fs::exists(to) && !fs::is_empty(to)) throw StoreError(to + " exists and is not empty");
  // In a subfolder: a relay started on a snapshot finds no store there, and sends nothing twice.
  const fs::path segments_folder = fs::path(to) / kSegmentsFolder;
  fs::create_directories(segments_folder);
  int tries = 1;
  while (!try_snapshot(from, segments_folder)) {
    if (++tries > kMaxTries) {
      fs::remove_all(segments_folder);
      throw StoreError(from + ": its files change too fast; nothing was kept, try again");
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  const Folder folder = read(segments_folder);
  out << printable(to) << ": " << folder.contents.table.held().size() << " messages, "
      << folder.contents.table.remembered() << " ids, " << segments_of(segments_folder).size()
      << " segments, " << (tries == 1 ? "at the first try" : "after " + std::to_string(tries) + " tries")
      << '\n';
  if (folder.damaged())
    out << "the folder is damaged: see heronvane-store verify " << printable(segments_folder.string())
        << '\n';
}

void restore(const std::string& snapshot, const std::string& to, std::ostream& out) {
  const fs::path segments_folder = fs::path(snapshot) / kSegmentsFolder;
  if (!fs::is_directory(segments_folder))
    throw StoreError(snapshot + " is no snapshot: it has no folder " + kSegmentsFolder);
  Folder folder = read(segments_folder);
  auto& table = folder.contents.table;
  std::vector<MessageId> numbers;
  for (const auto& [number, held] : table.held()) numbers.push_back(number);
  // Each message may have been sent, delivered or finished since the snapshot.
  for (const MessageId number : numbers) table.doubt(number);
  // Its promises as a holder of copies were made on the disk that was lost.
  table.fact(record::Fact{"copies.member", {}});
  rewrite(folder, to);
  print_losses(folder, out);
  std::size_t given_up = 0;
  for (const auto& [number, held] : table.held()) given_up += held.ending.has_value();
  out << printable(to) << ": " << numbers.size() << " messages, as they were "
      << "at " + date(folder.anchor.persistent + folder.wall_offset) << ". " << given_up
      << " of them were given up; their outcome notifications are sent again. Each of the others may have "
         "run or been ended since: those that must not run twice are ended as undeliverable at the start, "
         "the rest are sent again. Messages accepted after the snapshot are not in it.\n";
}

}  // namespace heronvane::store::tool
