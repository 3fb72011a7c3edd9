#include "clients.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <list>
#include <optional>
#include <stdexcept>

namespace heronvane::standins {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;
using std::chrono::microseconds;

namespace {

constexpr Microseconds kMostComeBack = 5'000'000, kLeastPassedOver = 100'000, kMostPassedOver = 1'000'000;

// "0.5" seconds; `absent` where it says nothing of use.
Microseconds come_back(boost::beast::string_view text, Microseconds absent) {
  double seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (text.empty() || error != std::errc() || end != text.data() + text.size() || !(seconds >= 0))
    return absent;
  return static_cast<Microseconds>(std::min(seconds * 1e6, static_cast<double>(kMostComeBack)));
}

}  // namespace

struct Job {
  Message message;
  Microseconds until = 0;  // its deadline
  unsigned tries = 0;
  bool again = false;    // handed in before, and refused
  bool silent = false;   // handed in before, to a relay that did not answer
  bool unheard = false;  // written under this id once, and never answered
};

class Clients::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(net::io_context& io, ClientsOptions o)
      : io_(io), options_(std::move(o)), traffic_(options_.plan, options_.seed), timer_(io) {
    relays_.resize(options_.relays.size());
  }
  Microseconds now() const { return options_.now ? options_.now() : steady_time(); }
  void next();
  void send(Job job);
  void ended(Job job, std::size_t relay, TryResult heard, Microseconds latency, Microseconds told);
  void over(TryResult heard);
  std::size_t pick();

  struct Relay {
    OfRelay told;
    Microseconds passed_over_until = 0;
    std::vector<std::shared_ptr<Connection>> idle;
  };
  net::io_context& io_;
  ClientsOptions options_;
  Traffic traffic_;
  net::steady_timer timer_;
  std::vector<Relay> relays_;
  std::list<std::weak_ptr<Connection>> all_;
  std::list<std::shared_ptr<net::steady_timer>> waiting_;
  Counts counts_;
  std::size_t turn_ = 0;
  Microseconds due_ = 0;
  double pace_ = 1;
  bool running_ = false, ended_ = false;
};

// One connection to one relay; the operation that is under way keeps it.
class Clients::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> clients, std::size_t relay)
      : clients_(std::move(clients)), relay_(relay), socket_(clients_->io_), timer_(clients_->io_) {}

  void send(Job job) {
    job_ = std::move(job);
    begun_ = clients_->now();
    answer_.reset();
    timer_.expires_after(microseconds(clients_->options_.patience));
    timer_.async_wait([self = shared_from_this()](error_code bad) {
      // One that had come due as the answer before did is not this request's.
      if (bad || !self->job_ || self->timer_.expiry() > std::chrono::steady_clock::now()) return;
      self->end(TryResult::no_relay);
    });
    sent_ = false;
    if (used_) return write();
    socket_.async_connect(clients_->options_.relays[relay_].address,
                          [self = shared_from_this()](error_code bad) {
                            if (!self->job_) return;
                            if (bad) return self->end(TryResult::no_relay);
                            error_code ignored;
                            self->socket_.set_option(tcp::no_delay(true), ignored);
                            self->write();
                          });
  }
  void close() {
    job_.reset();
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

 private:
  void write() {
    const Message& m = job_->message;
    out_ =
        "POST /" + m.message_class + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + m.id +
        "\r\nX-Class: " + m.message_class + (m.tenant.empty() ? "" : "\r\nX-Tenant: " + m.tenant) +
        "\r\nX-Deadline: " + std::to_string(std::max<Microseconds>(0, job_->until - clients_->now()) / 1000) +
        "m\r\nX-Consignee: dest=" + std::to_string(m.destination) +
        (job_->silent  ? "\r\nX-Retry: again"
         : job_->again ? "\r\nX-Retry: 1"
                       : "") +
        "\r\nContent-Length: " + std::to_string(m.body) + "\r\n\r\n" + std::string(m.body, 'x');
    sent_ = true;
    net::async_write(socket_, net::buffer(out_), [self = shared_from_this()](error_code bad, std::size_t) {
      if (bad && self->job_) self->broke();
    });
    answer_.emplace();
    http::async_read(socket_, buffer_, *answer_, [self = shared_from_this()](error_code bad, std::size_t) {
      if (!self->job_) return;
      if (bad) return self->broke();
      self->answered();
    });
  }
  // A connection that was kept may have been closed before the relay read this request: it goes once more
  // over a new one, under its id.
  void broke() {
    if (!used_ || answer_->is_header_done() || buffer_.size() > 0) return end(TryResult::silence);
    Job job = std::move(*job_);
    job.unheard = true;
    const auto fresh = std::make_shared<Connection>(clients_, relay_);
    clients_->all_.push_back(fresh);
    close();
    fresh->send(std::move(job));
  }
  void answered() {
    const auto& a = answer_->get();
    const unsigned status = a.result_int();
    const Microseconds latency = clients_->now() - begun_;
    const Microseconds told = come_back(a["Retry-After"], clients_->options_.come_back);
    Job job = std::move(*job_);
    // A refusal of what may have been taken on before says nothing of that.
    const TryResult heard = status == 200 || status == 202   ? TryResult::taken
                            : job.unheard                    ? TryResult::silence
                            : status == 429 || status == 503 ? TryResult::refused
                                                             : TryResult::failed;
    job_.reset();
    timer_.cancel();
    used_ = true;
    if (a.keep_alive() && !clients_->ended_)
      clients_->relays_[relay_].idle.push_back(shared_from_this());
    else
      close();
    clients_->ended(std::move(job), relay_, heard, latency, told);
  }
  void end(TryResult heard) {
    Job job = std::move(*job_);
    if (heard == TryResult::no_relay && (sent_ || job.unheard)) heard = TryResult::silence;
    close();
    clients_->ended(std::move(job), relay_, heard, clients_->now() - begun_, 0);
  }

  std::shared_ptr<Impl> clients_;
  std::size_t relay_;
  tcp::socket socket_;
  net::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> answer_;
  std::optional<Job> job_;
  std::string out_;
  Microseconds begun_ = 0;
  bool used_ = false, sent_ = false;
};

void Clients::Impl::next() {
  if (!running_) return;
  const Microseconds at = now();
  // Those that were due while the loop was late go now, up to a second of them.
  due_ = std::max(due_, at - 1'000'000);
  while (due_ <= at) {
    Job job;
    job.message = traffic_.draw();
    job.until = job.message.until = at + job.message.deadline;
    counts_.handed++, counts_.out++;
    send(std::move(job));
    due_ += std::max<Microseconds>(1, static_cast<Microseconds>(static_cast<double>(traffic_.gap()) / pace_));
  }
  timer_.expires_after(microseconds(due_ - at));
  timer_.async_wait([self = shared_from_this()](error_code bad) {
    if (!bad) self->next();
  });
}

std::size_t Clients::Impl::pick() {
  const Microseconds at = now();
  if (options_.prefer_first) {
    for (std::size_t i = 0; i < relays_.size(); i++)
      if (relays_[i].passed_over_until <= at) return i;
    return 0;
  }
  for (std::size_t i = 0; i < relays_.size(); i++) {
    turn_ = (turn_ + 1) % relays_.size();
    if (relays_[turn_].passed_over_until <= at) return turn_;
  }
  turn_ = (turn_ + 1) % relays_.size();
  return turn_;
}

void Clients::Impl::send(Job job) {
  job.message.tries = ++job.tries;
  counts_.tries++;
  const auto relay = pick();
  if (options_.on_try) options_.on_try(job.message);
  auto& idle = relays_[relay].idle;
  std::shared_ptr<Connection> connection;
  if (!idle.empty()) {
    connection = std::move(idle.back());
    idle.pop_back();
  } else {
    connection = std::make_shared<Connection>(shared_from_this(), relay);
    all_.remove_if([](const auto& c) { return c.expired(); });
    all_.push_back(connection);
  }
  connection->send(std::move(job));
}

void Clients::Impl::ended(Job job, std::size_t relay, TryResult heard, Microseconds latency,
                          Microseconds told) {
  if (ended_) return;
  const Microseconds at = now();
  auto& r = relays_[relay];
  if (options_.on_try_result) options_.on_try_result(job.message, relay, heard);
  const auto pass_over = [&](Microseconds span) {
    r.passed_over_until = at + std::clamp(span, kLeastPassedOver, kMostPassedOver);
  };
  Microseconds wait = 0;
  switch (heard) {
    case TryResult::taken:
      r.told.taken++;
      r.told.latencies.add(at, latency);
      return over(heard);
    case TryResult::failed:
      r.told.failed++;
      return over(heard);
    case TryResult::silence:
      r.told.silence++;
      pass_over(kMostPassedOver);
      if (std::count(options_.retry_after_silence.begin(), options_.retry_after_silence.end(),
                     job.message.message_class) == 0)
        return over(heard);
      job.unheard = false;
      job.silent = true;
      wait = options_.come_back;
      break;
    case TryResult::refused:
      r.told.refusals++;
      counts_.refusals++;
      pass_over(told);
      job.again = true;
      // Another relay may take it at once; where it is the only one, when it said.
      wait = relays_.size() > 1 && job.tries < relays_.size() ? 0 : told;
      break;
    case TryResult::no_relay:
      r.told.unreached++;
      pass_over(kMostPassedOver);
      wait = job.tries < relays_.size() ? 0 : options_.come_back;
      break;
  }
  if (!running_ || job.tries >= options_.tries || at + wait >= job.until)
    return over(heard == TryResult::silence ? heard : TryResult::refused);
  job.message.id = traffic_.new_id();
  // Also where nothing is waited for: calls may not nest without end.
  const auto timer = std::make_shared<net::steady_timer>(io_, microseconds(wait));
  waiting_.push_back(timer);
  timer->async_wait([self = shared_from_this(), timer, job = std::move(job)](error_code) mutable {
    self->waiting_.remove(timer);
    if (self->ended_) return;
    // Ended early by stop(), it is tried no more.
    if (!self->running_) return self->over(TryResult::refused);
    self->send(std::move(job));
  });
}

void Clients::Impl::over(TryResult heard) {
  counts_.out--;
  switch (heard) {
    case TryResult::taken:
      counts_.taken++;
      break;
    case TryResult::refused:
    case TryResult::no_relay:
      counts_.refused++;
      break;
    case TryResult::failed:
      counts_.failed++;
      break;
    case TryResult::silence:
      counts_.silence++;
      break;
  }
}

Clients::Clients(net::io_context& io, ClientsOptions options)
    : impl_(std::make_shared<Impl>(io, std::move(options))) {
  if (impl_->options_.relays.empty()) throw std::invalid_argument("clients: need a relay");
}
Clients::~Clients() {
  stop();
  impl_->ended_ = true;
  for (const auto& c : impl_->all_)
    if (const auto connection = c.lock()) connection->close();
  for (auto& r : impl_->relays_) r.idle.clear();
  impl_->options_.on_try = nullptr;
  impl_->options_.on_try_result = nullptr;
}
void Clients::start() {
  impl_->running_ = true;
  impl_->due_ = impl_->now();
  impl_->next();
}
void Clients::stop() {
  impl_->running_ = false;
  impl_->timer_.cancel();
  for (const auto& t : impl_->waiting_) t->cancel();
}
void Clients::pace(double times) {
  if (!(times > 0)) throw std::invalid_argument("clients: the pace must be above 0");
  impl_->pace_ = times;
}
const Clients::Counts& Clients::counts() const { return impl_->counts_; }
const Clients::OfRelay& Clients::relay(std::size_t i) const { return impl_->relays_.at(i).told; }

}  // namespace heronvane::standins
