#include "platform.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "answer.hpp"
#include "core/list_reader.hpp"
#include "core/object_splitter.hpp"
#include "core/retry_read.hpp"
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

// An empty line comes every 2 s while nothing changes. A watch without one for half as long again is broken,
// though its connection stands: what it misses binds 6 s after it fell silent, and opening it anew takes its
// time, too.
constexpr auto kBeat = std::chrono::milliseconds(2000), kSilent = 3 * kBeat / 2;
// All relays' watches may fall silent in one moment: each is given up somewhere within this of kSilent.
constexpr auto kSpread = std::chrono::milliseconds(250);
constexpr auto kLook = std::chrono::milliseconds(100);  // for what had come by then to be read
constexpr auto kConnectTime =
    std::chrono::seconds(1);                         // discovery is near: one that takes longer is not there
constexpr auto kListTime = std::chrono::seconds(6);  // for one whole list, from its asking or its first byte
constexpr std::size_t kSlice = 32 * 1024;            // bytes of a list that are read in one go
constexpr std::size_t kPart = 2'000;                 // entries of it that are told in one go
constexpr auto kPostTime = std::chrono::seconds(1);
// Between tries of notices. An end is owed 300 ms after its time at the latest: five tries fit into that.
constexpr auto kFirstBackoff = std::chrono::milliseconds(25), kMostBackoff = std::chrono::milliseconds(100);
constexpr unsigned kUnreadable = 400;

}  // namespace

struct Platform::Query {
  Query(net::io_context& io, bool f, std::size_t most_list)
      : follow(f), socket(io), timer(io), read_pause(io), buffer(most_list) {
    // A watch goes on for ever. Beast 1.74 takes no limit for a limit of nothing where a length is announced.
    f ? parser.body_limit(boost::none) : parser.body_limit(most_list);
  }
  bool follow, over = false;
  tcp::socket socket;
  Timer timer;
  Timer read_pause;  // while the system has no memory for a read, or nothing for a connection
  beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  std::string text;                  // of the list that was asked for once, as it comes
  ObjectSplitter objects;            // of a watch, as they come
  std::size_t heard = 0;             // line ends that were taken for signs of life
  bool inside = false;               // an object has begun, and its time runs
  bool answered = false;             // a watch that lived
  bool looked = false;               // once for what had come when its time was up
  std::optional<ListReader> reader;  // of the list that is being read
  std::optional<EndpointList> list;  // that is being told
  std::size_t told = 0;              // of its entries
};

struct Platform::Post {
  explicit Post(net::io_context& io) : timer(io), read_pause(io) {}
  std::shared_ptr<tcp::socket> socket;
  Timer timer;
  Timer read_pause;  // while the system has no memory for a read
  std::vector<MessageId> ids;
  bool fresh = false, over = false;
  http::request<http::string_body> request;
  // Guards against lengths, heads and bodies that no memory holds: bounded as the endpoints' answers are.
  AnswerReader answer;
  std::array<char, 4096> chunk;
  unsigned status = 0;  // of the whole answer; 0: none came
};

Platform::Platform(net::io_context& io, const tcp::endpoint& address,
                   const heronvane::dispatch::adapter::NameTables& names, std::int64_t index,
                   std::size_t most_list, Listed listed, Failed failed, Noticed noticed)
    : io_(io),
      address_(address),
      names_(names),
      index_(index),
      most_list_(most_list),
      listed_(std::move(listed)),
      failed_(std::move(failed)),
      noticed_(std::move(noticed)),
      again_(io),
      backoff_(kFirstBackoff),
      random_(std::random_device{}()) {}
Platform::~Platform() = default;

// ---- The list. ----
void Platform::watch() { following_ = true, ask(true); }
void Platform::fetch() { ask(false); }
void Platform::refresh(std::function<void()> done) {
  refreshed_ = std::move(done);
  drop(fetch_);
  fetch();
}
void Platform::refreshed() {
  if (const auto done = std::exchange(refreshed_, nullptr)) done();
}
void Platform::unwatch() { following_ = false, drop(watch_); }

void Platform::drop(std::shared_ptr<Query>& query) {
  if (!query) return;
  query->over = true;
  error_code ignored;
  query->socket.close(ignored);
  query->timer.cancel();
  query->read_pause.cancel();
  query.reset();
}

void Platform::set_address(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  index_ = 0;  // the new one may count anew: it is asked for all
  whole_due_ = true;
  const bool fetching = fetch_ != nullptr;
  drop(fetch_);
  if (fetching) fetch();
  // Also where the module pauses after a failure: that was the old one's.
  if (following_) watch();
  kept_.reset();
  if (post_) {
    post_->over = true;
    post_->timer.cancel();
    post_->read_pause.cancel();
    error_code ignored;
    post_->socket->close(ignored);
    post_.reset();
  }
  again_.cancel();
  waiting_ = false;
  backoff_ = kFirstBackoff;
  if (!owed_.empty()) post();
}

void Platform::ask(bool follow) {
  if (follow) drop(watch_);
  if (!follow && fetch_) return;
  const auto query = std::make_shared<Query>(io_, follow, most_list_);
  (follow ? watch_ : fetch_) = query;
  query->timer.set(kConnectTime, [this, query] { end(query, "no connection"); });
  connect(query);
}

void Platform::connect(const std::shared_ptr<Query>& query) {
  query->socket.async_connect(address_, [this, query](error_code bad) {
    if (query->over) return;
    // No failure of discovery, whose pauses would grow: tried again until the time to connect is over.
    if (is_local_shortage(bad)) {
      error_code ignored;
      query->socket.close(ignored);
      return query->read_pause.set(kConnectRetryDelay, [this, query] { connect(query); });
    }
    if (bad) return end(query, bad.message());
    send_request(query);
  });
}

void Platform::send_request(const std::shared_ptr<Query>& query) {
  error_code ignored;
  query->socket.set_option(tcp::no_delay(true), ignored);
  query->socket.non_blocking(true, ignored);
  query->follow ? guard(query) : list_time(query);
  query->request.method(http::verb::get);
  query->request.version(11);
  query->request.target(query->follow ? "/catalog/members?follow=1&since=" + std::to_string(index_)
                                      : std::string("/catalog/members"));
  query->request.set(http::field::host, "discovery.svc");
  write_all(query->socket, wire_text(query->request), [this, query](error_code failed) {
    if (query->over) return;
    if (failed) return end(query, failed.message());
    read(query);
  });
}

// Until the next sign of life of a watch.
void Platform::guard(const std::shared_ptr<Query>& query) {
  query->looked = false;
  std::uniform_int_distribution<int> spread(0, static_cast<int>(kSpread.count()));
  query->timer.set(kSilent + std::chrono::milliseconds(spread(random_)), [this, query] { silent(query); });
}

void Platform::list_time(const std::shared_ptr<Query>& query) {
  query->timer.set(kListTime, [this, query] { end(query, "not whole in time"); });
}

// Opened anew at once: the module would pause first, and what is missed binds meanwhile.
void Platform::silent(const std::shared_ptr<Query>& query) {
  // It is not the watch that is slow: what it told is still being read.
  if (query->reader || query->list) return guard(query);
  // What was written is told, though it comes to be read in the very moment, or after this process stood
  // still; it may also be on its way yet.
  if (!std::exchange(query->looked, true)) return query->timer.set(kLook, [this, query] { silent(query); });
  if (query->answered && watch_ == query) {
    log("discovery: watch: silent for too long, opened anew");
    if (whole_due_) index_ = 0;  // it asks for all again
    return ask(true);
  }
  end(query, "silent for too long");
}

void Platform::read(const std::shared_ptr<Query>& query) {
  http::async_read_some(
      query->socket, query->buffer, query->parser, [this, query](error_code bad, std::size_t) {
        if (query->over) return;
        if (is_memory_shortage(bad))
          return retry_read(query->socket, query->read_pause,
                            [this, query] { query->over ? void() : read(query); });
        if (bad) return end(query, bad.message());
        if (query->parser.is_header_done()) {
          if (query->parser.get().result() != http::status::ok)
            return end(query, "answered " + std::to_string(query->parser.get().result_int()));
          auto& body = query->parser.get().body();
          query->follow ? query->objects.put(body) : void(query->text += body);
          body.clear();
          if (query->text.size() > most_list_ || query->objects.size() > most_list_)
            return end(query, "a list too long");
          if (query->follow) return objects(query);
        }
        if (!query->parser.is_done()) return read(query);
        if (query->follow) return end(query, "ended");
        query->timer.cancel();
        query->reader.emplace(std::move(query->text), names_);
        whole(query);
      });
}

// Reads and tells on in the list; true once all of it is told. Throws WireError.
bool Platform::slice(Query& query) {
  if (query.reader) {
    if (!query.reader->step(kSlice)) return false;
    query.list = query.reader->take(), query.told = 0;
    query.list->serial = ++serial_;
    query.reader.reset();
  }
  return hand_over(query);
}

// Takes the whole objects that have come, then reads on. A long one is read in slices, so that clients don't
// wait.
void Platform::objects(const std::shared_ptr<Query>& query) {
  try {
    while (!query->over) {
      if (!query->reader && !query->list) {
        auto one = query->objects.next();
        if (!one) break;
        query->answered = true, query->inside = false;
        guard(query);
        query->reader.emplace(std::move(*one), names_);
      }
      if (!slice(*query)) return net::post(io_, [this, query] { objects(query); });
    }
  } catch (const heronvane::dispatch::adapter::WireError& e) {
    log(std::string("discovery: ") + e.what());
    return end(query, "an entry that can't be read");
  }
  if (query->over) return;
  if (query->objects.inside()) {
    // Its bytes are no sign of life for ever.
    if (!std::exchange(query->inside, true)) list_time(query);
  } else if (const auto ends = query->objects.line_ends(); ends != std::exchange(query->heard, ends)) {
    query->answered = true;
    guard(query);
  }
  query->parser.is_done() ? end(query, "ended") : read(query);
}

// Reads the list that was asked for once.
void Platform::whole(const std::shared_ptr<Query>& query) {
  if (query->over) return;
  bool readable = true;
  try {
    if (!slice(*query)) return net::post(io_, [this, query] { whole(query); });
  } catch (const heronvane::dispatch::adapter::WireError& e) {
    log(std::string("discovery: ") + e.what());
    readable = false;
  }
  if (query->over) return;
  query->over = true;
  fetch_.reset();
  if (!readable) {
    log("discovery: list: can't be read");
    failed_();
  }
  if (whole_due_ && readable) fetch();
  refreshed();
}

// The next part of the list; true with the last one.
bool Platform::hand_over(Query& query) {
  EndpointList& list = *query.list;
  // One that was overtaken by the watch is asked for again.
  const bool overtaken = !query.follow && watch_ && list.index < index_;
  const std::size_t left = list.endpoints.size() - query.told,
                    count = overtaken ? left : std::min(left, kPart);
  if (!overtaken) {
    EndpointList part;
    part.index = list.index, part.snapshot = list.snapshot, part.serial = list.serial;
    part.first_part = query.told == 0, part.last_part = count == left;
    const auto from = list.endpoints.begin() + static_cast<std::ptrdiff_t>(query.told);
    part.endpoints.assign(std::make_move_iterator(from),
                          std::make_move_iterator(from + static_cast<std::ptrdiff_t>(count)));
    // Only now: what is broken off is asked for anew.
    if (part.last_part) index_ = list.index;
    listed_(std::move(part));
  }
  query.told += count;
  if (count < left) return false;
  // What a whole list says after a move is all there is; changes alone leave in what went before them.
  whole_due_ = whole_due_ && (!list.snapshot || overtaken);
  query.list.reset();
  if (whole_due_ && query.follow) fetch();
  return true;
}

void Platform::end(const std::shared_ptr<Query>& query, const std::string& why) {
  log(std::string("discovery: ") + (query->follow ? "watch: " : "list: ") + why);
  query->over = true;
  query->timer.cancel();
  query->read_pause.cancel();
  error_code ignored;
  query->socket.close(ignored);
  if (watch_ == query) watch_.reset();
  if (fetch_ == query) fetch_.reset();
  if (whole_due_) index_ = 0;  // the next watch asks for all again
  failed_();
  if (!query->follow) refreshed();
}

// ---- Notices. ----
void Platform::send_notice(MessageId id, const std::string& wire_id, const Ending& ending) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  w.StartObject();
  w.Key("id"), w.String(wire_id.data(), static_cast<rapidjson::SizeType>(wire_id.size()));
  w.Key("status"), w.String(ending.deferred ? "deferred" : "undeliverable");
  if (ending.deferred && ending.again > 0) w.Key("again_ms"), w.Int64((ending.again + 999) / 1000);
  w.EndObject();
  owed_[id] = std::string(buffer.GetString(), buffer.GetSize()) + "\n";
  if (!post_ && !waiting_) post();
}

void Platform::post() {
  const auto post = post_ = std::make_shared<Post>(io_);
  auto& request = post->request;
  for (const auto& [id, text] : owed_) {
    if (post->ids.size() >= most_lines_) break;
    post->ids.push_back(id);
    request.body() += text;
  }
  request.method(http::verb::post);
  request.version(11);
  request.target("/v2/finals");
  request.set(http::field::host, "discovery.svc");
  request.set(http::field::content_type, "application/x-ndjson");
  request.prepare_payload();
  post->timer.set(kPostTime, [this, post] { posted(post, "no answer"); });
  const auto talk = [this, post](error_code bad) {
    if (post->over) return;
    if (bad) return posted(post, bad.message());
    error_code ignored;
    post->socket->set_option(tcp::no_delay(true), ignored);
    post->socket->non_blocking(true, ignored);
    HERONVANE_POINT("notice.before");
    write_all(*post->socket, wire_text(post->request), [this, post, kept = post->socket](error_code unsent) {
      if (post->over) return;
      if (unsent) return posted(post, unsent.message());
      read(post);
    });
  };
  if (const auto socket = std::exchange(kept_, nullptr)) {
    // What lies in it now is no answer to what is not asked yet: it would tell that these notices were taken.
    error_code bad;
    if (socket->available(bad) == 0 && !bad) {
      post->socket = socket;
      return talk({});
    }
    socket->close(bad);
  }
  post->fresh = true;
  post->socket = std::make_shared<tcp::socket>(io_);
  post->socket->async_connect(address_, talk);
}

void Platform::read(const std::shared_ptr<Post>& post) {
  post->socket->async_read_some(net::buffer(post->chunk), [this, post](error_code bad, std::size_t size) {
    if (post->over) return;
    using State = AnswerReader::State;
    if (is_memory_shortage(bad))
      return retry_read(*post->socket, post->read_pause,
                        [this, post, kept = post->socket] { post->over ? void() : read(post); });
    if (bad && bad != net::error::eof) return posted(post, bad.message());
    const State state = bad ? post->answer.end() : post->answer.put(post->chunk.data(), size);
    if (state == State::more) return read(post);
    if (state == State::broken) return posted(post, bad ? bad.message() : "an answer that can't be read");
    post->status = post->answer.status();
    HERONVANE_POINT("notice.answered");
    posted(post, post->status == 204 ? "" : "answered " + std::to_string(post->status));
  });
}

void Platform::told(const std::vector<MessageId>& ids) {
  for (const MessageId id : ids) owed_.erase(id);
  if (owed_.empty()) most_lines_ = kMostLines;
  noticed_(ids);
  if (!owed_.empty() && !post_) post();
}

void Platform::posted(const std::shared_ptr<Post>& post, const std::string& problem) {
  post->over = true;
  post->timer.cancel();
  post->read_pause.cancel();
  post_.reset();
  if (problem.empty()) {
    backoff_ = kFirstBackoff;
    if (post->answer.reusable()) kept_ = post->socket;
    return told(post->ids);
  }
  error_code ignored;
  post->socket->close(ignored);
  if (post->status == kUnreadable) {
    // Guards against one notice that the platform can't read, sent for ever with all that it holds up: they
    // go one by one until it is found, and it goes.
    if (post->ids.size() > 1) {
      most_lines_ = 1;
      return this->post();
    }
    log("notices: the platform can't read " + owed_[post->ids[0]]);
    most_lines_ = kMostLines;
    return told(post->ids);
  }
  // A notice for a message that is over does no harm, so it goes again; at once where only a kept
  // connection had ended.
  if (!post->fresh) return this->post();
  log("notices: " + problem);
  waiting_ = true;
  again_.set(backoff_, [this] {
    waiting_ = false;
    if (!owed_.empty() && !post_) this->post();
  });
  backoff_ = std::min(2 * backoff_, kMostBackoff);
}

}  // namespace heronvane
