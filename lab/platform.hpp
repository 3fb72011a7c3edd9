// The platform's server: the list, watches and notices, over a Catalog. One thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "catalog.hpp"

namespace heronvane::lab {

struct PlatformHooks {
  std::function<Microseconds()> now;
  // Who asks, by the address that it comes from; kNobody: a stranger, who is answered 403.
  std::function<Index(const boost::asio::ip::address& from)> relay;
  std::function<std::string(Index relay, Index endpoint)> address;
  std::function<void(Index relay, const std::string& id, bool deferred)> notice;
  std::function<void(Index relay, const Catalog::Change& change)> listed;  // written to that relay
  std::function<void(Index relay, bool refused)> list_call;
};

class Platform {
 public:
  // Listens at once. Throws std::exception.
  Platform(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Catalog catalog,
           PlatformHooks hooks);
  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  Catalog& catalog();
  void down(bool is);  // lists fail and watches end; notices are taken all the same

 private:
  class Impl;
  class Session;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::lab
