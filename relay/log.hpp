// Log lines on standard error, one for each notable event. Frequent events are counted instead.
//
// Not thread-safe. SIGPIPE must be ignored.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace heronvane {

// Opens /dev/null in place of closed standard streams. To be called before anything else is opened: a journal
// or a connection could get the number of standard error, and log lines would be written to it.
void open_standard_streams();

// Writes a line, prefixed with the wall clock time. Never blocks: a line that standard error does not accept
// at once is lost, and counted. A line longer than PIPE_BUF bytes is truncated.
void log(const std::string& line);

// Logs the number of lost lines as soon as standard error accepts a line again; checks every second. `io`
// must outlive it.
class LostLineReporter {
 public:
  explicit LostLineReporter(boost::asio::io_context& io) : timer_(io) { report(); }

 private:
  void report();

  boost::asio::steady_timer timer_;
};

// Logs how often each event of a subject happened, in at most one line a second, since a line for each
// request would add load under overload. `io` must outlive it.
class CounterLog {
 public:
  CounterLog(boost::asio::io_context& io, std::string subject) : timer_(io), subject_(std::move(subject)) {}

  // Counts an event. `reason` must be one of a small set of texts, each of which is counted.
  void add(const std::string& reason);

 private:
  void write();

  boost::asio::steady_timer timer_;
  std::string subject_;
  std::map<std::string, std::size_t> counts_;  // by reason, since the last line
};

}  // namespace heronvane
