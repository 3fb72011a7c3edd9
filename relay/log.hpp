// Log lines on standard error: one for each notable event. Events that come in crowds are counted.
//
// All of it is used from one thread. SIGPIPE must be ignored.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace heronvane {

// Opens /dev/null in place of standard streams that are closed. Called before anything else is opened: a
// journal or a connection would get their numbers, and the log lines.
void open_standard_streams();

// Writes a line behind the wall clock's time. Never blocks: a line that standard error does not take at once
// is lost, and counted. A line longer than PIPE_BUF bytes is cut.
void log(const std::string& line);

// Reports lost lines as soon as standard error takes a line again; looks each second while it lives. The loop
// must outlive it.
class LostLineReporter {
 public:
  explicit LostLineReporter(boost::asio::io_context& io) : timer_(io) { report(); }

 private:
  void report();

  boost::asio::steady_timer timer_;
};

// Logs how often each event of a subject happened, at most one line a second. A line for each request of a
// crowd would be a load of its own. The loop must outlive it.
class CounterLog {
 public:
  CounterLog(boost::asio::io_context& io, std::string subject) : timer_(io), subject_(std::move(subject)) {}

  // Counts an event. `reason` is one of a few texts.
  void add(const std::string& reason);

 private:
  void write();

  boost::asio::steady_timer timer_;
  std::string subject_;
  std::map<std::string, std::size_t> counts_;  // by reason, since the last line
};

}  // namespace heronvane
