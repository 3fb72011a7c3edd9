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

// A file that was written so short a time ago may be written again without its times telling.
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

std::int64_t nanoseconds(const timespec& t) { return std::int64_t{t.tv_sec} * 1'000'000'000 + t.tv_nsec; }

// What tells one state of the file from the next; all 0 where there is none.
struct Identity {
  Identity() = default;
  explicit Identity(const struct stat& s)
      : device(s.st_dev),
        inode(s.st_ino),
        size(s.st_size),
        modified(nanoseconds(s.st_mtim)),
        changed(nanoseconds(s.st_ctim)) {}
  dev_t device = 0;
  ino_t inode = 0;
  off_t size = 0;
  std::int64_t modified = 0, changed = 0;
  bool operator==(const Identity&) const = default;
};

struct Text {
  std::string bytes, problem;
  Identity identity;
};

Text read_file(const std::string& path) {
  Text t;
  const auto failed = [&](const char* what) {
    t.problem = std::string("can't be read: ") + what;
    return std::move(t);
  };
  // A pipe in its place must not hold the loop up.
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  if (file.fd < 0) return failed(std::strerror(errno));
  struct stat s {};
  if (::fstat(file.fd, &s) != 0) return failed(std::strerror(errno));
  t.identity = Identity(s);
  if (!S_ISREG(s.st_mode)) return failed("it is no file");
  if (static_cast<std::size_t>(s.st_size) > kMostPartnersBytes)
    return failed(("it holds more than " + std::to_string(kMostPartnersBytes) + " bytes").c_str());
  // One more than it says, so that one that grows is seen to.
  t.bytes.resize(static_cast<std::size_t>(s.st_size) + 1);
  std::size_t got = 0;
  while (got < t.bytes.size()) {
    const auto n = ::read(file.fd, t.bytes.data() + got, t.bytes.size() - got);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return failed(std::strerror(errno));
    if (n == 0) break;
    got += static_cast<std::size_t>(n);
  }
  if (got == t.bytes.size()) return failed("it is being written");
  t.bytes.resize(got);
  return t;
}

}  // namespace

class PartnerFile::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(net::io_context& io, std::string path, Found found, Log log, std::chrono::milliseconds every)
      : path_(std::move(path)),
        name_(std::filesystem::path(path_).filename()),
        folder_(std::filesystem::path(path_).parent_path()),
        found_(std::move(found)),
        log_(std::move(log)),
        every_(every),
        events_(io),
        timer_(io) {
    if (folder_.empty()) folder_ = ".";
  }

  void start() {
    const int fd = ::inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
    if (fd >= 0) events_.assign(fd);  // else the looks alone tell
    net::post(timer_.get_executor(), [self = shared_from_this()] { self->turn(); });
    wait();
  }
  void stop() {
    stopped_ = true;
    error_code ignored;
    events_.close(ignored);
    timer_.cancel();
  }
  const std::string& trouble() const { return trouble_; }

 private:
  void turn() {
    if (stopped_) return;
    // Again each time: the same watch where it stands, a new one where the folder was made anew.
    if (events_.is_open())
      ::inotify_add_watch(events_.native_handle(), folder_.c_str(),
                          IN_CLOSE_WRITE | IN_MOVED_TO | IN_MOVED_FROM | IN_CREATE | IN_DELETE | IN_ATTRIB);
    look();
    if (stopped_) return;
    timer_.expires_after(every_);
    timer_.async_wait([self = shared_from_this()](error_code bad) {
      if (!bad) self->turn();
    });
  }
  void wait() {
    if (!events_.is_open()) return;
    events_.async_wait(net::posix::stream_descriptor::wait_read, [self = shared_from_this()](error_code bad) {
      if (bad || self->stopped_) return;
      if (self->concerned()) self->look();
      if (!self->stopped_) self->wait();
    });
  }
  // Takes what events there are; whether one may be the file's.
  bool concerned() {
    bool any = false;
    alignas(inotify_event) std::array<char, 16384> buffer;
    for (ssize_t n; (n = ::read(events_.native_handle(), buffer.data(), buffer.size())) > 0;) {
      for (ssize_t at = 0; at < n;) {
        const auto* e = reinterpret_cast<const inotify_event*>(buffer.data() + at);
        any |= e->len == 0 || name_ == e->name;
        at += static_cast<ssize_t>(sizeof(inotify_event) + e->len);
      }
    }
    return any;
  }

  void look() {
    struct stat s {};
    const Identity is = ::stat(path_.c_str(), &s) == 0 ? Identity(s) : Identity();
    if (seen_ == is && settled_) return;
    const std::int64_t now = std::chrono::duration_cast<std::chrono::nanoseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
    Text text = read_file(path_);
    settled_ = std::max(text.identity.modified, text.identity.changed) < now - kRecentNs;
    const bool same = seen_ == text.identity;
    seen_ = text.identity;
    if (text.problem.empty()) {
      PartnerList list = read_partners(text.bytes);
      text.problem = list.trouble();
      if (text.problem.empty() && !found_(std::move(list.endpoints))) {
        text.problem = "can't be taken in now; tried again";
        settled_ = false;
      }
    }
    std::string trouble =
        text.problem.empty() ? "" : path_ + ": " + text.problem + " (the last good list stays)";
    if (!trouble.empty() && !(same && trouble == trouble_)) log_("partners: " + trouble);
    if (trouble.empty() && !trouble_.empty()) log_("partners: " + path_ + ": read again");
    trouble_ = std::move(trouble);
  }

  std::string path_, name_, folder_;
  Found found_;
  Log log_;
  std::chrono::milliseconds every_;
  net::posix::stream_descriptor events_;
  net::steady_timer timer_;
  std::optional<Identity> seen_;
  bool settled_ = false;  // its times tell the next change of it
  bool stopped_ = false;
  std::string trouble_;
};

PartnerFile::PartnerFile(net::io_context& io, std::string path, Found found, Log log,
                         std::chrono::milliseconds look)
    : impl_(std::make_shared<Impl>(io, std::move(path), std::move(found), std::move(log), look)) {
  impl_->start();
}
PartnerFile::~PartnerFile() { impl_->stop(); }
const std::string& PartnerFile::trouble() const { return impl_->trouble(); }

}  // namespace heronvane::fleet
