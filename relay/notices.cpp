#include "notices.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>
#include <utility>

#include "answer.hpp"
#include "core/retry_read.hpp"
#include "core/staggered_connect.hpp"
#include "core/stream_writer.hpp"
#include "fail_points.hpp"
#include "log.hpp"

namespace heronvane {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

constexpr auto kPostTimeout = std::chrono::seconds(1);
// Between attempts to send notices. A notice is due within 300 ms, so that there is time for five attempts.
constexpr auto kFirstBackoff = std::chrono::milliseconds(25), kMaxBackoff = std::chrono::milliseconds(100);
constexpr unsigned kStatusMalformed = 400;

}  // namespace

struct NoticeSender::Post {
  explicit Post(net::io_context& io) : timer(io), read_retry_timer(io) {}
  std::shared_ptr<StaggeredConnect> connecting;
  std::shared_ptr<tcp::socket> socket;  // null until it is connected
  Timer timer;
  Timer read_retry_timer;  // while the system lacks memory for a read
  std::vector<MessageId> ids;
  bool new_connection = false, ended = false;
  http::request<http::string_body> request;
  // Bounds the size of the header and the body, as for endpoints' answers.
  AnswerReader answer;
  std::array<char, 4096> chunk{};
  unsigned status = 0;          // 0 until the answer is complete
  Microseconds written_at = 0;  // when writing began

  // Ends it, but leaves its connection open: none of its handlers has any further effect.
  void stop() {
    ended = true;
    if (connecting) connecting->cancel();
    timer.cancel();
    read_retry_timer.cancel();
  }
  void close() {
    stop();
    error_code ignored;
    if (socket) socket->close(ignored);
  }
};

NoticeSender::NoticeSender(net::io_context& io, tcp::endpoint address, TakenCallback on_taken)
    : io_(io),
      address_(std::move(address)),
      on_taken_(std::move(on_taken)),
      retry_timer_(io),
      backoff_(kFirstBackoff) {}
NoticeSender::~NoticeSender() = default;

void NoticeSender::set_address(const tcp::endpoint& address) {
  address_ = address;
  idle_socket_.reset();
  reuse_delay_ = {};
  if (post_) {
    post_->close();
    post_.reset();
  }
  retry_timer_.cancel();
  retry_pending_ = false;
  backoff_ = kFirstBackoff;
  if (!pending_notices_.empty()) post_notices();
}

void NoticeSender::send(MessageId id, const std::string& wire_id, const Ending& ending) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  writer.Key("id"), writer.String(wire_id.data(), static_cast<rapidjson::SizeType>(wire_id.size()));
  writer.Key("status"), writer.String(ending.deferred ? "deferred" : "undeliverable");
  if (ending.deferred && ending.again > 0) writer.Key("again_ms"), writer.Int64((ending.again + 999) / 1000);
  writer.EndObject();
  pending_notices_[id] = std::string(buffer.GetString(), buffer.GetSize()) + "\n";
  if (!post_ && !retry_pending_) post_notices();
}

// When the idle connection may carry the next notices; 0: now. Its owner checks that there is one.
Microseconds NoticeSender::time_until_reusable() const {
  return std::max<Microseconds>(answered_at_ + reuse_delay_.delay() - steady_now(), 0);
}

// Takes the idle connection if it may be used and nothing has arrived on it: that would be read as the answer
// to the next notices and could confirm them by mistake. Closes it otherwise.
std::shared_ptr<tcp::socket> NoticeSender::take_idle_socket() {
  auto socket = std::exchange(idle_socket_, nullptr);
  if (!socket) return nullptr;
  error_code error;
  const std::size_t unexpected = socket->available(error);
  if (unexpected > 0) reuse_delay_.record_unexpected_bytes(steady_now() - answered_at_);
  if (unexpected == 0 && !error && time_until_reusable() == 0) return socket;
  socket->close(error);
  return nullptr;
}

void NoticeSender::post_later(std::chrono::microseconds delay) {
  retry_pending_ = true;
  retry_timer_.set(delay, [this] {
    retry_pending_ = false;
    if (!pending_notices_.empty() && !post_) post_notices();
  });
}

void NoticeSender::post_notices() {
  const Microseconds wait = idle_socket_ ? time_until_reusable() : 0;
  if (wait > 0 && reuse_delay_.is_worth_waiting(wait)) return post_later(std::chrono::microseconds(wait));
  const auto post = post_ = std::make_shared<Post>(io_);
  auto& request = post->request;
  for (const auto& [id, text] : pending_notices_) {
    if (post->ids.size() >= max_notices_) break;
    post->ids.push_back(id);
    request.body() += text;
  }
  request.method(http::verb::post);
  request.version(11);
  request.target("/v2/finals");
  request.set(http::field::host, "discovery.svc");
  request.set(http::field::content_type, "application/x-ndjson");
  request.prepare_payload();
  post->timer.set(kPostTimeout, [this, post] { finish_post(post, "no answer"); });
  if ((post->socket = take_idle_socket()) != nullptr) return write(post);
  post->new_connection = true;
  post->connecting = std::make_shared<StaggeredConnect>(
      io_, address_, [this, weak = std::weak_ptr(post)](error_code error, tcp::socket socket) {
        const auto connected = weak.lock();
        if (!connected) return;
        if (error) return finish_post(connected, error.message());
        connected->socket = std::make_shared<tcp::socket>(std::move(socket));
        write(connected);
      });
  post->connecting->start();
}

void NoticeSender::write(const std::shared_ptr<Post>& post) {
  error_code ignored;
  post->socket->set_option(tcp::no_delay(true), ignored);
  post->socket->non_blocking(true, ignored);
  post->written_at = steady_now();
  HERONVANE_POINT("notice.before");
  write_all(*post->socket, wire_text(post->request), [this, post, socket = post->socket](error_code error) {
    if (post->ended) return;
    if (error) return finish_post(post, error.message());
    read(post);
  });
}

void NoticeSender::read(const std::shared_ptr<Post>& post) {
  post->socket->async_read_some(net::buffer(post->chunk), [this, post](error_code error, std::size_t size) {
    if (post->ended) return;
    using State = AnswerReader::State;
    if (is_memory_shortage(error)) {
      return retry_read(*post->socket, post->read_retry_timer, [this, post, socket = post->socket] {
        if (!post->ended) read(post);
      });
    }
    if (error && error != net::error::eof) return finish_post(post, error.message());
    const State state = error ? post->answer.end() : post->answer.put(post->chunk.data(), size);
    if (state == State::more) return read(post);
    if (state == State::broken) return finish_post(post, error ? error.message() : "malformed answer");
    post->status = post->answer.status();
    answered_at_ = steady_now();
    if (post->new_connection) reuse_delay_.record_first_answer(answered_at_ - post->written_at);
    HERONVANE_POINT("notice.answered");
    finish_post(post, post->status == 204 ? "" : "answered " + std::to_string(post->status));
  });
}

void NoticeSender::handle_notices_taken(const std::vector<MessageId>& ids) {
  for (const MessageId id : ids) pending_notices_.erase(id);
  if (pending_notices_.empty()) max_notices_ = kMaxNoticesPerPost;
  on_taken_(ids);
  if (!pending_notices_.empty() && !post_) post_notices();
}

void NoticeSender::finish_post(const std::shared_ptr<Post>& post, const std::string& error_text) {
  post->stop();
  post_.reset();
  if (error_text.empty()) {
    backoff_ = kFirstBackoff;
    if (post->answer.reusable()) idle_socket_ = post->socket;
    return handle_notices_taken(post->ids);
  }
  post->close();
  if (post->status == kStatusMalformed) {
    // One malformed notice must not block the others for ever: they are sent one at a time until the
    // malformed one is found and dropped.
    if (post->ids.size() > 1) {
      max_notices_ = 1;
      return post_notices();
    }
    log("notices: dropped, the platform answered 400 to " + pending_notices_[post->ids[0]]);
    max_notices_ = kMaxNoticesPerPost;
    return handle_notices_taken(post->ids);
  }
  // Notices are idempotent, so they are sent again: at once if an idle connection may have been closed before
  // the request arrived.
  if (!post->new_connection) return post_notices();
  log("notices: " + error_text);
  post_later(backoff_);
  backoff_ = std::min(2 * backoff_, kMaxBackoff);
}

}  // namespace heronvane
