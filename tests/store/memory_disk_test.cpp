// Tests the test double: MemoryDisk must behave like a file system.
#include "memory_disk.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <set>
#include <thread>

namespace heronvane::store::testing {
namespace {

using Access = Disk::Access;

class MemoryDiskTest : public ::testing::Test {
 protected:
  FileId open(const std::string& name, Access access = Access::create) {
    FileId file = -1;
    EXPECT_EQ(disk.open(name, access, file), std::error_code{}) << name;
    return file;
  }
  void write(FileId file, std::uint64_t offset, const std::string& bytes) {
    std::size_t written = 0;
    EXPECT_EQ(disk.write(file, offset, bytes, written), std::error_code{});
    EXPECT_EQ(written, bytes.size());
  }
  std::string read(FileId file, std::uint64_t offset, std::size_t size) {
    std::string bytes(size, '?');
    std::size_t got = 0;
    EXPECT_EQ(disk.read(file, offset, bytes.data(), size, got), std::error_code{});
    return bytes.substr(0, got);
  }
  static std::string names(Disk& d) {
    std::vector<Disk::Entry> entries;
    EXPECT_EQ(d.list(entries), std::error_code{});
    std::string all;
    for (const auto& e : entries) all += e.name + (e.folder ? "/ " : " ");
    return all;
  }
  static std::string content(const MemoryDisk& d, const std::string& name) {
    return d.exists(name) ? d.contents(name) : "-";
  }

  MemoryDisk disk;
  FileId none = -1;
  std::size_t count = 0;
};

TEST_F(MemoryDiskTest, ListsFilesAndFoldersInOrderOfName) {
  write(open("b"), 0, "12345");
  open("a");
  EXPECT_FALSE(disk.make_folder("c"));
  std::vector<Disk::Entry> entries = {{"left over", 1, false}};
  ASSERT_FALSE(disk.list(entries));
  ASSERT_EQ(entries.size(), 3U);
  EXPECT_EQ(names(disk), "a b c/ ");
  EXPECT_EQ(entries[1].bytes, 5U);
  EXPECT_EQ(entries[2].bytes, 0U);
}

TEST_F(MemoryDiskTest, OpensAsAsked) {
  EXPECT_EQ(disk.open("a", Access::read, none), std::errc::no_such_file_or_directory);
  EXPECT_EQ(disk.open("a", Access::write, none), std::errc::no_such_file_or_directory);
  const auto a = open("a");
  EXPECT_EQ(disk.open("a", Access::create, none), std::errc::file_exists);
  EXPECT_FALSE(disk.make_folder("f"));
  EXPECT_EQ(disk.make_folder("f"), std::errc::file_exists);
  EXPECT_EQ(disk.open("f", Access::read, none), std::errc::is_a_directory);
  EXPECT_EQ(disk.open("f", Access::create, none), std::errc::file_exists);
  EXPECT_EQ(disk.open("x/y", Access::create, none), std::errc::invalid_argument);
  EXPECT_EQ(none, -1);

  const auto reader = open("a", Access::read);
  EXPECT_NE(reader, a);
  EXPECT_EQ(disk.write(reader, 0, "x", count), std::errc::bad_file_descriptor);
  EXPECT_EQ(count, 0U);
  write(a, 0, "x");
  EXPECT_EQ(read(reader, 0, 9), "x");
  disk.close(a);
  EXPECT_EQ(disk.write(a, 0, "x", count), std::errc::bad_file_descriptor);
  EXPECT_EQ(disk.open_files(), 1U);
}

TEST_F(MemoryDiskTest, ReadsToTheEndAndFillsHolesWithZeros) {
  const auto a = open("a");
  write(a, 40'000, "end");
  EXPECT_EQ(read(a, 39'999, 100), std::string("\0end", 4));
  EXPECT_EQ(read(a, 0, 3), std::string(3, '\0'));
  EXPECT_EQ(read(a, 40'003, 5), "");
  EXPECT_EQ(read(a, 1'000'000, 5), "");
  EXPECT_EQ(disk.used(), 512U);
  EXPECT_EQ(disk.bytes(), 40'448U);
  write(a, 16'380, "over a chunk's end");
  EXPECT_EQ(read(a, 16'380, 18), "over a chunk's end");
  EXPECT_EQ(disk.write(a, MemoryDisk::kFileMax, "x", count), std::errc::file_too_large);
}

TEST_F(MemoryDiskTest, TruncatedBytesReadAsZeros) {
  const auto a = open("a");
  write(a, 0, std::string(40'000, 'x'));
  EXPECT_FALSE(disk.truncate(a, 20'000));
  EXPECT_FALSE(disk.truncate(a, 40'000));
  EXPECT_EQ(disk.contents("a"), std::string(20'000, 'x') + std::string(20'000, '\0'));
  EXPECT_EQ(disk.used(), 20'480U);
  EXPECT_FALSE(disk.truncate(a, 0));
  EXPECT_EQ(disk.used(), 0U);
}

TEST_F(MemoryDiskTest, RenameReplacesAndARemovedFileStaysWhileOpen) {
  const auto a = open("a"), b = open("b");
  write(a, 0, "A"), write(b, 0, "B");
  EXPECT_FALSE(disk.rename("a", "b"));
  EXPECT_EQ(names(disk), "b ");
  EXPECT_EQ(disk.contents("b"), "A");
  write(b, 1, "more");
  EXPECT_EQ(read(b, 0, 9), "Bmore");
  EXPECT_EQ(disk.bytes(), 512U);
  EXPECT_EQ(disk.used(), 1024U);
  disk.close(b);
  EXPECT_EQ(disk.used(), 512U);

  EXPECT_FALSE(disk.remove("b"));
  EXPECT_EQ(disk.remove("b"), std::errc::no_such_file_or_directory);
  EXPECT_EQ(disk.rename("b", "c"), std::errc::no_such_file_or_directory);
  write(open("b"), 0, "new");
  EXPECT_EQ(read(a, 0, 9), "A");
  EXPECT_FALSE(disk.make_folder("f"));
  EXPECT_EQ(disk.remove("f"), std::errc::is_a_directory);
  EXPECT_EQ(disk.rename("b", "f"), std::errc::is_a_directory);
  EXPECT_EQ(disk.rename("f", "b"), std::errc::not_a_directory);
  EXPECT_FALSE(disk.rename("b", "b"));
  EXPECT_EQ(disk.contents("b"), "new");
}

TEST_F(MemoryDiskTest, WritesFailBeyondTheCapacity) {
  disk.set_capacity(2048);
  const auto a = open("a"), b = open("b");
  EXPECT_FALSE(disk.allocate(a, 1000));
  EXPECT_EQ(disk.contents("a"), "");
  EXPECT_EQ(disk.used(), 1024U);
  EXPECT_EQ(disk.bytes(), 0U);
  EXPECT_EQ(disk.write(b, 100, std::string(2000, 'b'), count), std::errc::no_space_on_device);
  EXPECT_EQ(count, 924U);
  EXPECT_EQ(disk.contents("b").size(), 1024U);
  write(a, 0, std::string(1024, 'a'));  // its space was allocated
  EXPECT_EQ(disk.write(a, 1024, "x", count), std::errc::no_space_on_device);
  EXPECT_EQ(count, 0U);
  EXPECT_EQ(disk.allocate(a, 1025), std::errc::no_space_on_device);
  EXPECT_FALSE(disk.truncate(b, 512));
  EXPECT_FALSE(disk.allocate(a, 1025));
  EXPECT_EQ(disk.used(), 2048U);
  EXPECT_FALSE(disk.truncate(a, 1024));  // releases the space allocated past it
  EXPECT_EQ(disk.used(), 1536U);
  EXPECT_EQ(disk.bytes(), 1536U);
  EXPECT_EQ(disk.peak_bytes(), 2048U);
  disk.set_capacity(2047);  // less than a block is free
  EXPECT_EQ(disk.write(a, 1024, "x", count), std::errc::no_space_on_device);
  disk.set_capacity(0);
  write(a, 0, "in place");
}

TEST_F(MemoryDiskTest, NumbersAndRecordsWhatChangesTheFolder) {
  const auto a = open("a");
  write(a, 7, "bytes");
  read(a, 0, 9);
  open("a", Access::write);
  EXPECT_TRUE(disk.remove("x"));
  EXPECT_FALSE(disk.rename("a", "b"));
  EXPECT_FALSE(disk.sync(a));
  EXPECT_FALSE(disk.sync_folder());
  ASSERT_EQ(disk.operations(), 6U);
  EXPECT_EQ(disk.operations(Kind::write), 1U);
  EXPECT_EQ(disk.reads(), 1U);
  EXPECT_EQ(to_string(disk.operation(1)), "create a");
  EXPECT_EQ(to_string(disk.operation(2)), "write a 5 of 5 bytes at 7");
  EXPECT_EQ(disk.operation(2).bytes, "bytes");
  EXPECT_EQ(disk.operation(3).error, std::errc::no_such_file_or_directory);
  EXPECT_EQ(to_string(disk.operation(4)), "rename a to b");
  EXPECT_EQ(disk.operation(5).inode, disk.operation(1).inode);
  EXPECT_THROW(disk.operation(7), std::out_of_range);
  EXPECT_THROW(disk.operation(0), std::out_of_range);
  disk.settle();
  EXPECT_EQ(disk.operations(), 0U);
  EXPECT_EQ(disk.after(0)->contents("b").size(), 12U);
}

TEST_F(MemoryDiskTest, FailsTheOperationsPlanned) {
  const auto a = open("a");
  disk.fail(3, {.error = std::errc::io_error});
  disk.fail_from(5, {.part = 3}, 2);
  write(a, 0, "one");
  EXPECT_EQ(disk.write(a, 3, "two", count), std::errc::io_error);
  EXPECT_EQ(count, 0U);
  write(a, 3, "three");
  EXPECT_EQ(disk.write(a, 8, "fourth", count), std::errc::no_space_on_device);
  EXPECT_EQ(count, 3U);
  EXPECT_EQ(disk.rename("a", "b"), std::errc::no_space_on_device);
  EXPECT_FALSE(disk.rename("a", "b"));
  EXPECT_EQ(disk.contents("b"), "onethreefou");
  EXPECT_EQ(disk.after(6)->contents("a"), "onethreefou");

  disk.fail_from(disk.operations() + 1, {});
  for (int i = 0; i < 10; ++i) EXPECT_EQ(disk.sync(a), std::errc::no_space_on_device);
  EXPECT_EQ(disk.open("c", Access::create, none), std::errc::no_space_on_device);
  EXPECT_FALSE(disk.exists("c"));
  disk.clear_faults();
  EXPECT_FALSE(disk.sync(a));
  disk.fail_reads(std::errc::io_error);
  char c = 0;
  EXPECT_EQ(disk.read(a, 0, &c, 1, count), std::errc::io_error);
}

TEST_F(MemoryDiskTest, FailsOnlyOneKind) {
  const auto a = open("a");
  disk.fail(2, {.error = std::errc::io_error, .only = Kind::sync});
  disk.fail_from(1, {.only = Kind::allocate});
  EXPECT_FALSE(disk.sync(a));
  write(a, 0, "x");
  EXPECT_EQ(disk.allocate(a, 9), std::errc::no_space_on_device);
  EXPECT_EQ(disk.sync(a), std::errc::io_error);
  EXPECT_FALSE(disk.sync(a));
  EXPECT_EQ(disk.allocate(a, 9), std::errc::no_space_on_device);
}

TEST_F(MemoryDiskTest, AKillKeepsCompletedOperations) {
  const auto a = open("a");             // 1
  write(a, 0, "hello");                 // 2
  EXPECT_FALSE(disk.rename("a", "b"));  // 3
  write(a, 5, " world");                // 4
  EXPECT_FALSE(disk.truncate(a, 2));    // 5
  EXPECT_FALSE(disk.remove("b"));       // 6
  write(a, 2, "y");                     // 7: the file has no name
  EXPECT_FALSE(disk.make_folder("f"));  // 8
  EXPECT_EQ(names(*disk.after(0)), "");
  EXPECT_EQ(content(*disk.after(1), "a"), "");
  EXPECT_EQ(content(*disk.after(1, 3), "a"), "hel");
  EXPECT_EQ(content(*disk.after(1, 99), "a"), "hello");
  EXPECT_EQ(content(*disk.after(2, 99), "a"), "hello");  // operation 3 writes nothing
  EXPECT_EQ(content(*disk.after(4), "b"), "hello world");
  EXPECT_EQ(content(*disk.after(5), "b"), "he");
  EXPECT_EQ(names(*disk.after(7)), "");
  EXPECT_EQ(names(*disk.after(8)), "f/ ");
  EXPECT_EQ(content(*disk.after(3), "b"), "hello");  // an earlier n again
  EXPECT_EQ(disk.after(6)->used(), 0U);
  EXPECT_EQ(disk.used(), 512U);
  EXPECT_THROW(disk.after(9), std::out_of_range);
}

TEST_F(MemoryDiskTest, AnImageIsIndependentOfItsOrigin) {
  const auto a = open("a");
  write(a, 0, "hello");
  const auto first = disk.after(2), second = disk.after(2);
  FileId file = -1;
  ASSERT_FALSE(first->open("a", Access::write, file));
  ASSERT_FALSE(first->write(file, 0, "J", count));
  write(a, 4, "!");
  EXPECT_EQ(disk.contents("a"), "hell!");
  EXPECT_EQ(first->contents("a"), "Jello");
  EXPECT_EQ(second->contents("a"), "hello");
  EXPECT_EQ(content(*disk.after(2), "a"), "hello");
  EXPECT_EQ(first->operations(), 1U);
  EXPECT_EQ(first->after(0)->contents("a"), "hello");
  EXPECT_EQ(first->after(1)->contents("a"), "Jello");
}

TEST_F(MemoryDiskTest, APowerLossKeepsWhatWasSynced) {
  const auto a = open("a");            // 1
  write(a, 0, "one");                  // 2
  EXPECT_FALSE(disk.sync(a));          // 3
  EXPECT_FALSE(disk.sync_folder());    // 4
  write(a, 3, "two");                  // 5
  write(a, 6, "three");                // 6
  EXPECT_FALSE(disk.truncate(a, 10));  // 7
  EXPECT_FALSE(disk.sync(a));          // 8
  EXPECT_EQ(disk.unsynced(0), 0U);
  EXPECT_EQ(disk.unsynced(2), 2U);
  EXPECT_EQ(disk.unsynced(3), 1U);  // its name
  EXPECT_EQ(names(*disk.power_loss(3, LossChoice::none())), "");
  EXPECT_EQ(content(*disk.power_loss(3, LossChoice::only(1)), "a"), "one");
  EXPECT_EQ(content(*disk.power_loss(2, LossChoice::only(1)), "a"), "");
  EXPECT_EQ(content(*disk.power_loss(2, LossChoice::only(2)), "a"), "-");
  EXPECT_EQ(content(*disk.power_loss(2, LossChoice::all()), "a"), "one");
  EXPECT_EQ(disk.unsynced(4), 0U);
  EXPECT_EQ(content(*disk.power_loss(4, LossChoice::none()), "a"), "one");
  EXPECT_EQ(disk.unsynced(7), 3U);
  EXPECT_EQ(content(*disk.power_loss(7, LossChoice::none()), "a"), "one");
  EXPECT_EQ(content(*disk.power_loss(7, LossChoice::all()), "a"), "onetwothre");
  EXPECT_EQ(content(*disk.power_loss(7, LossChoice::only(1)), "a"), "onetwo");
  EXPECT_EQ(content(*disk.power_loss(7, LossChoice::only(2)), "a"), std::string("one\0\0\0three", 11));
  EXPECT_EQ(content(*disk.power_loss(7, LossChoice::only(3)), "a"), std::string("one\0\0\0\0\0\0\0", 10));
  EXPECT_EQ(disk.unsynced(8), 0U);
  EXPECT_EQ(content(*disk.power_loss(8, LossChoice::none()), "a"), "onetwothre");
  EXPECT_EQ(content(*disk.power_loss(3, LossChoice::only(1)), "a"), "one");  // an earlier n again
  EXPECT_THROW(disk.power_loss(7, LossChoice::only(4)), std::out_of_range);
  EXPECT_THROW(disk.power_loss(7, LossChoice::only(0)), std::out_of_range);
}

TEST_F(MemoryDiskTest, APowerLossMayUndoNames) {
  disk.put("log", "old");
  const auto t = open("tmp");               // 1
  write(t, 0, "new");                       // 2
  EXPECT_FALSE(disk.sync(t));               // 3
  EXPECT_FALSE(disk.rename("tmp", "log"));  // 4
  EXPECT_FALSE(disk.make_folder("f"));      // 5
  EXPECT_FALSE(disk.remove("log"));         // 6
  EXPECT_FALSE(disk.sync_folder());         // 7
  EXPECT_EQ(disk.unsynced(6), 4U);
  EXPECT_EQ(content(*disk.power_loss(4, LossChoice::none()), "log"), "old");
  EXPECT_EQ(content(*disk.power_loss(4, LossChoice::all()), "log"), "new");
  EXPECT_EQ(content(*disk.power_loss(4, LossChoice::only(1)), "tmp"), "new");
  EXPECT_EQ(content(*disk.power_loss(4, LossChoice::only(1)), "log"), "old");
  EXPECT_EQ(content(*disk.power_loss(4, LossChoice::only(2)), "log"), "old");  // no tmp to rename
  EXPECT_EQ(names(*disk.power_loss(6, LossChoice::only(3))), "f/ log ");
  EXPECT_EQ(content(*disk.power_loss(6, LossChoice::only(4)), "log"),
            "old");  // the name of another file then
  EXPECT_EQ(names(*disk.power_loss(6, LossChoice::all())), "f/ ");
  EXPECT_EQ(names(*disk.power_loss(7, LossChoice::none())), "f/ ");
}

TEST_F(MemoryDiskTest, AFailedSyncMakesNothingDurable) {
  disk.put("a", "");
  const auto a = open("a", Access::write);
  disk.fail(2, {.error = std::errc::io_error, .drops = true});
  disk.fail(6, {.error = std::errc::io_error});
  write(a, 0, "x");            // 1
  EXPECT_TRUE(disk.sync(a));   // 2: discards the x
  write(a, 1, "y");            // 3
  EXPECT_FALSE(disk.sync(a));  // 4
  write(a, 2, "z");            // 5
  EXPECT_TRUE(disk.sync(a));   // 6
  EXPECT_FALSE(disk.sync(a));  // 7
  EXPECT_EQ(disk.unsynced(2), 1U);
  EXPECT_EQ(content(*disk.power_loss(2, LossChoice::none()), "a"), "");
  EXPECT_EQ(disk.unsynced(6), 2U);
  EXPECT_EQ(content(*disk.power_loss(6, LossChoice::none()), "a"), std::string("\0y", 2));
  EXPECT_EQ(disk.unsynced(7), 1U);
  EXPECT_EQ(content(*disk.power_loss(7, LossChoice::none()), "a"), std::string("\0yz", 3));
  EXPECT_EQ(content(*disk.power_loss(7, LossChoice::only(1)), "a"), "xyz");
}

TEST_F(MemoryDiskTest, AnImageOfAKillTracksUnsyncedOperations) {
  disk.put("a", "");
  const auto a = open("a", Access::write);
  write(a, 0, "one");
  write(a, 3, "two");
  const auto image = disk.after(1, 2);
  EXPECT_EQ(image->contents("a"), "one" + std::string("tw"));
  EXPECT_EQ(image->unsynced(0), 2U);
  EXPECT_EQ(content(*image->power_loss(0, LossChoice::none()), "a"), "");
  FileId file = -1;
  ASSERT_FALSE(image->open("a", Access::write, file));
  ASSERT_FALSE(image->write(file, 5, "!", count));
  const auto again = image->after(1);
  EXPECT_EQ(content(*image->power_loss(1, LossChoice::only(3)), "a"), std::string("\0\0\0\0\0!", 6));
  EXPECT_EQ(content(*again->power_loss(0, LossChoice::only(2)), "a"), std::string("\0\0\0tw", 5));
  ASSERT_FALSE(image->sync(file));
  EXPECT_EQ(image->unsynced(2), 0U);
  EXPECT_EQ(content(*image->power_loss(2, LossChoice::none()), "a"), "onetw!");
  EXPECT_EQ(again->unsynced(0), 3U);
}

// Every sample is one of the possible states, and over the seeds all kinds of them occur.
TEST_F(MemoryDiskTest, SamplesTearAndDropWrites) {
  disk.put("a", std::string(2048, 'o'));
  const auto a = open("a", Access::write);
  write(a, 0, std::string(2048, 'x'));
  write(a, 2048, std::string(1000, 'y'));
  std::set<std::string> seen;
  bool prefix = false, sectors = false, hole = false;
  for (std::uint64_t seed = 0; seed < 4000; ++seed) {
    const auto s = disk.power_loss(2, LossChoice::sample(seed))->contents("a");
    EXPECT_EQ(s, disk.power_loss(2, LossChoice::sample(seed))->contents("a"));
    seen.insert(s);
    ASSERT_GE(s.size(), 2048U);
    ASSERT_LE(s.size(), 3048U);
    const auto old = s.substr(0, 2048), grown = s.substr(2048);
    ASSERT_EQ(old.find_first_not_of("ox"), std::string::npos);
    ASSERT_EQ(grown.find_first_not_of(std::string("\0y", 2)), std::string::npos);
    const auto turn = old.find("o");
    prefix |= turn != std::string::npos && turn % 512 != 0;
    sectors |= old.find("ox") != std::string::npos;
    hole |= grown.size() == 1000 && grown[0] == '\0' && grown[999] == 'y';
    for (auto i = old.find("ox"); i != std::string::npos; i = old.find("ox", i + 1))
      ASSERT_EQ((i + 1) % 512, 0U);
  }
  EXPECT_TRUE(prefix && sectors && hole);
  EXPECT_TRUE(seen.contains(std::string(2048, 'o')));
  EXPECT_TRUE(seen.contains(std::string(2048, 'x')));
  EXPECT_TRUE(seen.contains(std::string(2048, 'x') + std::string(1000, 'y')));
  EXPECT_TRUE(seen.contains(std::string(2048, 'o') + std::string(1000, 'y')));
}

TEST_F(MemoryDiskTest, DamagesFiles) {
  disk.put("a", "hello");
  disk.flip("a", 1, 0);
  EXPECT_EQ(disk.contents("a"), "hdllo");
  disk.zero("a", 1, 2);
  EXPECT_EQ(disk.contents("a"), std::string("h\0\0lo", 5));
  disk.cut("a", 4);
  EXPECT_EQ(disk.contents("a"), std::string("h\0\0l", 4));
  EXPECT_EQ(content(*disk.power_loss(0, LossChoice::none()), "a"), disk.contents("a"));
  disk.put("a", "anew");
  EXPECT_EQ(disk.contents("a"), "anew");
  EXPECT_THROW(disk.flip("a", 4, 0), std::out_of_range);
  EXPECT_THROW(disk.cut("a", 5), std::out_of_range);
  EXPECT_THROW(disk.zero("b", 0, 0), std::out_of_range);
  EXPECT_THROW(disk.contents("b"), std::out_of_range);
  EXPECT_EQ(disk.operations(), 0U);
}

TEST_F(MemoryDiskTest, SyncsFromASecondThread) {
  const auto a = open("a"), b = open("b");
  std::atomic<bool> over = false;
  std::thread other([&] {
    do {
      EXPECT_FALSE(disk.sync(a));
    } while (!over);
  });
  for (std::uint64_t i = 0; i < 1000; ++i) write(b, i, "x"), write(a, i, "y");
  over = true;
  other.join();
  EXPECT_EQ(disk.operations(), 2002 + disk.operations(Kind::sync));
  EXPECT_EQ(disk.after(disk.operations())->contents("a"), std::string(1000, 'y'));
}

TEST_F(MemoryDiskTest, ASyncDoesNotCoverWhatIsWrittenMeanwhile) {
  disk.put("a", "");
  const auto a = open("a", Access::write);
  write(a, 0, "before");
  disk.on_sync([&] { write(a, 6, " meanwhile"); });
  EXPECT_FALSE(disk.sync(a));
  EXPECT_EQ(disk.contents("a"), "before meanwhile");
  EXPECT_EQ(content(*disk.power_loss(disk.operations(), LossChoice::none()), "a"), "before");
}

// A log of 2,000 operations that alternates between two files; the folder has about 1 MB.
class Images : public MemoryDiskTest {
 protected:
  Images() {
    disk.put("keep", std::string(500'000, 'k'));
    int turn = 0;
    std::uint64_t end = 0;
    auto file = open("log.0");
    while (disk.operations() < 2000) {
      const std::string bytes(600 + disk.operations() % 900, static_cast<char>('a' + turn % 26));
      write(file, end, bytes);
      end += bytes.size();
      if (disk.operations() % 7 == 0) {
        EXPECT_FALSE(disk.sync(file));
      }
      if (end < 500'000) continue;
      disk.close(file);
      if (turn > 0) {
        EXPECT_FALSE(disk.remove("log." + std::to_string(turn - 1)));
      }
      file = open("log." + std::to_string(++turn));
      EXPECT_FALSE(disk.sync_folder());
      end = 0;
    }
  }
};

// Each image is written to, so copy on write is exercised.
TEST_F(Images, TenThousandAfterAKill) {
  std::size_t images = 0;
  for (std::size_t n = 0; n < 2000; ++n) {
    for (const std::size_t partial : {0, 1, 100, 512, 599}) {
      const auto image = disk.after(n, partial);
      FileId file = -1;
      ASSERT_FALSE(image->open("keep", Access::write, file));
      ASSERT_FALSE(image->write(file, 1000, "x", count));
      ++images;
    }
  }
  EXPECT_EQ(images, 10'000U);
  EXPECT_EQ(disk.contents("keep"), std::string(500'000, 'k'));
}

TEST_F(Images, TenThousandAfterAPowerLoss) {
  for (std::size_t n = 0; n < 2000; ++n) {
    for (std::uint64_t seed = 0; seed < 5; ++seed) {
      ASSERT_TRUE(disk.power_loss(n, LossChoice::sample(n * 5 + seed))->exists("keep"));
    }
  }
}

}  // namespace
}  // namespace heronvane::store::testing
