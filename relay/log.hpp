// One line on standard error for each notable event; events that come in crowds are counted.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>

namespace heronvane {

void log(const std::string& line);

// Guards against a line for each of a crowd's requests, which is a load of its own: a line a second at most.
class Tally {
 public:
  Tally(boost::asio::io_context& io, std::string what) : timer_(io), what_(std::move(what)) {}
  // `why` is one of a few texts that the program holds.
  void add(const char* why);

 private:
  boost::asio::steady_timer timer_;
  std::string what_;
  std::map<std::string, std::size_t> counts_;
};

}  // namespace heronvane
