// The content of a MemoryDisk: the bytes of its files, shared between copies, and their names.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <cstring>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "memory_disk.hpp"

namespace heronvane::store::testing {

// splitmix64: the same sequence for a seed with every standard library.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t below(std::uint64_t n) {
    std::uint64_t x = state_ += 0x9e3779b97f4a7c15;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
    x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
    return (x ^ (x >> 31)) % n;
  }

 private:
  std::uint64_t state_;
};

// The bytes of a file in chunks that copies share until one changes them.
class MemoryDisk::Content {
 public:
  std::uint64_t size() const { return size_; }

  std::uint64_t used() const {
    std::uint64_t n = 0;
    for (const auto& s : slots_) n += static_cast<std::uint64_t>(std::popcount(s.blocks));
    return n * kBlock;
  }

  std::size_t read(std::uint64_t offset, char* to, std::size_t size) const {
    if (offset >= size_) return 0;
    size = static_cast<std::size_t>(std::min<std::uint64_t>(size, size_ - offset));
    each_chunk(offset, size, [&](std::size_t slot, std::size_t at, std::size_t done, std::size_t n) {
      if (slot < slots_.size() && slots_[slot].data) {
        std::memcpy(to + done, slots_[slot].data->data() + at, n);
      } else {
        std::memset(to + done, 0, n);
      }
    });
    return size;
  }

  // How many of `size` bytes, from the first on, can be written with `free_space` bytes of new blocks.
  std::size_t fits(std::uint64_t offset, std::size_t size, std::uint64_t free_space) const {
    for (std::uint64_t at = offset; at < offset + size; at = (at / kBlock + 1) * kBlock) {
      if (is_allocated(at / kBlock)) continue;
      if (free_space < kBlock) return static_cast<std::size_t>(at - offset);
      free_space -= kBlock;
    }
    return size;
  }

  void write(std::uint64_t offset, std::string_view bytes) {
    if (bytes.empty()) return;
    allocate_range(offset, offset + bytes.size());
    each_chunk(offset, bytes.size(), [&](std::size_t slot, std::size_t at, std::size_t done, std::size_t n) {
      std::memcpy(make_unique_chunk(slot).data() + at, bytes.data() + done, n);
    });
    size_ = std::max<std::uint64_t>(size_, offset + bytes.size());
  }

  void resize(std::uint64_t size) {
    // Truncated bytes must not reappear when the file grows.
    const std::size_t slot = static_cast<std::size_t>(size / kChunk), at = size % kChunk;
    if (size < size_ && at != 0 && slot < slots_.size() && slots_[slot].data) {
      const auto end = std::min<std::uint64_t>(kChunk, size_ - size + at);
      std::memset(make_unique_chunk(slot).data() + at, 0, static_cast<std::size_t>(end - at));
    }
    size_ = size;
    slots_.resize(std::min(slots_.size(), slot + (at != 0)));
    if (at != 0 && slots_.size() == slot + 1) {
      const auto kept_blocks = (at + kBlock - 1) / kBlock;
      if (kept_blocks < kChunkBlocks) slots_[slot].blocks &= (std::uint32_t{1} << kept_blocks) - 1;
    }
  }

  void allocate(std::uint64_t bytes) { allocate_range(0, bytes); }

 private:
  static constexpr std::size_t kChunk = 16'384, kChunkBlocks = kChunk / kBlock;
  using Chunk = std::array<char, kChunk>;
  struct Slot {
    std::shared_ptr<Chunk> data;  // null: zeros
    std::uint32_t blocks = 0;     // a bit for each allocated block
  };
  static_assert(kChunkBlocks == 32);

  template <typename F>
  static void each_chunk(std::uint64_t offset, std::size_t size, const F& f) {
    for (std::size_t done = 0; done < size;) {
      const std::size_t at = static_cast<std::size_t>((offset + done) % kChunk);
      const std::size_t n = std::min(size - done, kChunk - at);
      f(static_cast<std::size_t>((offset + done) / kChunk), at, done, n);
      done += n;
    }
  }

  bool is_allocated(std::uint64_t block) const {
    const auto slot = static_cast<std::size_t>(block / kChunkBlocks);
    return slot < slots_.size() && (slots_[slot].blocks >> (block % kChunkBlocks) & 1) != 0;
  }

  void allocate_range(std::uint64_t from, std::uint64_t to) {
    const auto slots = static_cast<std::size_t>((to + kChunk - 1) / kChunk);
    if (slots_.size() < slots) slots_.resize(slots);
    for (std::uint64_t b = from / kBlock; b * kBlock < to; ++b) {
      slots_[static_cast<std::size_t>(b / kChunkBlocks)].blocks |= std::uint32_t{1} << (b % kChunkBlocks);
    }
  }

  Chunk& make_unique_chunk(std::size_t slot) {
    auto& data = slots_[slot].data;
    if (!data) {
      data = std::make_shared<Chunk>();
    } else if (data.use_count() != 1) {
      data = std::make_shared<Chunk>(*data);
    }
    return *data;
  }

  std::uint64_t size_ = 0;
  std::vector<Slot> slots_;
};

struct MemoryDisk::Folder {
  struct Inode {
    Content content;
    bool folder = false, named = true;
    int open = 0;
  };
  std::map<std::string, std::uint64_t> names;
  std::map<std::uint64_t, Inode> inodes;
  std::uint64_t next = 1;

  Folder image() const {
    Folder f = *this;
    std::erase_if(f.inodes, [](const auto& i) { return !i.second.named; });
    for (auto& [id, inode] : f.inodes) inode.open = 0;
    return f;
  }

  Inode* find(const std::string& name) {
    const auto i = names.find(name);
    return i == names.end() ? nullptr : &inodes.at(i->second);
  }
  std::uint64_t id(const std::string& name) const {
    const auto i = names.find(name);
    return i == names.end() ? 0 : i->second;
  }

  std::uint64_t bytes() const {
    std::uint64_t sum = 0;
    for (const auto& [id, inode] : inodes) {
      if (inode.named) sum += (inode.content.size() + kBlock - 1) / kBlock * kBlock;
    }
    return sum;
  }
  std::uint64_t used() const {
    std::uint64_t sum = 0;
    for (const auto& [id, inode] : inodes) sum += inode.content.used();
    return sum;
  }

  void remove_name(const std::string& name) {
    const auto i = names.find(name);
    if (i == names.end()) return;
    const auto inode = inodes.find(i->second);
    inode->second.named = false;
    if (inode->second.open == 0) inodes.erase(inode);
    names.erase(i);
  }

  // Applies a recorded operation; does nothing if the name stands for another file by now or the file is
  // gone.
  void apply(const Operation& o) {
    if (o.error && o.kind != Kind::write) return;
    const auto file = inodes.find(o.inode);
    switch (o.kind) {
      case Kind::create:
      case Kind::make_folder:
        next = std::max(next, o.inode + 1);
        if (names.emplace(o.name, o.inode).second) inodes[o.inode].folder = o.kind == Kind::make_folder;
        break;
      case Kind::write:
        if (file != inodes.end()) file->second.content.write(o.offset, o.bytes);
        break;
      case Kind::truncate:
        if (file != inodes.end()) file->second.content.resize(o.offset);
        break;
      case Kind::allocate:
        if (file != inodes.end()) file->second.content.allocate(o.offset);
        break;
      case Kind::rename:
        if (id(o.name) != o.inode || o.name == o.to) break;
        remove_name(o.to);
        names.erase(o.name);
        names[o.to] = o.inode;
        break;
      case Kind::remove:
        if (id(o.name) == o.inode) remove_name(o.name);
        break;
      case Kind::sync:
      case Kind::sync_folder:
        break;
    }
  }

  // Applies a prefix of a write or some of its sectors.
  void apply_torn(const Operation& o, Random& random) {
    const auto file = inodes.find(o.inode);
    if (file == inodes.end()) return;
    auto& content = file->second.content;
    const std::string_view bytes = o.bytes;
    if (random.below(2) == 0) {
      content.write(o.offset, bytes.substr(0, static_cast<std::size_t>(random.below(bytes.size() + 1))));
      return;
    }
    for (std::size_t at = 0; at < bytes.size();) {
      const auto n = std::min(bytes.size() - at, static_cast<std::size_t>(kBlock - (o.offset + at) % kBlock));
      if (random.below(2) == 0) content.write(o.offset + at, bytes.substr(at, n));
      at += n;
    }
    const auto end = o.offset + bytes.size();
    if (random.below(2) == 0 && content.size() < end) content.resize(end);
  }
};

}  // namespace heronvane::store::testing
