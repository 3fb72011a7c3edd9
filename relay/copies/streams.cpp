#include "streams.hpp"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

#include "core/timer.hpp"

namespace heronvane::copies {

namespace net = boost::asio;
using boost::system::error_code;
using Tcp = net::ip::tcp;

namespace {

// One connection of either kind: frames in, frames out.
class Wire : public std::enable_shared_from_this<Wire> {
 public:
  struct Hooks {
    std::function<bool(std::string head, std::string body)> frame;  // false: close
    std::function<void()> closed;                                   // once
  };
  Wire(Tcp::socket socket, Streams::Counts& counts)
      : socket_(std::move(socket)), watch_(socket_.get_executor()), counts_(counts) {}

  Tcp::socket& socket() { return socket_; }
  void hooks(Hooks hooks) { hooks_ = std::move(hooks); }
  void start() {
    error_code ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    read();
  }
  bool send(std::string frame, bool wants_answer) {
    if (closed_ || waiting_ + frame.size() > Streams::kMostUnderWay) return false;
    waiting_ += frame.size();
    out_.push_back(std::move(frame));
    if (wants_answer && owed_++ == 0) watch();
    if (out_.size() == 1) write();
    return true;
  }
  void limits(std::size_t head, std::size_t body) { most_head_ = head, most_body_ = body; }
  void close() {
    if (std::exchange(closed_, true)) return;
    error_code ignored;
    watch_.cancel();
    socket_.close(ignored);
    const auto hooks = std::exchange(hooks_, {});
    if (hooks.closed) hooks.closed();
  }
  // An answer came: the other side is awake.
  void answered() {
    if (owed_ > 0) owed_--;
    watch_.cancel();
    if (owed_ > 0) watch();
  }

 private:
  void watch() {
    watch_.set(Streams::kSilence, [self = shared_from_this()] { self->close(); });
  }
  void read() {
    net::async_read(socket_, net::buffer(lengths_), [self = shared_from_this()](error_code bad, std::size_t) {
      if (bad || self->closed_) return self->close();
      const auto l = read_lengths({self->lengths_, sizeof self->lengths_});
      if (l.head > self->most_head_ || l.body > self->most_body_) {
        self->counts_.unreadable++;
        return self->close();
      }
      self->head_.resize(l.head), self->body_.resize(l.body);
      self->read_rest();
    });
  }
  void read_rest() {
    const std::array<net::mutable_buffer, 2> both{net::buffer(head_), net::buffer(body_)};
    net::async_read(socket_, both, [self = shared_from_this()](error_code bad, std::size_t size) {
      if (bad || self->closed_) return self->close();
      self->counts_.received_bytes += kFrameHead + size;
      const auto frame = self->hooks_.frame;  // which may close this, and with it what it is
      if (!frame || !frame(std::exchange(self->head_, {}), std::exchange(self->body_, {})))
        return self->close();
      if (!self->closed_) self->read();
    });
  }
  void write() {
    net::async_write(socket_, net::buffer(out_.front()),
                     [self = shared_from_this()](error_code bad, std::size_t size) {
                       if (bad || self->closed_) return self->close();
                       self->counts_.sent_bytes += size;
                       self->waiting_ -= size;
                       self->out_.pop_front();
                       if (!self->out_.empty()) self->write();
                     });
  }

  Tcp::socket socket_;
  Timer watch_;
  Streams::Counts& counts_;
  Hooks hooks_;
  char lengths_[kFrameHead] = {};
  std::string head_, body_;
  std::deque<std::string> out_;
  std::size_t waiting_ = 0, most_head_ = kMostHello, most_body_ = 0, owed_ = 0;
  bool closed_ = false;
};

}  // namespace

bool is_private(const net::ip::address& address) {
  if (address.is_loopback()) return true;
  if (address.is_v6()) {
    const auto b = address.to_v6().to_bytes();
    return (b[0] & 0xfe) == 0xfc || (b[0] == 0xfe && (b[1] & 0xc0) == 0x80);
  }
  const auto b = address.to_v4().to_bytes();
  return b[0] == 10 || (b[0] == 172 && (b[1] & 0xf0) == 16) || (b[0] == 192 && b[1] == 168) ||
         (b[0] == 169 && b[1] == 254);
}

class Streams::Impl : public std::enable_shared_from_this<Streams::Impl> {
 public:
  Impl(net::io_context& io, const Address& listen, Hello self, Hooks hooks)
      : io_(io), self_(std::move(self)), hooks_(std::move(hooks)), acceptor_(io), pause_(io) {
    try {
      acceptor_.open(listen.protocol());
      acceptor_.set_option(Tcp::acceptor::reuse_address(true));
      acceptor_.set_option(net::socket_base::enable_connection_aborted(true));
      acceptor_.bind(listen);
      acceptor_.listen();
    } catch (const boost::system::system_error& e) {
      throw std::system_error(
          e.code().value(), std::generic_category(),
          "copies.listen: " + listen.address().to_string() + ":" + std::to_string(listen.port()));
    }
  }
  void start() { accept(); }
  void end() {
    ended_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
    for (auto& [name, l] : std::exchange(links_, {})) {
      l->timer.cancel();
      if (l->wire) l->wire->close();
    }
    for (const auto& w : std::exchange(incoming_, {})) w->close();
  }

  void keep(const std::string& name, const Address& address) {
    auto& l = links_[name];
    if (l && l->address == address) return;
    if (l) leave(name);
    auto fresh = std::make_shared<Link>(io_);
    fresh->name = name, fresh->address = address;
    links_[name] = fresh;
    connect(fresh);
  }
  void leave(const std::string& name) {
    const auto it = links_.find(name);
    if (it == links_.end()) return;
    const auto l = it->second;
    links_.erase(it);
    l->timer.cancel();
    if (l->wire) l->wire->close();
  }
  const Member* peer(const std::string& name) const {
    const auto it = links_.find(name);
    return it == links_.end() || !it->second->peer ? nullptr : &*it->second->peer;
  }
  bool say(const Member& to, const Packet& packet) {
    const auto it = links_.find(to.name);
    if (it == links_.end() || !it->second->peer || *it->second->peer != to) return false;
    const bool wants_answer = packet.kind != Packet::Kind::release;
    return it->second->wire->send(write_packet(packet), wants_answer);
  }
  Counts counts_;

 private:
  struct Link {
    explicit Link(net::io_context& io) : timer(io) {}
    std::string name;
    Address address;
    std::shared_ptr<Wire> wire;
    std::optional<Member> peer;
    net::steady_timer timer;
  };

  std::string hello_to(const std::string& name) const {
    Hello h = self_;
    hooks_.greet(name, h);
    return write_hello(h);
  }
  bool current(const std::shared_ptr<Link>& l) const {
    const auto it = links_.find(l->name);
    return it != links_.end() && it->second == l;
  }
  void connect(const std::shared_ptr<Link>& l) {
    const auto wire = std::make_shared<Wire>(Tcp::socket(io_), counts_);
    l->wire = wire;
    wire->hooks({[self = shared_from_this(), l](std::string head, std::string body) {
                   return self->heard(l, std::move(head), std::move(body));
                 },
                 [self = shared_from_this(), l] { self->closed(l); }});
    l->timer.expires_after(kConnectTime);
    l->timer.async_wait([wire](error_code bad) {
      if (!bad) wire->close();
    });
    wire->socket().async_connect(l->address, [self = shared_from_this(), l, wire](error_code bad) {
      if (bad) return wire->close();
      wire->start();
      wire->send(self->hello_to(l->name), false);
    });
  }
  void closed(const std::shared_ptr<Link>& l) {
    const bool was_up = l->peer.has_value();
    l->peer.reset();
    if (ended_ || !current(l)) return;
    l->timer.expires_after(kRetry);
    l->timer.async_wait([self = shared_from_this(), l](error_code bad) {
      if (!bad && !self->ended_ && self->current(l)) self->connect(l);
    });
    if (was_up) hooks_.down(l->name);
  }
  bool heard(const std::shared_ptr<Link>& l, std::string head, std::string body) {
    if (!l->peer) {
      const auto hello = read_hello(head);
      if (!hello || hello->cluster != self_.cluster || hello->self.name != l->name) {
        counts_.strangers++;
        return false;
      }
      l->timer.cancel();
      hooks_.met(*hello);
      l->peer = hello->self;
      l->wire->limits(kMostHead, kMostBody);
      hooks_.up(*l->peer);
      return true;
    }
    l->wire->answered();
    auto packet = read_packet(head, std::move(body));
    if (!packet) {
      counts_.unreadable++;
      return false;
    }
    hooks_.answer(Member(*l->peer), std::move(*packet));
    return true;
  }

  void accept() {
    acceptor_.async_accept([self = shared_from_this()](error_code bad, Tcp::socket socket) {
      if (self->ended_) return;
      if (bad) {  // descriptors are short: not at once again
        self->pause_.expires_after(kRetry);
        self->pause_.async_wait([self](error_code stopped) {
          if (!stopped) self->accept();
        });
        return;
      }
      if (self->incoming_.size() < kMostIncoming) self->take(std::move(socket));
      self->accept();
    });
  }
  void take(Tcp::socket socket) {
    const auto wire = std::make_shared<Wire>(std::move(socket), counts_);
    incoming_.insert(wire);
    const auto from = std::make_shared<std::optional<Member>>();
    const auto timer = std::make_shared<net::steady_timer>(io_, kConnectTime);
    timer->async_wait([wire, from](error_code bad) {
      if (!bad && !*from) wire->close();
    });
    wire->hooks({[self = shared_from_this(), weak = std::weak_ptr(wire), from, timer](std::string head,
                                                                                      std::string body) {
                   const auto w = weak.lock();
                   if (!w) return false;
                   if (*from) return self->asked(w, **from, head, std::move(body));
                   const auto hello = read_hello(head);
                   if (!hello || hello->cluster != self->self_.cluster ||
                       !self->hooks_.knows(hello->self.name)) {
                     self->counts_.strangers++;
                     return false;
                   }
                   self->hooks_.met(*hello);
                   *from = hello->self;
                   timer->cancel();
                   w->limits(kMostHead, kMostBody);
                   return w->send(self->hello_to(hello->self.name), false);
                 },
                 [self = shared_from_this(), weak = std::weak_ptr(wire), timer] {
                   timer->cancel();
                   if (const auto w = weak.lock()) self->incoming_.erase(w);
                 }});
    wire->start();
  }
  bool asked(const std::shared_ptr<Wire>& wire, const Member& from, const std::string& head,
             std::string body) {
    auto packet = read_packet(head, std::move(body));
    if (!packet) {
      counts_.unreadable++;
      return false;
    }
    hooks_.asked(from, std::move(*packet), [weak = std::weak_ptr(wire)](const Packet& answer) {
      if (const auto w = weak.lock()) w->send(write_packet(answer), false);
    });
    return true;
  }

  net::io_context& io_;
  const Hello self_;
  const Hooks hooks_;
  Tcp::acceptor acceptor_;
  net::steady_timer pause_;
  std::map<std::string, std::shared_ptr<Link>> links_;
  std::set<std::shared_ptr<Wire>> incoming_;
  bool ended_ = false;
};

Streams::Streams(net::io_context& io, const Address& listen, Hello self, Hooks hooks)
    : impl_(std::make_shared<Impl>(io, listen, std::move(self), std::move(hooks))) {
  impl_->start();
}
Streams::~Streams() { impl_->end(); }
void Streams::keep(const std::string& name, const Address& address) { impl_->keep(name, address); }
void Streams::leave(const std::string& name) { impl_->leave(name); }
const Member* Streams::peer(const std::string& name) const { return impl_->peer(name); }
bool Streams::say(const Member& to, const Packet& packet) { return impl_->say(to, packet); }
Streams::Counts Streams::counts() const { return impl_->counts_; }

}  // namespace heronvane::copies
