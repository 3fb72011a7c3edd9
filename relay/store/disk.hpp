// The folder that lasts, as a few operations on files: the only place with system calls on them.
//
// Names are plain file names within the folder. Every operation may fail, and tells so by its error code;
// none throws. What was written outlasts the process at once; it outlasts the machine only after sync()
// (content and size) and sync_folder() (names). One thread uses a Disk; sync() and
// sync_folder() alone may be called from another meanwhile, on files that are not closed until it returns.
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
  enum class Access { read, write, create };  // `write` reads too; `create` writes a file that must not exist
  struct Entry {
    std::string name;
    std::uint64_t bytes = 0;  // its size; 0 of a folder
    bool folder = false;
  };

  virtual ~Disk() = default;

  // All files and folders, in the order of their names.
  virtual std::error_code list(std::vector<Entry>& entries) = 0;
  virtual std::error_code open(const std::string& name, Access access, FileId& file) = 0;
  virtual void close(FileId file) = 0;
  // Reads up to `size` bytes; fewer only at the file's end.
  virtual std::error_code read(FileId file, std::uint64_t offset, char* bytes, std::size_t size,
                               std::size_t& got) = 0;
  // Writes all of `bytes`, or tells an error and in `written` how many of them, from the first on, may stand
  // in the file.
  virtual std::error_code write(FileId file, std::uint64_t offset, std::string_view bytes,
                                std::size_t& written) = 0;
  // Cuts or extends the file; gives room that was set aside past `size` back.
  virtual std::error_code truncate(FileId file, std::uint64_t size) = 0;
  // Sets room aside for the first `bytes` bytes of the file, so that writes to them can't fail for want of
  // it. Its size stays. operation_not_supported where the file system can't.
  virtual std::error_code allocate(FileId file, std::uint64_t bytes) = 0;
  virtual std::error_code sync(FileId file) = 0;
  virtual std::error_code sync_folder() = 0;
  // Takes the place of `to` at once, where it exists.
  virtual std::error_code rename(const std::string& from, const std::string& to) = 0;
  virtual std::error_code remove(const std::string& name) = 0;
  virtual std::error_code make_folder(const std::string& name) = 0;
};

// Another process has the folder.
class FolderInUse : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The files of `path`, owned by this process until the Disk goes: flock() on the folder's own descriptor,
// which no child inherits and which creates no file. Throws FolderInUse, or std::system_error where the
// folder can't be opened. `read_only`: nothing in it is changed, and a shared lock is taken, so that it may
// be looked at by several but not while a relay has it.
std::unique_ptr<Disk> open_folder(const std::string& path, bool read_only = false);

}  // namespace heronvane::store
