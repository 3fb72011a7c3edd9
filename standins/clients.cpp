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

constexpr Microseconds kMaxRetryAfter = 5'000'000, kMinAvoidance = 100'000, kMaxAvoidance = 1'000'000;

// Parses a Retry-After value in seconds, such as "0.5", and caps it at kMaxRetryAfter. Returns `fallback` if
// the value is missing or malformed.
Microseconds parse_retry_after(boost::beast::string_view text, Microseconds fallback) {
  double seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (text.empty() || error != std::errc() || end != text.data() + text.size() || !(seconds >= 0))
    return fallback;
  return static_cast<Microseconds>(std::min(seconds * 1e6, static_cast<double>(kMaxRetryAfter)));
}

}  // namespace

struct Job {
  Message message;
  Microseconds deadline = 0;  // absolute deadline on the clients' clock
  unsigned tries = 0;
  bool refused_before = false;     // an earlier try was refused
  bool unanswered_before = false;  // an earlier try was not answered, and this is a retry of it
  bool maybe_delivered = false;    // sent before under the present id, and not answered
};

class Clients::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(net::io_context& io, ClientsOptions o)
      : io_(io), options_(std::move(o)), traffic_(options_.plan, options_.seed), timer_(io) {
    relays_.resize(options_.relays.size());
  }
  Microseconds now() const { return options_.now ? options_.now() : steady_time(); }
  void submit_due();
  void send(Job job);
  void on_try_end(Job job, std::size_t relay, TryResult result, Microseconds latency,
                  Microseconds retry_after);
  void finish_message(TryResult result);
  std::size_t pick_relay();

  struct Relay {
    RelayCounts counts;
    Microseconds avoided_until = 0;
    std::vector<std::shared_ptr<Connection>> idle;
  };
  net::io_context& io_;
  ClientsOptions options_;
  Traffic traffic_;
  net::steady_timer timer_;
  std::vector<Relay> relays_;
  std::list<std::weak_ptr<Connection>> connections_;
  std::list<std::shared_ptr<net::steady_timer>> retry_timers_;
  Counts counts_;
  std::size_t last_used_ = 0;
  Microseconds next_due_ = 0;
  double rate_factor_ = 1;
  bool running_ = false, destroyed_ = false;
};

// One connection to one relay, kept alive by its pending asynchronous operation.
class Clients::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> clients, std::size_t relay)
      : clients_(std::move(clients)), relay_(relay), socket_(clients_->io_), timer_(clients_->io_) {}

  void send(Job job) {
    job_ = std::move(job);
    sent_at_ = clients_->now();
    answer_.reset();
    timer_.expires_after(microseconds(clients_->options_.answer_timeout));
    timer_.async_wait([self = shared_from_this()](error_code failure) {
      // Ignores an expiry that belongs to the previous request, whose answer came at the same moment.
      if (failure || !self->job_ || self->timer_.expiry() > std::chrono::steady_clock::now()) return;
      self->finish_try(TryResult::no_relay);
    });
    request_sent_ = false;
    if (reused_) return write();
    socket_.async_connect(clients_->options_.relays[relay_].address,
                          [self = shared_from_this()](error_code failure) {
                            if (!self->job_) return;
                            if (failure) return self->finish_try(TryResult::no_relay);
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
    request_ = "POST /" + m.message_class + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + m.id +
               "\r\nX-Class: " + m.message_class + (m.tenant.empty() ? "" : "\r\nX-Tenant: " + m.tenant) +
               "\r\nX-Deadline: " +
               std::to_string(std::max<Microseconds>(0, job_->deadline - clients_->now()) / 1000) +
               "m\r\nX-Consignee: dest=" + std::to_string(m.destination) +
               (job_->unanswered_before ? "\r\nX-Retry: again"
                : job_->refused_before  ? "\r\nX-Retry: 1"
                                        : "") +
               "\r\nContent-Length: " + std::to_string(m.body) + "\r\n\r\n" + std::string(m.body, 'x');
    request_sent_ = true;
    net::async_write(socket_, net::buffer(request_),
                     [self = shared_from_this()](error_code failure, std::size_t) {
                       if (failure && self->job_) self->on_connection_error();
                     });
    answer_.emplace();
    http::async_read(socket_, buffer_, *answer_,
                     [self = shared_from_this()](error_code failure, std::size_t) {
                       if (!self->job_) return;
                       if (failure) return self->on_connection_error();
                       self->on_answer();
                     });
  }
  // The relay may have closed a reused connection before it read this request, so the request is sent once
  // more over a new connection, under the same id.
  void on_connection_error() {
    if (!reused_ || answer_->is_header_done() || buffer_.size() > 0) return finish_try(TryResult::silence);
    Job job = std::move(*job_);
    job.maybe_delivered = true;
    const auto replacement = std::make_shared<Connection>(clients_, relay_);
    clients_->connections_.push_back(replacement);
    close();
    replacement->send(std::move(job));
  }
  void on_answer() {
    const auto& a = answer_->get();
    const unsigned status = a.result_int();
    const Microseconds latency = clients_->now() - sent_at_;
    const Microseconds retry_after =
        parse_retry_after(a["Retry-After"], clients_->options_.default_retry_delay);
    Job job = std::move(*job_);
    // If an earlier send under this id may have been taken, a refusal does not prove that it was not.
    const TryResult result = status == 200 || status == 202   ? TryResult::taken
                             : job.maybe_delivered            ? TryResult::silence
                             : status == 429 || status == 503 ? TryResult::refused
                                                              : TryResult::failed;
    job_.reset();
    timer_.cancel();
    reused_ = true;
    if (a.keep_alive() && !clients_->destroyed_)
      clients_->relays_[relay_].idle.push_back(shared_from_this());
    else
      close();
    clients_->on_try_end(std::move(job), relay_, result, latency, retry_after);
  }
  void finish_try(TryResult result) {
    Job job = std::move(*job_);
    if (result == TryResult::no_relay && (request_sent_ || job.maybe_delivered)) result = TryResult::silence;
    close();
    clients_->on_try_end(std::move(job), relay_, result, clients_->now() - sent_at_, 0);
  }

  std::shared_ptr<Impl> clients_;
  std::size_t relay_;
  tcp::socket socket_;
  net::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> answer_;
  std::optional<Job> job_;
  std::string request_;
  Microseconds sent_at_ = 0;
  bool reused_ = false, request_sent_ = false;
};

void Clients::Impl::submit_due() {
  if (!running_) return;
  const Microseconds at = now();
  // Messages that fell due while the event loop was late are sent now, up to one second's worth.
  next_due_ = std::max(next_due_, at - 1'000'000);
  while (next_due_ <= at) {
    Job job;
    job.message = traffic_.draw();
    job.deadline = job.message.until = at + job.message.deadline;
    counts_.handed++, counts_.out++;
    send(std::move(job));
    next_due_ += std::max<Microseconds>(
        1, static_cast<Microseconds>(static_cast<double>(traffic_.gap()) / rate_factor_));
  }
  timer_.expires_after(microseconds(next_due_ - at));
  timer_.async_wait([self = shared_from_this()](error_code failure) {
    if (!failure) self->submit_due();
  });
}

std::size_t Clients::Impl::pick_relay() {
  const Microseconds at = now();
  if (options_.prefer_first) {
    for (std::size_t i = 0; i < relays_.size(); i++)
      if (relays_[i].avoided_until <= at) return i;
    return 0;
  }
  for (std::size_t i = 0; i < relays_.size(); i++) {
    last_used_ = (last_used_ + 1) % relays_.size();
    if (relays_[last_used_].avoided_until <= at) return last_used_;
  }
  last_used_ = (last_used_ + 1) % relays_.size();
  return last_used_;
}

void Clients::Impl::send(Job job) {
  job.message.tries = ++job.tries;
  counts_.tries++;
  const auto relay = pick_relay();
  if (options_.on_try) options_.on_try(job.message);
  auto& idle = relays_[relay].idle;
  std::shared_ptr<Connection> connection;
  if (!idle.empty()) {
    connection = std::move(idle.back());
    idle.pop_back();
  } else {
    connection = std::make_shared<Connection>(shared_from_this(), relay);
    connections_.remove_if([](const auto& c) { return c.expired(); });
    connections_.push_back(connection);
  }
  connection->send(std::move(job));
}

void Clients::Impl::on_try_end(Job job, std::size_t relay, TryResult result, Microseconds latency,
                               Microseconds retry_after) {
  if (destroyed_) return;
  const Microseconds at = now();
  auto& r = relays_[relay];
  if (options_.on_try_result) options_.on_try_result(job.message, relay, result);
  const auto avoid = [&](Microseconds duration) {
    r.avoided_until = at + std::clamp(duration, kMinAvoidance, kMaxAvoidance);
  };
  Microseconds wait = 0;
  switch (result) {
    case TryResult::taken:
      r.counts.taken++;
      r.counts.latencies.add(at, latency);
      return finish_message(result);
    case TryResult::failed:
      r.counts.failed++;
      return finish_message(result);
    case TryResult::silence:
      r.counts.silence++;
      avoid(kMaxAvoidance);
      if (std::count(options_.retry_after_silence.begin(), options_.retry_after_silence.end(),
                     job.message.message_class) == 0)
        return finish_message(result);
      job.maybe_delivered = false;
      job.unanswered_before = true;
      wait = options_.default_retry_delay;
      break;
    case TryResult::refused:
      r.counts.refusals++;
      counts_.refusals++;
      avoid(retry_after);
      job.refused_before = true;
      // Another relay may take the message at once; a single relay is tried again after the time that it
      // gave.
      wait = relays_.size() > 1 && job.tries < relays_.size() ? 0 : retry_after;
      break;
    case TryResult::no_relay:
      r.counts.unreached++;
      avoid(kMaxAvoidance);
      wait = job.tries < relays_.size() ? 0 : options_.default_retry_delay;
      break;
  }
  if (!running_ || job.tries >= options_.tries || at + wait >= job.deadline)
    return finish_message(result == TryResult::silence ? result : TryResult::refused);
  job.message.id = traffic_.new_id();
  // A timer is used even for a delay of 0, so that calls do not nest without limit.
  const auto timer = std::make_shared<net::steady_timer>(io_, microseconds(wait));
  retry_timers_.push_back(timer);
  timer->async_wait([self = shared_from_this(), timer, job = std::move(job)](error_code) mutable {
    self->retry_timers_.remove(timer);
    if (self->destroyed_) return;
    // stop() cancelled the timer: the message is not tried again.
    if (!self->running_) return self->finish_message(TryResult::refused);
    self->send(std::move(job));
  });
}

void Clients::Impl::finish_message(TryResult result) {
  counts_.out--;
  switch (result) {
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
  if (impl_->options_.relays.empty()) throw std::invalid_argument("clients: at least one relay is needed");
}
Clients::~Clients() {
  stop();
  impl_->destroyed_ = true;
  for (const auto& c : impl_->connections_)
    if (const auto connection = c.lock()) connection->close();
  for (auto& r : impl_->relays_) r.idle.clear();
  impl_->options_.on_try = nullptr;
  impl_->options_.on_try_result = nullptr;
}
void Clients::start() {
  impl_->running_ = true;
  impl_->next_due_ = impl_->now();
  impl_->submit_due();
}
void Clients::stop() {
  impl_->running_ = false;
  impl_->timer_.cancel();
  for (const auto& t : impl_->retry_timers_) t->cancel();
}
void Clients::pace(double factor) {
  if (!(factor > 0)) throw std::invalid_argument("clients: the pace factor must be above 0");
  impl_->rate_factor_ = factor;
}
const Clients::Counts& Clients::counts() const { return impl_->counts_; }
const Clients::RelayCounts& Clients::relay(std::size_t i) const { return impl_->relays_.at(i).counts; }

}  // namespace heronvane::standins
