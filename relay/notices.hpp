// Sends the final notices of messages that were not delivered to the platform.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "backends/reuse_delay.hpp"
#include "core/message.hpp"
#include "core/timer.hpp"

namespace heronvane {

// Sends notices, several in a post, one post at a time, over a kept connection. Used on the event loop's
// thread only, where the callback runs, too.
class NoticeSender {
 public:
  // The platform has accepted the notices of these messages, or they were dropped as malformed.
  using TakenCallback = std::function<void(const std::vector<MessageId>&)>;

  NoticeSender(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address, TakenCallback on_taken);
  ~NoticeSender();
  NoticeSender(const NoticeSender&) = delete;
  NoticeSender& operator=(const NoticeSender&) = delete;

  // Sends a notice, with retries until the platform accepts it.
  void send(MessageId id, const std::string& wire_id, const Ending& ending);
  bool has_pending() const { return !pending_notices_.empty(); }
  // Changes the platform's address. Notices in flight to the old one are sent again to the new one.
  void set_address(const boost::asio::ip::tcp::endpoint& address);

 private:
  struct Post;
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
  TakenCallback on_taken_;
  std::map<MessageId, std::string> pending_notices_;           // as JSON lines
  std::shared_ptr<Post> post_;                                 // in flight, or null
  std::shared_ptr<boost::asio::ip::tcp::socket> idle_socket_;  // or null
  Microseconds answered_at_ = 0;                               // when its last answer was read
  ReuseDelay reuse_delay_;
  static constexpr std::size_t kMaxNoticesPerPost = 64;
  std::size_t max_notices_ = kMaxNoticesPerPost;
  Timer retry_timer_;  // of post_later()
  bool retry_pending_ = false;
  std::chrono::milliseconds backoff_;
};

}  // namespace heronvane
