// File operations on the store's folder; the only place with system calls on its files.
//
// Names are plain file names within the folder. Operations report errors by error code; none throws. Written
// data survives the end of the process at once; it survives a loss of power only after sync() (content and
// size) and sync_folder() (names). A Disk is used by one thread; only sync() and sync_folder() may be called
// from another at the same time, on files that are not closed until the call returns.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace heronvane::store {

// An open file. Valid from open() until close(); never negative.
using FileId = int;

class Disk {
 public:
  enum class Access {
    read,
    write,
    create
  };  // `write` may read too; `create` writes a file that must not exist yet
  struct Entry {
    std::string name;
    std::uint64_t bytes = 0;  // size of the file; 0 for a folder
    bool folder = false;
  };

  virtual ~Disk() = default;

  // Lists all files and folders, ordered by name.
  virtual std::error_code list(std::vector<Entry>& entries) = 0;
  virtual std::error_code open(const std::string& name, Access access, FileId& file) = 0;
  virtual void close(FileId file) = 0;
  // Reads up to `size` bytes; fewer only at the end of the file.
  virtual std::error_code read(FileId file, std::uint64_t offset, char* bytes, std::size_t size,
                               std::size_t& got) = 0;
  // Writes all of `bytes`, or returns an error and in `written` how many of them, from the first on, the file
  // may contain.
  virtual std::error_code write(FileId file, std::uint64_t offset, std::string_view bytes,
                                std::size_t& written) = 0;
  // Truncates or extends the file; releases space that was allocated past `size`.
  virtual std::error_code truncate(FileId file, std::uint64_t size) = 0;
  // Allocates space for the first `bytes` bytes of the file, so that writes to them can't fail for lack of
  // space. Its size stays. operation_not_supported if the file system can't.
  virtual std::error_code allocate(FileId file, std::uint64_t bytes) = 0;
  virtual std::error_code sync(FileId file) = 0;
  virtual std::error_code sync_folder() = 0;
  // Replaces `to` atomically if it exists.
  virtual std::error_code rename(const std::string& from, const std::string& to) = 0;
  virtual std::error_code remove(const std::string& name) = 0;
  virtual std::error_code make_folder(const std::string& name) = 0;
};

// Another process has locked the folder.
class FolderInUse : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Opens the folder `path` and locks it until the Disk is destroyed, with flock() on the folder's own
// descriptor, which no child inherits and which creates no file. `read_only`: changes nothing and takes a
// shared lock, so several processes may read the folder, but not while a relay uses it. Throws FolderInUse,
// or std::system_error if the folder can't be opened.
std::unique_ptr<Disk> open_folder(const std::string& path, bool read_only = false);

}  // namespace heronvane::store
