// Measures the time to start on files that hold 100,000 messages.
#include <boost/crc.hpp>

#include "sqlite_side.hpp"
#include "store_side.hpp"

namespace heronvane::bench {
namespace {

constexpr std::uint64_t kLimit = 512 << 20;
constexpr std::size_t kHeld = 100'000, kEach = 100;

using Sum = std::uint32_t (*)(std::string_view);

std::uint32_t boosts(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}
std::uint32_t stores(std::string_view bytes) { return store::sum_of(0, bytes); }

// Reads all files of the folder and computes `sum` of each piece. Returns the seconds taken; sets `bytes` to
// the bytes read.
double read_and_sum(store::Disk& disk, Sum sum, std::uint64_t& bytes) {
  const auto begun = Clock::now();
  std::vector<store::Disk::Entry> entries;
  disk.list(entries);
  std::string piece(1 << 20, '\0');
  bytes = 0;
  volatile std::uint32_t sums = 0;  // volatile, so that the compiler keeps the sums
  for (const auto& e : entries) {
    store::FileId file = -1;
    if (e.folder || disk.open(e.name, store::Disk::Access::read, file)) continue;
    std::uint64_t at = 0;
    for (std::size_t got = 1; got > 0; at += got) {
      if (disk.read(file, at, piece.data(), piece.size(), got)) break;
      sums = sums ^ sum(std::string_view(piece).substr(0, got));
    }
    disk.close(file);
    bytes += at;
  }
  return seconds_since(begun);
}

}  // namespace

void recovery(const Settings& settings) {
  const Scratch scratch(settings.folder, "recovery");
  const auto store_folder = scratch.path() / "store", sqlite_folder = scratch.path() / "sqlite";
  std::filesystem::create_directory(store_folder), std::filesystem::create_directory(sqlite_folder);
  Rounds rounds;
  rounds.lag = kHeld / kEach;
  store::Options options;
  options.limit_bytes = kLimit;
  {
    StoreSide store(store_folder, options, rounds);
    SqliteSide sqlite(sqlite_folder, Synchronous::normal, Attempts::table, rounds);
    // 200 rounds more than are held, so that some messages have ended and their ids are remembered.
    for (std::size_t i = 0; i < rounds.lag + 200; i++) store.round(kEach), sqlite.round(kEach);
  }
  Samples start, baseline, own, sqlite_start;
  std::uint64_t bytes = 0;
  for (int i = 0; i < settings.repeats + 2; i++) {
    {
      const auto disk = store::open_folder(store_folder.string());
      baseline.add(read_and_sum(*disk, boosts, bytes));
      own.add(read_and_sum(*disk, stores, bytes));
    }
    {
      const auto begun = Clock::now();
      const StoreSide store(store_folder, options, rounds);
      start.add(seconds_since(begun));
    }
    {
      const auto begun = Clock::now();
      SqliteSide sqlite(sqlite_folder, Synchronous::normal, Attempts::table, rounds);
      const auto found = sqlite.read();
      sqlite_start.add(seconds_since(begun));
      if (found.held.size() != kHeld) throw std::runtime_error("SQLite holds other messages");
    }
  }
  Table table({"", "ms", "x"});
  const auto row = [&](const std::string& name, const Samples& s) {
    table.row({name, s.spread(0, 1e3), text(s.median() / baseline.median(), 2)});
  };
  row("read and sum up the same bytes, Boost's CRC-32", baseline);
  row("read and sum up the same bytes, the store's", own);
  row("store: start", start);
  row("SQLite: open, read into the same structures", sqlite_start);
  table.print("start with 100,000 messages held and 20,000 ids (" + std::to_string(bytes >> 20) +
              " MB of records; page cache warm)");
}

}  // namespace heronvane::bench
