#include "partner_file.hpp"

#include <fcntl.h>
#include <sys/inotify.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <optional>

#include "partners.hpp"

namespace heronvane::fleet {

namespace net = boost::asio;
using boost::system::error_code;

namespace {

// A file modified less than this long ago may be modified again without a change of its timestamps.
constexpr std::int64_t kRecentNs = 2'000'000'000;

struct Descriptor {
  explicit Descriptor(int n) : fd(n) {}
  ~Descriptor() {
    if (fd >= 0) ::close(fd);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int fd;
};

std::int64_t nanoseconds(const timespec& time) {
  return std::int64_t{time.tv_sec} * 1'000'000'000 + time.tv_nsec;
}

// Tells versions of the file apart; all 0 if there is no file.
struct Identity {
  Identity() = default;
  explicit Identity(const struct stat& file_info)
      : device(file_info.st_dev),
        inode(file_info.st_ino),
        size(file_info.st_size),
        modified(nanoseconds(file_info.st_mtim)),
        changed(nanoseconds(file_info.st_ctim)) {}
  dev_t device = 0;
  ino_t inode = 0;
  off_t size = 0;
  std::int64_t modified = 0, changed = 0;
  bool operator==(const Identity&) const = default;
};

struct FileContent {
  std::string bytes, problem;
  Identity identity;
};

FileContent read_file(const std::string& path) {
  FileContent content;
  const auto failed = [&](const char* what) {
    content.problem = std::string("can't be read: ") + what;
    return std::move(content);
  };
  // O_NONBLOCK: opening a FIFO at this path must not block the event loop.
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  if (file.fd < 0) return failed(std::strerror(errno));
  struct stat file_info {};
  if (::fstat(file.fd, &file_info) != 0) return failed(std::strerror(errno));
  content.identity = Identity(file_info);
  if (!S_ISREG(file_info.st_mode)) return failed("it is not a regular file");
  if (static_cast<std::size_t>(file_info.st_size) > kMaxPartnersBytes)
    return failed(("it has more than " + std::to_string(kMaxPartnersBytes) + " bytes").c_str());
  // One byte more than its size, to detect a file that grows.
  content.bytes.resize(static_cast<std::size_t>(file_info.st_size) + 1);
  std::size_t received = 0;
  while (received < content.bytes.size()) {
    const auto n = ::read(file.fd, content.bytes.data() + received, content.bytes.size() - received);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return failed(std::strerror(errno));
    if (n == 0) break;
    received += static_cast<std::size_t>(n);
  }
  if (received == content.bytes.size()) return failed("it is being written");
  content.bytes.resize(received);
  return content;
}

}  // namespace

class PartnerFile::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(net::io_context& io, std::string path, OnList on_list, Log log,
       std::chrono::milliseconds poll_interval)
      : path_(std::move(path)),
        name_(std::filesystem::path(path_).filename()),
        folder_(std::filesystem::path(path_).parent_path()),
        on_list_(std::move(on_list)),
        log_(std::move(log)),
        poll_interval_(poll_interval),
        events_(io),
        timer_(io) {
    if (folder_.empty()) folder_ = ".";
  }

  void start() {
    const int fd = ::inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
    if (fd >= 0) events_.assign(fd);  // else only the polls find changes
    net::post(timer_.get_executor(), [self = shared_from_this()] { self->poll(); });
    wait_for_events();
  }
  void stop() {
    stopped_ = true;
    error_code ignored;
    events_.close(ignored);
    timer_.cancel();
  }
  const std::string& error() const { return error_; }

 private:
  void poll() {
    if (stopped_) return;
    // Repeated at each poll: keeps the existing watch, or adds one if the folder was created anew.
    if (events_.is_open())
      ::inotify_add_watch(events_.native_handle(), folder_.c_str(),
                          IN_CLOSE_WRITE | IN_MOVED_TO | IN_MOVED_FROM | IN_CREATE | IN_DELETE | IN_ATTRIB);
    check_file();
    if (stopped_) return;
    timer_.expires_after(poll_interval_);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) self->poll();
    });
  }
  void wait_for_events() {
    if (!events_.is_open()) return;
    events_.async_wait(net::posix::stream_descriptor::wait_read, [self = shared_from_this()](error_code ec) {
      if (ec || self->stopped_) return;
      if (self->read_events()) self->check_file();
      if (!self->stopped_) self->wait_for_events();
    });
  }
  // Reads all pending events; returns whether one may concern the file.
  bool read_events() {
    bool concerns_file = false;
    alignas(inotify_event) std::array<char, 16384> buffer;
    for (ssize_t n; (n = ::read(events_.native_handle(), buffer.data(), buffer.size())) > 0;) {
      for (ssize_t at = 0; at < n;) {
        const auto* e = reinterpret_cast<const inotify_event*>(buffer.data() + at);
        concerns_file |= e->len == 0 || name_ == e->name;
        at += static_cast<ssize_t>(sizeof(inotify_event) + e->len);
      }
    }
    return concerns_file;
  }

  void check_file() {
    struct stat file_info {};
    const Identity identity = ::stat(path_.c_str(), &file_info) == 0 ? Identity(file_info) : Identity();
    if (last_identity_ == identity && settled_) return;
    const std::int64_t now = std::chrono::duration_cast<std::chrono::nanoseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
    FileContent content = read_file(path_);
    settled_ = std::max(content.identity.modified, content.identity.changed) < now - kRecentNs;
    const bool unchanged = last_identity_ == content.identity;
    last_identity_ = content.identity;
    if (content.problem.empty()) {
      PartnerList list = read_partners(content.bytes);
      content.problem = list.error();
      if (content.problem.empty() && !on_list_(std::move(list.endpoints))) {
        content.problem = "can't be published now; will be tried again";
        settled_ = false;
      }
    }
    std::string error =
        content.problem.empty() ? "" : path_ + ": " + content.problem + " (the last valid list stays)";
    if (!error.empty() && !(unchanged && error == error_)) log_("partners: " + error);
    if (error.empty() && !error_.empty()) log_("partners: " + path_ + ": read successfully again");
    error_ = std::move(error);
  }

  std::string path_, name_, folder_;
  OnList on_list_;
  Log log_;
  std::chrono::milliseconds poll_interval_;
  net::posix::stream_descriptor events_;
  net::steady_timer timer_;
  std::optional<Identity> last_identity_;
  bool settled_ = false;  // old enough that each further change shows in its timestamps
  bool stopped_ = false;
  std::string error_;
};

PartnerFile::PartnerFile(net::io_context& io, std::string path, OnList on_list, Log log,
                         std::chrono::milliseconds poll_interval)
    : impl_(std::make_shared<Impl>(io, std::move(path), std::move(on_list), std::move(log), poll_interval)) {
  impl_->start();
}
PartnerFile::~PartnerFile() { impl_->stop(); }
const std::string& PartnerFile::error() const { return impl_->error(); }

}  // namespace heronvane::fleet
