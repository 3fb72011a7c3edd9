#include "peer_connections.hpp"

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
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  struct Hooks {
    std::function<bool(std::string head, std::string body)> on_frame;  // false: close
    std::function<void()> on_closed;                                   // once
  };
  Connection(Tcp::socket socket, PeerConnections::Counts& counts)
      : socket_(std::move(socket)), answer_timer_(socket_.get_executor()), counts_(counts) {}

  Tcp::socket& socket() { return socket_; }
  void set_hooks(Hooks hooks) { hooks_ = std::move(hooks); }
  void start() {
    error_code ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    read();
  }
  bool send(std::string frame, bool wants_answer) {
    if (closed_ || queued_bytes_ + frame.size() > PeerConnections::kMaxQueuedBytes) return false;
    queued_bytes_ += frame.size();
    send_queue_.push_back(std::move(frame));
    if (wants_answer && answers_owed_++ == 0) start_answer_timer();
    if (send_queue_.size() == 1) write();
    return true;
  }
  void set_limits(std::size_t head, std::size_t body) { max_head_bytes_ = head, max_body_bytes_ = body; }
  void close() {
    if (std::exchange(closed_, true)) return;
    error_code ignored;
    answer_timer_.cancel();
    socket_.close(ignored);
    const auto hooks = std::exchange(hooks_, {});
    if (hooks.on_closed) hooks.on_closed();
  }
  // An answer came: the other side is awake.
  void on_answer_received() {
    if (answers_owed_ > 0) answers_owed_--;
    answer_timer_.cancel();
    if (answers_owed_ > 0) start_answer_timer();
  }

 private:
  void start_answer_timer() {
    answer_timer_.set(PeerConnections::kAnswerTimeout, [self = shared_from_this()] { self->close(); });
  }
  void read() {
    net::async_read(socket_, net::buffer(header_),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (error || self->closed_) return self->close();
                      const auto link = read_frame_lengths({self->header_, sizeof self->header_});
                      if (link.head > self->max_head_bytes_ || link.body > self->max_body_bytes_) {
                        self->counts_.malformed_frames++;
                        return self->close();
                      }
                      self->head_.resize(link.head), self->body_.resize(link.body);
                      self->read_rest();
                    });
  }
  void read_rest() {
    const std::array<net::mutable_buffer, 2> both{net::buffer(head_), net::buffer(body_)};
    net::async_read(socket_, both, [self = shared_from_this()](error_code error, std::size_t size) {
      if (error || self->closed_) return self->close();
      self->counts_.received_bytes += kFrameHeaderBytes + size;
      const auto on_frame = self->hooks_.on_frame;  // which may close this, and with it what it is
      if (!on_frame || !on_frame(std::exchange(self->head_, {}), std::exchange(self->body_, {})))
        return self->close();
      if (!self->closed_) self->read();
    });
  }
  void write() {
    net::async_write(socket_, net::buffer(send_queue_.front()),
                     [self = shared_from_this()](error_code error, std::size_t size) {
                       if (error || self->closed_) return self->close();
                       self->counts_.sent_bytes += size;
                       self->queued_bytes_ -= size;
                       self->send_queue_.pop_front();
                       if (!self->send_queue_.empty()) self->write();
                     });
  }

  Tcp::socket socket_;
  Timer answer_timer_;
  PeerConnections::Counts& counts_;
  Hooks hooks_;
  char header_[kFrameHeaderBytes] = {};
  std::string head_, body_;
  std::deque<std::string> send_queue_;
  std::size_t queued_bytes_ = 0, max_head_bytes_ = kMaxHelloBytes, max_body_bytes_ = 0, answers_owed_ = 0;
  bool closed_ = false;
};

}  // namespace

bool is_private(const net::ip::address& address) {
  if (address.is_loopback()) return true;
  if (address.is_v6()) {
    const auto bytes = address.to_v6().to_bytes();
    return (bytes[0] & 0xfe) == 0xfc || (bytes[0] == 0xfe && (bytes[1] & 0xc0) == 0x80);
  }
  const auto bytes = address.to_v4().to_bytes();
  return bytes[0] == 10 || (bytes[0] == 172 && (bytes[1] & 0xf0) == 16) ||
         (bytes[0] == 192 && bytes[1] == 168) || (bytes[0] == 169 && bytes[1] == 254);
}

class PeerConnections::Impl : public std::enable_shared_from_this<PeerConnections::Impl> {
 public:
  Impl(net::io_context& io, const Address& listen, Hello self, Hooks hooks)
      : io_(io), self_(std::move(self)), hooks_(std::move(hooks)), acceptor_(io), accept_retry_timer_(io) {
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
  void stop() {
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    accept_retry_timer_.cancel();
    for (auto& [name, link] : std::exchange(links_, {})) {
      link->timer.cancel();
      if (link->connection) link->connection->close();
    }
    for (const auto& incoming : std::exchange(incoming_, {})) incoming->close();
  }

  void connect_to(const std::string& name, const Address& address) {
    auto& link = links_[name];
    if (link && link->address == address) return;
    if (link) disconnect_from(name);
    auto new_link = std::make_shared<Link>(io_);
    new_link->name = name, new_link->address = address;
    links_[name] = new_link;
    connect(new_link);
  }
  void disconnect_from(const std::string& name) {
    const auto it = links_.find(name);
    if (it == links_.end()) return;
    const auto link = it->second;
    links_.erase(it);
    link->timer.cancel();
    if (link->connection) link->connection->close();
  }
  const Member* peer(const std::string& name) const {
    const auto it = links_.find(name);
    return it == links_.end() || !it->second->peer ? nullptr : &*it->second->peer;
  }
  bool send(const Member& to, const Packet& packet) {
    const auto it = links_.find(to.name);
    if (it == links_.end() || !it->second->peer || *it->second->peer != to) return false;
    const bool wants_answer = packet.kind != Packet::Kind::release;
    return it->second->connection->send(write_packet(packet), wants_answer);
  }
  Counts counts_;

 private:
  struct Link {
    explicit Link(net::io_context& io) : timer(io) {}
    std::string name;
    Address address;
    std::shared_ptr<Connection> connection;
    std::optional<Member> peer;
    net::steady_timer timer;
  };

  std::string make_hello(const std::string& name) const {
    Hello hello = self_;
    hooks_.fill_hello(name, hello);
    return write_hello(hello);
  }
  bool is_current(const std::shared_ptr<Link>& link) const {
    const auto it = links_.find(link->name);
    return it != links_.end() && it->second == link;
  }
  void connect(const std::shared_ptr<Link>& link) {
    const auto connection = std::make_shared<Connection>(Tcp::socket(io_), counts_);
    link->connection = connection;
    connection->set_hooks({[self = shared_from_this(), link](std::string head, std::string body) {
                             return self->on_link_frame(link, std::move(head), std::move(body));
                           },
                           [self = shared_from_this(), link] { self->on_link_closed(link); }});
    link->timer.expires_after(kConnectTimeout);
    link->timer.async_wait([connection](error_code error) {
      if (!error) connection->close();
    });
    connection->socket().async_connect(link->address,
                                       [self = shared_from_this(), link, connection](error_code error) {
                                         if (error) return connection->close();
                                         connection->start();
                                         connection->send(self->make_hello(link->name), false);
                                       });
  }
  void on_link_closed(const std::shared_ptr<Link>& link) {
    const bool was_up = link->peer.has_value();
    link->peer.reset();
    if (stopped_ || !is_current(link)) return;
    link->timer.expires_after(kRetryInterval);
    link->timer.async_wait([self = shared_from_this(), link](error_code error) {
      if (!error && !self->stopped_ && self->is_current(link)) self->connect(link);
    });
    if (was_up) hooks_.on_down(link->name);
  }
  bool on_link_frame(const std::shared_ptr<Link>& link, std::string head, std::string body) {
    if (!link->peer) {
      const auto hello = read_hello(head);
      if (!hello || hello->cluster != self_.cluster || hello->self.name != link->name) {
        counts_.rejected_hellos++;
        return false;
      }
      link->timer.cancel();
      hooks_.on_hello(*hello);
      link->peer = hello->self;
      link->connection->set_limits(kMaxHeadBytes, kMaxBodyBytes);
      hooks_.on_up(*link->peer);
      return true;
    }
    link->connection->on_answer_received();
    auto packet = read_packet(head, std::move(body));
    if (!packet) {
      counts_.malformed_frames++;
      return false;
    }
    hooks_.on_answer(Member(*link->peer), std::move(*packet));
    return true;
  }

  void accept() {
    acceptor_.async_accept([self = shared_from_this()](error_code error, Tcp::socket socket) {
      if (self->stopped_) return;
      if (error) {  // descriptors are short: not at once again
        self->accept_retry_timer_.expires_after(kRetryInterval);
        self->accept_retry_timer_.async_wait([self](error_code retry_error) {
          if (!retry_error) self->accept();
        });
        return;
      }
      if (self->incoming_.size() < kMaxIncoming) self->start_incoming(std::move(socket));
      self->accept();
    });
  }
  void start_incoming(Tcp::socket socket) {
    const auto connection = std::make_shared<Connection>(std::move(socket), counts_);
    incoming_.insert(connection);
    const auto from = std::make_shared<std::optional<Member>>();
    const auto timer = std::make_shared<net::steady_timer>(io_, kConnectTimeout);
    timer->async_wait([connection, from](error_code error) {
      if (!error && !*from) connection->close();
    });
    connection->set_hooks({[self = shared_from_this(), weak_connection = std::weak_ptr(connection), from,
                            timer](std::string head, std::string body) {
                             const auto incoming = weak_connection.lock();
                             if (!incoming) return false;
                             if (*from) return self->handle_request(incoming, **from, head, std::move(body));
                             const auto hello = read_hello(head);
                             if (!hello || hello->cluster != self->self_.cluster ||
                                 !self->hooks_.is_member(hello->self.name)) {
                               self->counts_.rejected_hellos++;
                               return false;
                             }
                             self->hooks_.on_hello(*hello);
                             *from = hello->self;
                             timer->cancel();
                             incoming->set_limits(kMaxHeadBytes, kMaxBodyBytes);
                             return incoming->send(self->make_hello(hello->self.name), false);
                           },
                           [self = shared_from_this(), weak_connection = std::weak_ptr(connection), timer] {
                             timer->cancel();
                             if (const auto incoming = weak_connection.lock())
                               self->incoming_.erase(incoming);
                           }});
    connection->start();
  }
  bool handle_request(const std::shared_ptr<Connection>& connection, const Member& from,
                      const std::string& head, std::string body) {
    auto packet = read_packet(head, std::move(body));
    if (!packet) {
      counts_.malformed_frames++;
      return false;
    }
    hooks_.on_request(from, std::move(*packet),
                      [weak_connection = std::weak_ptr(connection)](const Packet& answer) {
                        if (const auto incoming = weak_connection.lock())
                          incoming->send(write_packet(answer), false);
                      });
    return true;
  }

  net::io_context& io_;
  const Hello self_;
  const Hooks hooks_;
  Tcp::acceptor acceptor_;
  net::steady_timer accept_retry_timer_;
  std::map<std::string, std::shared_ptr<Link>> links_;
  std::set<std::shared_ptr<Connection>> incoming_;
  bool stopped_ = false;
};

PeerConnections::PeerConnections(net::io_context& io, const Address& listen, Hello self, Hooks hooks)
    : impl_(std::make_shared<Impl>(io, listen, std::move(self), std::move(hooks))) {
  impl_->start();
}
PeerConnections::~PeerConnections() { impl_->stop(); }
void PeerConnections::connect_to(const std::string& name, const Address& address) {
  impl_->connect_to(name, address);
}
void PeerConnections::disconnect_from(const std::string& name) { impl_->disconnect_from(name); }
const Member* PeerConnections::peer(const std::string& name) const { return impl_->peer(name); }
bool PeerConnections::send(const Member& to, const Packet& packet) { return impl_->send(to, packet); }
PeerConnections::Counts PeerConnections::counts() const { return impl_->counts_; }

}  // namespace heronvane::copies
