#include "fabric.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <chrono>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace heronvane::lab {

namespace net = boost::asio;
using boost::system::error_code;
using std::chrono::microseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

constexpr std::size_t kChunk = 16 << 10;
constexpr std::size_t kMostQueued = 256
                                    << 10;  // bytes on their way in one direction; then nothing more is read
constexpr int kBacklog = 256;
constexpr auto kAcceptRetry = std::chrono::milliseconds(100);  // where descriptors are wanting

void reset_on_close(Tcp::socket& socket) {
  error_code ignored;
  socket.set_option(Tcp::socket::linger(true, 0), ignored);
}
void ready(Tcp::socket& socket) {
  error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
}

}  // namespace

class Fabric::Impl : public std::enable_shared_from_this<Impl> {
 public:
  class Connection;
  struct Link {
    Tcp::endpoint listen, target;
    net::ip::address_v4 source;
    Tcp::acceptor acceptor;
    Door door = Door::closed;
    LinkFaults faults;
    std::list<std::shared_ptr<Connection>> connections;  // until they close
    explicit Link(net::io_context& io) : acceptor(io) {}
  };
  struct Peer {
    Udp::socket socket;
    Udp::endpoint shown, real, from;
    std::array<char, 2048> buffer{};
    explicit Peer(net::io_context& io) : socket(io) {}
  };

  Impl(net::io_context& io, std::uint64_t seed) : io_(io), random_(seed) {}
  void open(const std::shared_ptr<Link>& link);
  void accept(const std::shared_ptr<Link>& link);
  void shut(Link& link);
  void receive(const std::shared_ptr<Peer>& peer, std::optional<std::size_t> to);
  void forward(std::size_t from, std::size_t to, const std::string& bytes);
  double uniform() { return boost::random::uniform_real_distribution<double>(0, 1)(random_); }
  Microseconds lag_of(const LinkFaults& f) {
    return f.delay + static_cast<Microseconds>(static_cast<double>(f.spread) * uniform());
  }

  net::io_context& io_;
  boost::random::mt19937_64 random_;
  std::vector<std::shared_ptr<Link>> links_;
  std::vector<std::shared_ptr<Peer>> peers_;
  std::shared_ptr<Peer> all_;
  std::map<Udp::endpoint, std::size_t> by_real_;
  std::function<LinkFaults(std::size_t, std::size_t)> datagram_faults_;
  Counts counts_;
  bool ended_ = false;
};

// One connection through a link. Each direction is a pipe of its own. Its link keeps it: where all is held
// nothing is under way.
class Fabric::Impl::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> fabric, std::shared_ptr<Link> link, Tcp::socket first)
      : fabric_(std::move(fabric)),
        link_(std::move(link)),
        first_(std::move(first)),
        second_(fabric_->io_),
        there_(*this, first_, second_, true),
        back_(*this, second_, first_, false) {
    fabric_->counts_.open++;
  }
  ~Connection() { fabric_->counts_.open--; }

  void start() {
    ready(first_);
    error_code bad;
    second_.open(Tcp::v4(), bad);
    if (!bad && !link_->source.is_unspecified()) {
      // The port is chosen when it connects: one port serves many targets.
      const int on = 1;
      ::setsockopt(second_.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
      second_.bind({link_->source, 0}, bad);
    }
    if (bad) {
      fabric_->counts_.not_carried++;
      return reset();
    }
    second_.async_connect(link_->target, [self = shared_from_this()](error_code failed) {
      if (self->closed_) return;
      if (failed) return self->reset();
      ready(self->second_);
      self->there_.go(), self->back_.go();
    });
  }
  void reset() {
    if (std::exchange(closed_, true)) return;
    for (auto* const socket : {&first_, &second_}) {
      if (!socket->is_open()) continue;
      reset_on_close(*socket);
      error_code ignored;
      socket->close(ignored);
    }
    leave();
  }
  void half_close() { there_.end_by_fault(); }
  void changed() {
    if (closed_) return;
    there_.torn_at = back_.torn_at = link_->faults.tear_after > 0 ? passed_ + link_->faults.tear_after : 0;
    there_.go(), back_.go();
  }

 private:
  struct Pipe {
    Pipe(Connection& c, Tcp::socket& f, Tcp::socket& t, bool is_there)
        : owner(c), from(f), to(t), timer(c.fabric_->io_), there(is_there) {}
    bool held() const { return there ? owner.link_->faults.hold_there : owner.link_->faults.hold_back; }
    // Goes on with whatever can be done now.
    void go() {
      if (owner.closed_) return;
      write();
      read();
    }
    void read() {
      if (reading || over || held() || queued >= kMostQueued || owner.closed_) return;
      reading = true;
      if (buffer.empty()) buffer.resize(kChunk);
      from.async_read_some(net::buffer(buffer),
                           [this, self = owner.shared_from_this()](error_code bad, std::size_t n) {
                             reading = false;
                             if (owner.closed_) return;
                             if (bad == net::error::eof) {
                               over = true;
                             } else if (bad) {
                               return owner.reset();
                             } else {
                               arrived(n);
                               if (owner.closed_) return;
                             }
                             go();
                           });
    }
    void arrived(std::size_t n) {
      auto& f = *owner.fabric_;
      const auto& faults = owner.link_->faults;
      f.counts_.bytes += n;
      owner.passed_ += n;
      if (torn_at > 0 && owner.passed_ >= torn_at) return owner.reset();
      SteadyTime due = std::chrono::steady_clock::now() + microseconds(f.lag_of(faults));
      if (faults.rate > 0)
        free_at = std::max(free_at, due) +
                  microseconds(static_cast<Microseconds>(1e6 * static_cast<double>(n) / faults.rate)),
        due = free_at;
      // Bytes keep their order.
      if (!chunks.empty()) due = std::max(due, chunks.back().due);
      chunks.push_back({due, std::string(buffer.data(), n)});
      queued += n;
    }
    void write() {
      if (writing || held() || owner.closed_) return;
      if (chunks.empty()) {
        if (over) finish();
        return;
      }
      const auto now = std::chrono::steady_clock::now();
      if (chunks.front().due > now) {
        if (waiting) return;
        waiting = true;
        timer.expires_at(chunks.front().due);
        timer.async_wait([this, self = owner.shared_from_this()](error_code) {
          waiting = false;
          go();
        });
        return;
      }
      writing = true;
      net::async_write(to, net::buffer(chunks.front().bytes),
                       [this, self = owner.shared_from_this()](error_code bad, std::size_t n) {
                         writing = false;
                         if (owner.closed_) return;
                         if (bad) return owner.reset();
                         queued -= n;
                         chunks.pop_front();
                         go();
                       });
    }
    // All that came has passed, and nothing more will.
    void finish() {
      if (std::exchange(finished, true)) return;
      error_code ignored;
      to.shutdown(Tcp::socket::shutdown_send, ignored);
      if (owner.there_.finished && owner.back_.finished) owner.close();
    }
    void end_by_fault() {
      over = true;
      chunks.clear(), queued = 0;
      if (!writing) finish();
    }

    struct Chunk {
      SteadyTime due;
      std::string bytes;
    };
    Connection& owner;
    Tcp::socket &from, &to;
    net::steady_timer timer;
    const bool there;
    bool reading = false, writing = false, waiting = false, over = false, finished = false;
    std::string buffer;
    std::deque<Chunk> chunks;
    std::size_t queued = 0;
    std::uint64_t torn_at = 0;
    SteadyTime free_at{};
  };
  void close() {
    if (std::exchange(closed_, true)) return;
    error_code ignored;
    first_.close(ignored);
    second_.close(ignored);
    leave();
  }
  void leave() {
    there_.timer.cancel(), back_.timer.cancel();
    const auto self = shared_from_this();
    link_->connections.remove(self);
  }

  std::shared_ptr<Impl> fabric_;
  std::shared_ptr<Link> link_;
  Tcp::socket first_, second_;
  Pipe there_, back_;
  std::uint64_t passed_ = 0;
  bool closed_ = false;
};

void Fabric::Impl::open(const std::shared_ptr<Link>& link) {
  auto& a = link->acceptor;
  if (!a.is_open()) {
    a.open(link->listen.protocol());
    a.set_option(Tcp::acceptor::reuse_address(true));
    a.bind(link->listen);
    a.listen(kBacklog);
    accept(link);
  }
}

void Fabric::Impl::accept(const std::shared_ptr<Link>& link) {
  link->acceptor.async_accept([self = shared_from_this(), link](error_code bad, Tcp::socket socket) {
    if (self->ended_ || !link->acceptor.is_open() || bad == net::error::operation_aborted) return;
    if (bad == net::error::no_descriptors) {
      // Who connects waits meanwhile; asked at once, the loop would do nothing else.
      self->counts_.not_carried++;
      const auto timer = std::make_shared<net::steady_timer>(self->io_, kAcceptRetry);
      return timer->async_wait([self, link, timer](error_code) {
        if (!self->ended_ && link->acceptor.is_open()) self->accept(link);
      });
    }
    if (!bad) {
      self->counts_.connections++;
      const auto c = std::make_shared<Connection>(self, link, std::move(socket));
      link->connections.push_back(c);
      if (link->faults.tear_after > 0) c->changed();
      c->start();
    }
    self->accept(link);
  });
}

void Fabric::Impl::shut(Link& link) {
  error_code ignored;
  link.acceptor.close(ignored);
}

Fabric::Fabric(net::io_context& io, std::uint64_t seed) : impl_(std::make_shared<Impl>(io, seed)) {}

Fabric::~Fabric() {
  impl_->ended_ = true;
  for (const auto& link : impl_->links_) {
    impl_->shut(*link);
    for (const auto& c : std::exchange(link->connections, {})) c->reset();
  }
  error_code ignored;
  for (const auto& peer : impl_->peers_) peer->socket.close(ignored);
  if (impl_->all_) impl_->all_->socket.close(ignored);
}

LinkId Fabric::link(const Tcp::endpoint& listen, const Tcp::endpoint& target,
                    const net::ip::address_v4& source) {
  const auto link = std::make_shared<Impl::Link>(impl_->io_);
  link->listen = listen, link->target = target, link->source = source;
  impl_->open(link);
  link->door = Door::open;
  impl_->links_.push_back(link);
  impl_->counts_.links++;
  return impl_->links_.size() - 1;
}

void Fabric::door(LinkId id, Door door) {
  const auto& link = impl_->links_.at(id);
  if (link->door == door) return;
  impl_->shut(*link);
  link->door = door;
  if (door == Door::closed) return;
  if (door == Door::open) return impl_->open(link);
  // A queue of one, which a connection of our own fills: the kernel drops what comes then, and tells nobody.
  auto& a = link->acceptor;
  a.open(link->listen.protocol());
  a.set_option(Tcp::acceptor::reuse_address(true));
  a.bind(link->listen);
  a.listen(0);
  const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (filler < 0) {
    impl_->counts_.not_carried++;
    return;
  }
  ::connect(filler, link->listen.data(), static_cast<socklen_t>(link->listen.size()));
  ::close(filler);  // it stays in the queue
}

void Fabric::faults(LinkId id, const LinkFaults& faults) {
  auto& link = *impl_->links_.at(id);
  link.faults = faults;
  const auto connections = link.connections;
  for (const auto& c : connections) c->changed();
}

void Fabric::reset(LinkId id) {
  const auto connections = std::exchange(impl_->links_.at(id)->connections, {});
  for (const auto& c : connections) c->reset();
}

void Fabric::half_close(LinkId id) {
  const auto connections = impl_->links_.at(id)->connections;
  for (const auto& c : connections) c->half_close();
}

// ---- Datagrams. ----
std::size_t Fabric::peer(const Udp::endpoint& shown, const Udp::endpoint& real) {
  const auto peer = std::make_shared<Impl::Peer>(impl_->io_);
  peer->socket.open(Udp::v4());
  peer->socket.bind(shown);
  peer->shown = shown, peer->real = real;
  impl_->by_real_[real] = impl_->peers_.size();
  impl_->peers_.push_back(peer);
  impl_->receive(peer, impl_->peers_.size() - 1);
  return impl_->peers_.size() - 1;
}

void Fabric::peers_all(const Udp::endpoint& shown) {
  impl_->all_ = std::make_shared<Impl::Peer>(impl_->io_);
  impl_->all_->socket.open(Udp::v4());
  impl_->all_->socket.bind(shown);
  impl_->receive(impl_->all_, std::nullopt);
}

void Fabric::datagram_faults(std::function<LinkFaults(std::size_t, std::size_t)> faults) {
  impl_->datagram_faults_ = std::move(faults);
}

void Fabric::Impl::receive(const std::shared_ptr<Peer>& peer, std::optional<std::size_t> to) {
  peer->socket.async_receive_from(net::buffer(peer->buffer), peer->from,
                                  [self = shared_from_this(), peer, to](error_code bad, std::size_t n) {
                                    if (self->ended_ || bad == net::error::operation_aborted) return;
                                    const auto from = self->by_real_.find(peer->from);
                                    if (!bad && from != self->by_real_.end()) {
                                      const std::string bytes(peer->buffer.data(), n);
                                      if (to) {
                                        self->forward(from->second, *to, bytes);
                                      } else {
                                        for (std::size_t i = 0; i < self->peers_.size(); i++)
                                          if (i != from->second) self->forward(from->second, i, bytes);
                                      }
                                    }
                                    self->receive(peer, to);
                                  });
}

void Fabric::Impl::forward(std::size_t from, std::size_t to, const std::string& bytes) {
  counts_.datagrams++;
  const LinkFaults f = datagram_faults_ ? datagram_faults_(from, to) : LinkFaults{};
  if (f.hold_there || uniform() < f.loss) {
    counts_.datagrams_lost++;
    return;
  }
  const int copies = uniform() < f.repeat ? 2 : 1;
  for (int i = 0; i < copies; i++) {
    const Microseconds lag = lag_of(f);
    const auto send = [self = shared_from_this(), from, to, bytes] {
      if (self->ended_) return;
      error_code ignored;  // one that can't be sent is lost
      self->peers_[from]->socket.send_to(net::buffer(bytes), self->peers_[to]->real, 0, ignored);
    };
    if (lag == 0 && i == 0) {
      send();
      continue;
    }
    const auto timer = std::make_shared<net::steady_timer>(io_, microseconds(lag + i));
    timer->async_wait([timer, send](error_code) { send(); });
  }
}

Fabric::Counts Fabric::counts() const { return impl_->counts_; }

}  // namespace heronvane::lab
