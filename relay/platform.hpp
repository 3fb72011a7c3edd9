// The client of the platform: fetches and watches discovery's endpoint list. Owns the sender of notices,
// which go to the same address.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "core/timer.hpp"
#include "endpoint_list.hpp"
#include "notices.hpp"
#include "settings.hpp"

namespace heronvane {

// Used on the event loop's thread only, where the callbacks run, too.
class Platform {
 public:
  // Receives each list or update, in parts.
  using ListCallback = std::function<void(EndpointList)>;
  // A watch or a fetch has failed.
  using FailureCallback = std::function<void()>;

  // `index` is that of the list known already, from which the watch continues. `names` must outlive this
  // object.
  Platform(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
           const heronvane::dispatch::adapter::NameTables& names, std::int64_t index,
           std::size_t max_list_bytes, ListCallback on_list, FailureCallback on_failure,
           NoticeSender::TakenCallback on_notices_taken);
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
  NoticeSender& notices() { return notices_; }
  const NoticeSender& notices() const { return notices_; }

 private:
  struct Query;
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
  void restart_silence_timer(const std::shared_ptr<Query>& query);
  void handle_silence(const std::shared_ptr<Query>& query);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  const heronvane::dispatch::adapter::NameTables& names_;
  std::int64_t index_;
  std::uint64_t serial_ = 0;  // of the last list passed on
  const std::size_t max_list_bytes_;
  ListCallback on_list_;
  FailureCallback on_failure_;
  std::shared_ptr<Query> watch_, fetch_;
  std::function<void()> on_refreshed_;  // null if no refresh() is in flight
  bool full_list_due_ = false;          // since the address changed
  bool following_ = false;              // between watch() and unwatch()
  NoticeSender notices_;
  std::minstd_rand random_;  // for kTimeoutJitter
};

}  // namespace heronvane
