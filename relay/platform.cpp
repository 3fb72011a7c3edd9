#include "platform.hpp"

#include <rapidjson/document.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "core/list_reader.hpp"
#include "core/object_splitter.hpp"
#include "core/retry_read.hpp"
#include "core/staggered_connect.hpp"
#include "core/stream_writer.hpp"
#include "fail_points.hpp"
#include "log.hpp"

namespace heronvane {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

// Discovery sends an empty line every 2 s while nothing changes. A watch without one for 3 s is considered
// broken even if its connection stands: the relay must act on a change that it missed within 6 s of the watch
// falling silent, and reopening takes time, too.
constexpr auto kHeartbeatInterval = std::chrono::milliseconds(2000),
               kHeartbeatTimeout = 3 * kHeartbeatInterval / 2;
// All relays' watches may fall silent at once; each adds a random part of this to kHeartbeatTimeout.
constexpr auto kTimeoutJitter = std::chrono::milliseconds(250);
// After the heartbeat timeout, for reading what had arrived by then.
constexpr auto kFinalReadDelay = std::chrono::milliseconds(100);
constexpr auto kConnectTimeout = std::chrono::seconds(1);  // of a fetch: a slower discovery is unreachable
constexpr auto kListTimeout = std::chrono::seconds(6);  // for one full list, from its request or first byte
constexpr std::size_t kParseSliceBytes = 32 * 1024;     // bytes of a list that are parsed at a time
constexpr std::size_t kEntriesPerPart = 2'000;          // entries of a list that are passed on at a time

}  // namespace

using SteadyTime = std::chrono::steady_clock::time_point;

struct Platform::Query {
  Query(net::io_context& io, bool is_watch, std::size_t max_list_bytes)
      : follow(is_watch), socket(io), timer(io), read_retry_timer(io), buffer(max_list_bytes) {
    // A watch has no end, so its body has no limit. (With a Content-Length, Beast 1.74 treats boost::none as
    // 0.)
    is_watch ? parser.body_limit(boost::none) : parser.body_limit(max_list_bytes);
  }
  bool follow, ended = false;
  tcp::socket socket;
  Timer timer;
  Timer read_retry_timer;  // while the system lacks memory for a read
  std::shared_ptr<StaggeredConnect> connecting;
  beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  std::string list_text;               // of a fetch, received so far
  ObjectSplitter objects;              // of a watch
  std::size_t heartbeats_seen = 0;     // line ends counted as heartbeats
  std::optional<SteadyTime> list_due;  // when the list or object that is being received must be complete
  bool final_read_pending = false;     // kFinalReadDelay runs after a heartbeat timeout
  std::optional<ListReader> reader;    // of the list being parsed
  std::optional<EndpointList> list;    // being passed on
  std::size_t delivered = 0;           // entries of `list` passed on

  // Whether bytes of an answer arrived; the parser reports a header only when it is complete.
  bool has_begun_answer() const { return parser.is_header_done() || buffer.size() > 0; }

  // Ends it: none of its handlers has any further effect.
  void close() {
    ended = true;
    if (connecting) connecting->cancel();
    timer.cancel();
    read_retry_timer.cancel();
    error_code ignored;
    socket.close(ignored);
  }
};

Platform::Platform(net::io_context& io, const tcp::endpoint& address,
                   const heronvane::dispatch::adapter::NameTables& names, std::int64_t index,
                   std::size_t max_list_bytes, ListCallback on_list, FailureCallback on_failure,
                   NoticeSender::TakenCallback on_notices_taken)
    : io_(io),
      address_(address),
      names_(names),
      index_(index),
      max_list_bytes_(max_list_bytes),
      on_list_(std::move(on_list)),
      on_failure_(std::move(on_failure)),
      notices_(io, address, std::move(on_notices_taken)),
      random_(std::random_device{}()) {}
Platform::~Platform() = default;

void Platform::watch() { following_ = true, start_query(true); }
void Platform::fetch() { start_query(false); }
void Platform::refresh(std::function<void()> done) {
  on_refreshed_ = std::move(done);
  cancel_query(fetch_);
  fetch();
}
void Platform::finish_refresh() {
  if (const auto done = std::exchange(on_refreshed_, nullptr)) done();
}
void Platform::unwatch() { following_ = false, cancel_query(watch_); }

void Platform::cancel_query(std::shared_ptr<Query>& query) {
  if (!query) return;
  query->close();
  query.reset();
}

void Platform::set_address(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  index_ = 0;  // indexes of another discovery are not comparable: ask for the full list
  full_list_due_ = true;
  const bool fetching = fetch_ != nullptr;
  cancel_query(fetch_);
  if (fetching) fetch();
  // At once, even if the decision module is in a backoff after a failure of the old address.
  if (following_) watch();
  notices_.set_address(address);
}

void Platform::start_query(bool follow) {
  if (follow) cancel_query(watch_);
  if (!follow && fetch_) return;
  const auto query = std::make_shared<Query>(io_, follow, max_list_bytes_);
  (follow ? watch_ : fetch_) = query;
  query->timer.set(kConnectTimeout, [this, query] { handle_slow_connect(query); });
  query->connecting = std::make_shared<StaggeredConnect>(
      io_, address_, [this, weak = std::weak_ptr(query)](error_code error, tcp::socket socket) {
        const auto connected = weak.lock();
        if (!connected) return;
        if (error) return end_query(connected, error.message());
        connected->socket = std::move(socket);
        send_request(connected);
      });
  query->connecting->start();
}

// A watch goes on connecting: what it misses binds the relay from a fixed time on, so it must be back soon
// after discovery can be reached, whatever failed before. Reported as a failure, it would wait for the
// module's backoff.
void Platform::handle_slow_connect(const std::shared_ptr<Query>& query) {
  if (!query->follow) return end_query(query, "connect timed out");
  log("discovery: watch: connect timed out, still trying");
}

void Platform::send_request(const std::shared_ptr<Query>& query) {
  error_code ignored;
  query->socket.set_option(tcp::no_delay(true), ignored);
  query->socket.non_blocking(true, ignored);
  if (!query->follow) query->list_due = std::chrono::steady_clock::now() + kListTimeout;
  restart_silence_timer(query);
  query->request.method(http::verb::get);
  query->request.version(11);
  query->request.target(query->follow ? "/catalog/members?follow=1&since=" + std::to_string(index_)
                                      : std::string("/catalog/members"));
  query->request.set(http::field::host, "discovery.svc");
  write_all(query->socket, wire_text(query->request), [this, query](error_code error) {
    if (query->ended) return;
    if (error) return end_query(query, error.message());
    read(query);
  });
}

// Restarts the heartbeat timeout. A list ends by its own timeout even while bytes keep arriving.
void Platform::restart_silence_timer(const std::shared_ptr<Query>& query) {
  const SteadyTime now = std::chrono::steady_clock::now();
  if (query->final_read_pending && query->list_due && now >= *query->list_due) return;
  query->final_read_pending = false;
  std::uniform_int_distribution<int> spread(0, static_cast<int>(kTimeoutJitter.count()));
  SteadyTime due = now + kHeartbeatTimeout + std::chrono::milliseconds(spread(random_));
  if (query->list_due) due = std::min(due, *query->list_due);
  query->timer.set(due - now, [this, query] { handle_silence(query); });
}

// Reopens a watch at once that falls silent in the middle of its answer. Reported as a failure, it would wait
// for the module's backoff, and changes could be missed for too long.
void Platform::handle_silence(const std::shared_ptr<Query>& query) {
  // Not silent: the relay is still parsing or passing on a list.
  if (query->reader || query->list) return restart_silence_timer(query);
  // Data may have arrived that is not read yet, for instance after this process was suspended.
  if (!std::exchange(query->final_read_pending, true))
    return query->timer.set(kFinalReadDelay, [this, query] { handle_silence(query); });
  const bool is_list_late = query->list_due && std::chrono::steady_clock::now() >= *query->list_due;
  // A fetch may wait for its first byte until its list is late: discovery works through calls in turn.
  if (!query->follow && !query->has_begun_answer() && !is_list_late) return restart_silence_timer(query);
  const std::string reason = is_list_late ? "list incomplete at its timeout" : "silent for too long";
  if (query->has_begun_answer() && watch_ == query) {
    log("discovery: watch: " + reason + ", reopened");
    if (full_list_due_) index_ = 0;  // ask for the full list again
    return start_query(true);
  }
  end_query(query, reason);
}

void Platform::read(const std::shared_ptr<Query>& query) {
  http::async_read_some(
      query->socket, query->buffer, query->parser, [this, query](error_code error, std::size_t bytes) {
        if (query->ended) return;
        if (is_memory_shortage(error))
          return retry_read(query->socket, query->read_retry_timer,
                            [this, query] { query->ended ? void() : read(query); });
        if (error) return end_query(query, error.message());
        if (query->parser.is_header_done()) {
          if (query->parser.get().result() != http::status::ok)
            return end_query(query, "answered " + std::to_string(query->parser.get().result_int()));
          auto& body = query->parser.get().body();
          query->follow ? query->objects.put(body) : void(query->list_text += body);
          body.clear();
          if (query->list_text.size() > max_list_bytes_ || query->objects.size() > max_list_bytes_)
            return end_query(query, "list exceeds the size limit");
          if (query->follow) return read_watch_objects(query);
        }
        if (!query->follow && bytes > 0) restart_silence_timer(query);
        if (!query->parser.is_done()) return read(query);
        if (query->follow) return end_query(query, "ended");
        query->timer.cancel();
        query->reader.emplace(std::move(query->list_text), names_);
        read_full_list(query);
      });
}

// Parses or passes on the next slice of the list; true once all of it is passed on. Throws WireError.
bool Platform::read_slice(Query& query) {
  if (query.reader) {
    if (!query.reader->step(kParseSliceBytes)) return false;
    query.list = query.reader->take(), query.delivered = 0;
    query.list->serial = ++serial_;
    query.reader.reset();
  }
  return deliver_part(query);
}

// Handles the complete objects received, then reads on. A long list is handled in slices, between which the
// event loop serves clients.
void Platform::read_watch_objects(const std::shared_ptr<Query>& query) {
  try {
    while (!query->ended) {
      if (!query->reader && !query->list) {
        auto object = query->objects.next();
        if (!object) break;
        query->list_due.reset();
        restart_silence_timer(query);
        query->reader.emplace(std::move(*object), names_);
      }
      if (!read_slice(*query)) return net::post(io_, [this, query] { read_watch_objects(query); });
    }
  } catch (const heronvane::dispatch::adapter::WireError& e) {
    log(std::string("discovery: ") + e.what());
    return end_query(query, "malformed entry");
  }
  if (query->ended) return;
  if (query->objects.inside()) {
    // Bytes of an incomplete object count as heartbeats, but it has kListTimeout to end.
    if (!query->list_due) query->list_due = std::chrono::steady_clock::now() + kListTimeout;
    restart_silence_timer(query);
  } else if (const auto line_ends = query->objects.line_ends();
             line_ends != std::exchange(query->heartbeats_seen, line_ends)) {
    restart_silence_timer(query);
  }
  query->parser.is_done() ? end_query(query, "ended") : read(query);
}

// Parses the list of a fetch and passes it on.
void Platform::read_full_list(const std::shared_ptr<Query>& query) {
  if (query->ended) return;
  bool readable = true;
  try {
    if (!read_slice(*query)) return net::post(io_, [this, query] { read_full_list(query); });
  } catch (const heronvane::dispatch::adapter::WireError& e) {
    log(std::string("discovery: ") + e.what());
    readable = false;
  }
  if (query->ended) return;
  query->ended = true;
  fetch_.reset();
  if (!readable) {
    log("discovery: list: malformed");
    on_failure_();
  }
  if (full_list_due_ && readable) fetch();
  finish_refresh();
}

// Passes on the next part of the list; true with the last one.
bool Platform::deliver_part(Query& query) {
  EndpointList& list = *query.list;
  // A fetched list older than what the watch delivered is dropped.
  const bool superseded = !query.follow && watch_ && list.index < index_;
  const std::size_t left = list.endpoints.size() - query.delivered,
                    count = superseded ? left : std::min(left, kEntriesPerPart);
  if (!superseded) {
    EndpointList part;
    part.index = list.index, part.snapshot = list.snapshot, part.serial = list.serial;
    part.first_part = query.delivered == 0, part.last_part = count == left;
    const auto from = list.endpoints.begin() + static_cast<std::ptrdiff_t>(query.delivered);
    part.endpoints.assign(std::make_move_iterator(from),
                          std::make_move_iterator(from + static_cast<std::ptrdiff_t>(count)));
    // Only with the last part, so that an interrupted list is requested again.
    if (part.last_part) index_ = list.index;
    on_list_(std::move(part));
  }
  query.delivered += count;
  if (count < left) return false;
  // After a change of address a full list is due: updates alone would not remove endpoints that are gone.
  full_list_due_ = full_list_due_ && (!list.snapshot || superseded);
  query.list.reset();
  if (full_list_due_ && query.follow) fetch();
  return true;
}

void Platform::end_query(const std::shared_ptr<Query>& query, const std::string& reason) {
  log(std::string("discovery: ") + (query->follow ? "watch: " : "list: ") + reason);
  query->close();
  if (watch_ == query) watch_.reset();
  if (fetch_ == query) fetch_.reset();
  if (full_list_due_) index_ = 0;  // the next watch asks for the full list
  on_failure_();
  if (!query->follow) finish_refresh();
}

}  // namespace heronvane
