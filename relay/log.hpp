// One line on standard error for each notable event; events that come in crowds are counted.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>

namespace heronvane {

// Opens /dev/null in place of standard streams that are closed, before anything else is opened: else a
// journal or a connection gets their numbers, and log lines.
void open_standard_streams();

// Never waits: a line that standard error does not take at once is lost, and counted. From one thread only;
// SIGPIPE is taken to be ignored.
void log(const std::string& line);

// While it lives, looks each second whether lines were lost and can be told of.
class LostLineReporter {
 public:
  explicit LostLineReporter(boost::asio::io_context& io) : timer_(io) { look(); }

 private:
  void look();
  boost::asio::steady_timer timer_;
};

// Guards against a line for each of a crowd's requests, which is a load of its own: a line a second at most.
class CounterLog {
 public:
  CounterLog(boost::asio::io_context& io, std::string what) : timer_(io), what_(std::move(what)) {}
  // `why` is one of a few texts that the program holds.
  void add(const char* why);

 private:
  boost::asio::steady_timer timer_;
  std::string what_;
  std::map<std::string, std::size_t> counts_;
};

}  // namespace heronvane
