// The client of the platform: fetches and watches discovery's endpoint list, and sends the final notices of
// messages that were not delivered.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "backends/reuse_delay.hpp"
#include "core/message.hpp"
#include "core/timer.hpp"
#include "endpoint_list.hpp"
#include "settings.hpp"

namespace heronvane {

// Used on the event loop's thread only, where the callbacks run, too.
class Platform {
 public:
  // Receives each list or update, in parts.
  using ListCallback = std::function<void(EndpointList)>;
  // A watch or a fetch has failed.
  using FailureCallback = std::function<void()>;
  // The platform has accepted the notices of these messages, or they were dropped as malformed.
  using NoticesTakenCallback = std::function<void(const std::vector<MessageId>&)>;

  // `index` is that of the list known already, from which the watch continues. `names` must outlive this
  // object.
  Platform(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
           const heronvane::dispatch::adapter::NameTables& names, std::int64_t index,
           std::size_t max_list_bytes, ListCallback on_list, FailureCallback on_failure,
           NoticesTakenCallback on_notices_taken);
  ~Platform();

  void watch();  // opens a watch for changes, which lasts until unwatch() or a failure
  void unwatch();
  void fetch();  // requests the full list once, unless a fetch is in flight
  // Requests the full list, replacing a fetch in flight. Calls `done` once the list has been passed on or the
  // fetch has failed.
  void refresh(std::function<void()> done);
  std::int64_t index() const { return index_; }  // of the last list passed on
  // Changes discovery's address. Queries and notices in flight to the old one start again at the new one.
  void set_address(const boost::asio::ip::tcp::endpoint& address);
  const boost::asio::ip::tcp::endpoint& address() const { return address_; }
  // Sends a notice, with retries until the platform accepts it.
  void send_notice(MessageId id, const std::string& wire_id, const Ending& ending);
  bool has_pending_notices() const { return !pending_notices_.empty(); }

 private:
  struct Query;
  struct Post;
  void start_query(bool follow);
  void handle_slow_connect(const std::shared_ptr<Query>& query);
  void send_request(const std::shared_ptr<Query>& query);
  void cancel_query(std::shared_ptr<Query>& query);
  void read(const std::shared_ptr<Query>& query);
  void read_watch_objects(const std::shared_ptr<Query>& query);
  void read_full_list(const std::shared_ptr<Query>& query);
  bool read_slice(Query& query);
  bool deliver_part(Query& query);
  void end_query(const std::shared_ptr<Query>& query, const std::string& reason);
  void finish_refresh();
  void reset_watch_timer(const std::shared_ptr<Query>& query);
  void start_list_timer(const std::shared_ptr<Query>& query);
  void handle_silence(const std::shared_ptr<Query>& query);
  void post_notices();
  void post_later(std::chrono::microseconds delay);
  Microseconds time_until_reusable() const;
  std::shared_ptr<boost::asio::ip::tcp::socket> take_idle_socket();
  void write(const std::shared_ptr<Post>& post);
  void read(const std::shared_ptr<Post>& post);
  void handle_notices_taken(const std::vector<MessageId>& ids);
  void finish_post(const std::shared_ptr<Post>& post, const std::string& error_text);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  const heronvane::dispatch::adapter::NameTables& names_;
  std::int64_t index_;
  std::uint64_t serial_ = 0;  // of the last list passed on
  const std::size_t max_list_bytes_;
  ListCallback on_list_;
  FailureCallback on_failure_;
  NoticesTakenCallback on_notices_taken_;
  std::shared_ptr<Query> watch_, fetch_;
  std::function<void()> on_refreshed_;                         // null if no refresh() is in flight
  std::map<MessageId, std::string> pending_notices_;           // as JSON lines
  std::shared_ptr<Post> post_;                                 // in flight, or null
  std::shared_ptr<boost::asio::ip::tcp::socket> idle_socket_;  // for notices, or null
  Microseconds answered_at_ = 0;                               // when its last answer was read
  ReuseDelay reuse_delay_;
  static constexpr std::size_t kMaxNoticesPerPost = 64;
  std::size_t max_notices_ = kMaxNoticesPerPost;
  Timer retry_timer_;  // of post_later()
  bool retry_pending_ = false;
  bool full_list_due_ = false;  // since the address changed
  bool following_ = false;      // between watch() and unwatch()
  std::chrono::milliseconds backoff_;
  std::minstd_rand random_;  // for kTimeoutJitter
};

}  // namespace heronvane
