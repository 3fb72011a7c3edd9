// The platform: discovery's list and watch, and the notices that end messages which were not delivered.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/message.hpp"
#include "core/timer.hpp"
#include "endpoint_list.hpp"
#include "settings.hpp"

namespace heronvane {

class Platform {
 public:
  using Listed = std::function<void(EndpointList)>;
  using Failed = std::function<void()>;
  using Noticed = std::function<void(const std::vector<MessageId>&)>;

  Platform(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
           const heronvane::dispatch::adapter::NameTables& names, std::int64_t index, std::size_t most_list,
           Listed listed, Failed failed, Noticed noticed);
  ~Platform();

  void watch();  // changes from now on; `failed` tells its end
  void unwatch();
  void fetch();  // the whole list, once
  // Asks for the whole list anew, whatever is under way; `done` once it has come, or has failed to.
  void refresh(std::function<void()> done);
  std::int64_t index() const { return index_; }  // of the list told last
  // Discovery is found elsewhere from now on: what is under way at the old address begins again at the new
  // one.
  void set_address(const boost::asio::ip::tcp::endpoint& address);
  const boost::asio::ip::tcp::endpoint& address() const { return address_; }
  // Sent until the platform has it; `noticed` tells when.
  void send_notice(MessageId id, const std::string& wire_id, const Ending& ending);
  bool has_pending_notices() const { return !owed_.empty(); }

 private:
  struct Query;
  struct Post;
  void ask(bool follow);
  void connect(const std::shared_ptr<Query>& query);
  void send_request(const std::shared_ptr<Query>& query);
  void drop(std::shared_ptr<Query>& query);
  void read(const std::shared_ptr<Query>& query);
  void objects(const std::shared_ptr<Query>& query);
  void whole(const std::shared_ptr<Query>& query);
  bool slice(Query& query);
  bool hand_over(Query& query);
  void end(const std::shared_ptr<Query>& query, const std::string& why);
  void refreshed();
  void guard(const std::shared_ptr<Query>& query);
  void list_time(const std::shared_ptr<Query>& query);
  void silent(const std::shared_ptr<Query>& query);
  void post();
  void read(const std::shared_ptr<Post>& post);
  void told(const std::vector<MessageId>& ids);
  void posted(const std::shared_ptr<Post>& post, const std::string& problem);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  const heronvane::dispatch::adapter::NameTables& names_;  // outlives this
  std::int64_t index_;
  std::uint64_t serial_ = 0;     // of the list told last
  const std::size_t most_list_;  // bytes of a list
  Listed listed_;
  Failed failed_;
  Noticed noticed_;
  std::shared_ptr<Query> watch_, fetch_;
  std::function<void()> refreshed_;        // waits for the list
  std::map<MessageId, std::string> owed_;  // notices, as lines
  std::shared_ptr<Post> post_;             // the one under way
  std::shared_ptr<boost::asio::ip::tcp::socket> kept_;
  static constexpr std::size_t kMostLines = 64;  // notices in one request
  std::size_t most_lines_ = kMostLines;
  Timer again_;
  bool waiting_ = false;
  bool whole_due_ = false;  // since discovery moved
  bool following_ = false;  // the module wants changes
  std::chrono::milliseconds backoff_;
  std::minstd_rand random_;  // for the spread of what all relays may do in one moment
};

}  // namespace heronvane
