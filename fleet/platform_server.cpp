#include "platform_server.hpp"

#include <fcntl.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <list>
#include <map>
#include <optional>
#include <stdexcept>

namespace heronvane::fleet {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using tcp = net::ip::tcp;

namespace {

using Shared = std::shared_ptr<const std::string>;

constexpr auto kAcceptPause = milliseconds(100);
constexpr auto kLinger = milliseconds(1000);
constexpr std::size_t kMostLingered = 4 << 20;   // bytes read and dropped behind an answer
constexpr std::size_t kMostNotices = 20'000;     // that wait for one transaction
constexpr std::size_t kMostForRelays = 4 << 20;  // bytes of a list
constexpr std::size_t kNoLength = 1 << 20;       // what a body without a length counts for

// Guards against children of the process that would hold the port and the connections after its end.
void keep_from_children(int fd) { ::fcntl(fd, F_SETFD, FD_CLOEXEC); }

// What a request asks for.
struct Wanted {
  bool members = false, finals = false, follow = false;
  std::int64_t since = -1;  // of a watch; -1: the whole list first
  std::string problem;      // of its query
};

bool read_number(std::string_view text, std::int64_t& n) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  return error == std::errc() && end == text.data() + text.size() && n >= 0;
}

Wanted read_target(std::string_view target) {
  Wanted w;
  const auto mark = target.find('?');
  const std::string_view path = target.substr(0, mark);
  w.members = path == "/catalog/members";
  w.finals = path == "/v2/finals";
  std::string_view query = mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (w.members && !query.empty()) {
    const std::string_view part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    const std::string_view key = part.substr(0, part.find('='));
    const std::string_view value = key.size() < part.size() ? part.substr(key.size() + 1) : "";
    if (key == "follow" && value != "0" && value != "1") w.problem = "follow must be 0 or 1";
    if (key == "follow") w.follow = value == "1";
    if (key == "since" && !read_number(value, w.since)) w.problem = "since must be an index";
  }
  return w;
}

struct Session {
  explicit Session(tcp::socket s, std::size_t most_head)
      : socket(std::move(s)), timer(socket.get_executor()), buffer(most_head + 16'384) {}
  tcp::socket socket;
  net::steady_timer timer;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  std::list<std::shared_ptr<Session>>* among = nullptr;
  std::list<std::shared_ptr<Session>>::iterator place;
  bool over = false, keep = false, writing = false;
  std::size_t body_cost = 0, lingered = 0;
  std::uint64_t round = 0;  // of the timer: an earlier one's end says nothing
  std::int64_t told = -1;   // the index that a watcher has, or is being sent
  bool told_any = false;
  std::string head;  // of what is being written
  Shared body;
  std::array<char, 4096> dropped;  // what comes behind a watch's request, or an answer that ends it all
};
using SessionPtr = std::shared_ptr<Session>;

}  // namespace

class PlatformServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(net::io_context& io, Finals& finals, PlatformOptions options, PlatformCallbacks callbacks)
      : io_(io),
        acceptor_(io),
        pause_(io),
        beat_(io),
        finals_(finals),
        options_(std::move(options)),
        callbacks_(std::move(callbacks)),
        catalog_(options_.index, options_.most_history) {
    if (!callbacks_.now_ms)
      callbacks_.now_ms = [] {
        return std::int64_t{
            std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count()};
      };
  }

  void start() {
    const auto& at = options_.listen;
    const std::string text = text_of(at);
    if (!at.address().is_loopback())
      throw std::runtime_error(
          "platform: " + text +
          " is no loopback address: it has neither encryption nor passwords; listen on 127.0.0.1");
    error_code bad;
    acceptor_.open(at.protocol(), bad);
    if (!bad) keep_from_children(acceptor_.native_handle());
    if (!bad) acceptor_.set_option(tcp::acceptor::reuse_address(true), bad);
    if (!bad) acceptor_.set_option(net::socket_base::enable_connection_aborted(true), bad);
    if (!bad) acceptor_.bind(at, bad);
    if (!bad) acceptor_.listen(tcp::acceptor::max_listen_connections, bad);
    if (!bad) acceptor_.non_blocking(true, bad);
    if (bad)
      throw std::runtime_error("platform: can't listen on " + text + ": " + bad.message() +
                               "; name another address, or end what has it");
    listen_ = text_of(acceptor_.local_endpoint());
    accept();
    beat();
  }

  void stop() {
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
    beat_.cancel();
    pending_.clear();
    for (auto* list : {&quiet_, &busy_, &watchers_})
      while (!list->empty()) end(SessionPtr(list->front()));
  }

  bool publish(std::vector<Endpoint> list) {
    Catalog::Update update = catalog_.compare(std::move(list));
    if (catalog_.told() && update.index == catalog_.index()) return true;
    if (!callbacks_.keep_index(update.index)) {
      callbacks_.log("platform: index " + std::to_string(update.index) +
                     " can't be kept, so the new list is not told yet");
      return false;
    }
    callbacks_.log("platform: list " + std::to_string(update.index) + ": " +
                   std::to_string(update.list.size()) + " endpoints, " + std::to_string(update.added) +
                   " added, " + std::to_string(update.changed) + " changed, " +
                   std::to_string(update.draining) + " newly draining, " + std::to_string(update.gone) +
                   " gone");
    catalog_.apply(std::move(update));
    whole_.reset();
    lines_.clear();
    if (whole()->size() > kMostForRelays)
      callbacks_.log("platform: the list holds " + std::to_string(whole()->size()) +
                     " bytes and relays read no more than " + std::to_string(kMostForRelays) +
                     ", so they go by what they know; split the list between platforms");
    each_watcher([this](const SessionPtr& s) { tell(s); });
    return true;
  }

  PlatformStatus status() const {
    return {listen_,       catalog_.index(), catalog_.size(),  watchers_.size(),
            connections(), finals_.count(),  finals_.trouble()};
  }

 private:
  using List = std::list<SessionPtr>;

  static std::string text_of(const tcp::endpoint& e) {
    return (e.address().is_v6() ? "[" + e.address().to_string() + "]" : e.address().to_string()) + ":" +
           std::to_string(e.port());
  }
  std::size_t connections() const { return quiet_.size() + busy_.size() + watchers_.size(); }

  // ---- Connections. ----
  void accept() {
    acceptor_.async_accept([self = shared_from_this()](error_code bad, tcp::socket socket) {
      if (self->stopped_) return;
      // Out of descriptors, for one: it must not turn the loop over and over.
      if (bad) return self->accept_later();
      self->accepted(std::move(socket));
      self->accept();
    });
  }
  void accept_later() {
    pause_.expires_after(kAcceptPause);
    pause_.async_wait([self = shared_from_this()](error_code) {
      if (!self->stopped_) self->accept();
    });
  }
  void accepted(tcp::socket socket) {
    keep_from_children(socket.native_handle());
    if (connections() >= options_.most_connections) {
      // What is silent, or has sent half a request for the longest, makes room. Else the new one goes.
      if (quiet_.empty()) return;
      end(SessionPtr(quiet_.front()));
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto s = std::make_shared<Session>(std::move(socket), options_.most_head);
    s->among = &quiet_;
    s->place = quiet_.insert(quiet_.end(), s);
    read(s);
  }
  void move_to(const SessionPtr& s, List& list) {
    list.splice(list.end(), *s->among, s->place);
    s->among = &list;
  }
  void end(const SessionPtr& s) {
    if (s->over) return;
    s->over = true;
    s->timer.cancel();
    error_code ignored;
    s->socket.close(ignored);
    bodies_ -= std::exchange(s->body_cost, 0);
    s->among->erase(s->place);
  }
  // Ends it where it still does the same by then.
  void within(const SessionPtr& s, milliseconds time) {
    s->timer.expires_after(time);
    s->timer.async_wait([self = shared_from_this(), s, round = ++s->round](error_code bad) {
      if (!bad && !s->over && s->round == round) self->end(s);
    });
  }
  void without_limit(const SessionPtr& s) { s->round++, s->timer.cancel(); }

  // ---- Requests. ----
  void read(const SessionPtr& s) {
    s->parser.emplace();
    // Beast looks at this limit while it reads the head; of the body it is ours to tell 413 from 400.
    s->parser->header_limit(static_cast<std::uint32_t>(options_.most_head));
    s->parser->body_limit(options_.most_body);
    within(s, options_.request_time);
    http::async_read_header(s->socket, s->buffer, *s->parser,
                            [self = shared_from_this(), s](error_code bad, std::size_t) {
                              if (s->over) return;
                              bad ? self->unreadable(s, bad) : self->head_read(s);
                            });
  }
  void read_next(const SessionPtr& s) {
    move_to(s, quiet_);
    if (s->buffer.size() > 0) return read(s);
    within(s, options_.idle_time);
    s->socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), s](error_code bad) {
      if (s->over) return;
      bad ? self->end(s) : self->read(s);
    });
  }
  void unreadable(const SessionPtr& s, error_code bad) {
    if (bad == http::error::end_of_stream || bad == http::error::partial_message ||
        bad.category() != make_error_code(http::error::bad_method).category())
      return end(s);
    if (bad == http::error::body_limit) return refuse(s, 413, "the body is too long");
    if (bad == http::error::header_limit || bad == http::error::buffer_overflow)
      return refuse(s, 431, "the head is too long");
    refuse(s, 400, "the request can't be read");
  }
  void head_read(const SessionPtr& s) {
    const auto& request = s->parser->get();
    const bool body = request.chunked() || s->parser->content_length().value_or(0) > 0;
    const Wanted wanted = read_target({request.target().data(), request.target().size()});
    s->keep = request.keep_alive();
    const auto end_here = [&](unsigned status, const std::string& why, const std::string& headers = "") {
      if (body) s->keep = false;  // it is not read
      answer(s, status, text(why), "text/plain", headers);
    };
    if (request.version() != 11 && request.version() != 10) return refuse(s, 505, "HTTP/1.1 is spoken here");
    if (!wanted.members && !wanted.finals) return end_here(404, "there is nothing here");
    if (wanted.finals) {
      if (request.method() != http::verb::post) return end_here(405, "only POST", "Allow: POST\r\n");
      return read_body(s);
    }
    if (request.method() != http::verb::get) return end_here(405, "only GET", "Allow: GET\r\n");
    if (!wanted.problem.empty()) return end_here(400, wanted.problem);
    if (!catalog_.told()) return end_here(503, "no list has been read yet", "Retry-After: 1\r\n");
    if (!wanted.follow) {
      if (body) s->keep = false;
      return answer(s, 200, whole(), "application/json", "");
    }
    if (body) return end_here(400, "a watch has no body");
    if (request.version() == 10) return refuse(s, 505, "a watch needs HTTP/1.1");
    if (watchers_.size() >= options_.most_watchers)
      return refuse(s, 503, "too many watches", "Retry-After: 2\r\n");
    watch(s, wanted.since);
  }
  void read_body(const SessionPtr& s) {
    const auto length = s->parser->content_length();
    const std::size_t cost = length ? static_cast<std::size_t>(*length) : kNoLength;
    if (length && *length > options_.most_body) return refuse(s, 413, "the body is too long");
    if (bodies_ + cost > options_.most_bodies)
      return refuse(s, 503, "too much is under way", "Retry-After: 1\r\n");
    bodies_ += s->body_cost = cost;
    if (!beast::iequals(s->parser->get()[http::field::expect], "100-continue")) return read_rest(s);
    s->head = "HTTP/1.1 100 Continue\r\n\r\n";
    net::async_write(s->socket, net::buffer(s->head),
                     [self = shared_from_this(), s](error_code bad, std::size_t) {
                       if (s->over) return;
                       bad ? self->end(s) : self->read_rest(s);
                     });
  }
  void read_rest(const SessionPtr& s) {
    http::async_read(s->socket, s->buffer, *s->parser,
                     [self = shared_from_this(), s](error_code bad, std::size_t) {
                       if (s->over) return;
                       bad ? self->unreadable(s, bad) : self->take(s);
                     });
  }

  // ---- Answers. ----
  static Shared text(const std::string& line) { return std::make_shared<const std::string>(line + "\n"); }
  // Answers and ends the connection: what comes behind it can't be read, or is not worth it.
  void refuse(const SessionPtr& s, unsigned status, const std::string& why, const std::string& headers = "") {
    s->keep = false;
    answer(s, status, text(why), "text/plain", headers);
  }
  void answer(const SessionPtr& s, unsigned status, Shared body, const char* type,
              const std::string& headers) {
    move_to(s, busy_);
    bodies_ -= std::exchange(s->body_cost, 0);
    s->head = "HTTP/1.1 " + std::to_string(status) + " " +
              std::string(http::obsolete_reason(static_cast<http::status>(status))) + "\r\n" + headers;
    if (!s->keep) s->head += "Connection: close\r\n";
    if (status != 204)
      s->head += std::string("Content-Type: ") + type +
                 "\r\nContent-Length: " + std::to_string(body->size()) + "\r\n";
    s->head += "\r\n";
    s->body = status == 204 ? std::make_shared<const std::string>() : std::move(body);
    within(s, options_.write_time);
    const std::array<net::const_buffer, 2> all = {net::buffer(s->head), net::buffer(*s->body)};
    net::async_write(s->socket, all, [self = shared_from_this(), s](error_code bad, std::size_t) {
      if (s->over) return;
      s->body.reset();
      if (bad) return self->end(s);
      s->keep ? self->read_next(s) : self->linger(s);
    });
  }
  // Closing while bytes are unread resets the connection, and the answer may be lost with it.
  void linger(const SessionPtr& s) {
    move_to(s, quiet_);
    error_code ignored;
    s->socket.shutdown(tcp::socket::shutdown_send, ignored);
    within(s, kLinger);
    drop(s);
  }
  void drop(const SessionPtr& s) {
    s->socket.async_read_some(net::buffer(s->dropped),
                              [self = shared_from_this(), s](error_code bad, std::size_t size) {
                                if (s->over) return;
                                s->lingered += size;
                                if (bad || s->lingered > kMostLingered) return self->end(s);
                                self->drop(s);
                              });
  }

  // ---- The list. ----
  Shared whole() {
    if (!whole_) whole_ = std::make_shared<const std::string>(catalog_.whole());
    return whole_;
  }
  // Watchers that have the same index share one line.
  Shared line_since(std::int64_t index) {
    if (!catalog_.reaches(index)) return whole();
    auto& kept = lines_[index];
    Shared line = kept.lock();
    if (!line) kept = line = std::make_shared<const std::string>(catalog_.since(index));
    return line;
  }
  void watch(const SessionPtr& s, std::int64_t since) {
    move_to(s, watchers_);
    s->parser.reset();
    s->told = since;
    s->head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nCache-Control: no-store\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    tell(s);
    // What it sends means nothing; that it ends does.
    drop(s);
  }
  // Sends what changed since the index it has. While a line is under way nothing is queued: the next one
  // holds all that came meanwhile, so that a watcher that reads slowly holds one line of memory, for
  // `write_time` at most.
  void tell(const SessionPtr& s) {
    if (s->writing || (s->told_any && s->told == catalog_.index())) return;
    s->body = line_since(s->told);
    s->told = catalog_.index();
    s->told_any = true;
    send_chunk(s);
  }
  void send_chunk(const SessionPtr& s) {
    std::array<char, 20> size{};
    const auto [to, error] = std::to_chars(size.data(), size.data() + size.size(), s->body->size(), 16);
    s->head.append(size.data(), to).append("\r\n");
    s->writing = true;
    within(s, options_.write_time);
    const std::array<net::const_buffer, 3> all = {net::buffer(s->head), net::buffer(*s->body),
                                                  net::buffer("\r\n", 2)};
    net::async_write(s->socket, all, [self = shared_from_this(), s](error_code bad, std::size_t) {
      if (s->over) return;
      s->writing = false;
      s->head.clear();
      s->body.reset();
      if (bad) return self->end(s);
      self->without_limit(s);
      self->tell(s);
    });
  }
  void each_watcher(const std::function<void(const SessionPtr&)>& act) {
    for (auto it = watchers_.begin(); it != watchers_.end();) act(SessionPtr(*it++));
  }
  void beat() {
    beat_.expires_after(options_.beat);
    beat_.async_wait([self = shared_from_this()](error_code bad) {
      if (bad || self->stopped_) return;
      self->each_watcher([&](const SessionPtr& s) {
        if (s->writing) return;
        s->body = self->empty_;
        self->send_chunk(s);
      });
      self->finals_.prune(self->callbacks_.now_ms());
      self->beat();
    });
  }

  // ---- Notices. ----
  struct Pending {
    SessionPtr session;
    std::vector<Notice> notices;
  };
  void take(const SessionPtr& s) {
    std::string problem;
    auto notices = read_notices(s->parser->get().body(), problem);
    if (!notices) return answer(s, 400, text(problem), "text/plain", "");
    without_limit(s);
    move_to(s, busy_);
    pending_notices_ += notices->size();
    pending_.push_back({s, std::move(*notices)});
    if (pending_notices_ >= kMostNotices) return store();
    // Requests that have come by now share one transaction, and one wait for the disk.
    if (pending_.size() == 1)
      net::post(io_, [self = shared_from_this()] {
        if (!self->stopped_) self->store();
      });
  }
  void store() {
    const std::vector<Pending> batch = std::move(pending_);
    pending_.clear();
    pending_notices_ = 0;
    if (batch.empty()) return;
    const std::int64_t now = callbacks_.now_ms();
    std::vector<Notice> all;
    for (const auto& p : batch) all.insert(all.end(), p.notices.begin(), p.notices.end());
    const bool stored = finals_.store(all, now) == Finals::Stored::yes;
    std::string trouble = finals_.trouble();
    for (const auto& p : batch) {
      // Where not all find room, some may.
      const bool one = stored || (batch.size() > 1 && finals_.store(p.notices, now) == Finals::Stored::yes);
      if (!one && !finals_.trouble().empty()) trouble = finals_.trouble();
      if (p.session->over) continue;
      one ? answer(p.session, 204, nullptr, "", "")
          : answer(p.session, 503, text(trouble), "text/plain", "Retry-After: 1\r\n");
    }
    if (trouble != told_trouble_)
      callbacks_.log(trouble.empty() ? "notices: stored again"
                                     : "notices: can't be stored, relays keep them: " + trouble);
    told_trouble_ = trouble;
  }

  net::io_context& io_;
  tcp::acceptor acceptor_;
  net::steady_timer pause_, beat_;
  Finals& finals_;
  PlatformOptions options_;
  PlatformCallbacks callbacks_;
  Catalog catalog_;
  std::string listen_, told_trouble_;
  bool stopped_ = false;
  List quiet_, busy_, watchers_;  // quiet_: the longest silent first
  std::size_t bodies_ = 0, pending_notices_ = 0;
  std::vector<Pending> pending_;
  Shared whole_;
  const Shared empty_ = std::make_shared<const std::string>("\n");
  std::map<std::int64_t, std::weak_ptr<const std::string>> lines_;  // of the present index
};

PlatformServer::PlatformServer(net::io_context& io, Finals& finals, PlatformOptions options,
                               PlatformCallbacks callbacks)
    : impl_(std::make_shared<Impl>(io, finals, std::move(options), std::move(callbacks))) {
  impl_->start();
}
PlatformServer::~PlatformServer() { impl_->stop(); }
bool PlatformServer::publish(std::vector<Endpoint> list) { return impl_->publish(std::move(list)); }
PlatformStatus PlatformServer::status() const { return impl_->status(); }

}  // namespace heronvane::fleet
