// A scripted agent on a Unix socket in a temporary folder or over TLS, and a runner for the built tool.
#pragma once

#include <openssl/ssl.h>
#include <sys/types.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace heronvane::cli::test {

class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string file(const std::string& name) const { return path_ + "/" + name; }
  std::string write(const std::string& name, const std::string& text) const;

 private:
  std::string path_;
};

struct Request {
  std::string method, target, body;
};

// The reply to a request, sent in pieces.
class Reply {
 public:
  static Reply json(const std::string& body, int status = 200);
  static Reply error(int status, const std::string& code, const std::string& message,
                     const std::string& hint = "", const std::string& more = "");
  static Reply text(const std::string& body);
  static Reply raw(const std::string& bytes);
  static Reply chunked(const std::vector<std::string>& pieces, bool ended,
                       const std::string& type = "application/json");
  Reply& api(const std::string& version);  // the header's value; "" leaves it out
  Reply& then_hold();                      // keeps the connection open without sending more
  Reply& then_close();

  std::vector<std::string> pieces;
  bool hold = false, close = false;
};

class StandIn {
 public:
  using Script = std::function<Reply(const Request&)>;
  explicit StandIn(const std::string& socket);
  // Over TLS on 127.0.0.1, for clients whose certificate is signed by `ca`.
  StandIn(const std::string& cert, const std::string& key, const std::string& ca);
  ~StandIn();
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  // The nth request with this method and target gets the nth reply; further requests get the last.
  void on(const std::string& method_and_target, const Reply& reply);
  void on(const std::string& method_and_target, const std::string& json) {
    on(method_and_target, Reply::json(json));
  }
  std::vector<Request> requests(const std::string& method_and_target = "");
  // Waits for `n` requests with this method and target; false after 60 s.
  bool wait_for_requests(const std::string& method_and_target, std::size_t n = 1);
  int port() const { return port_; }

 private:
  struct Connection;
  void accept_all();
  void serve(int fd);
  Reply reply(const Request& request);

  int listen_ = -1, stop_ = -1, port_ = 0;
  SSL_CTX* tls_ = nullptr;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<Reply>> script_;
  std::map<std::string, std::size_t> reply_counts_;
  std::vector<Request> requests_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

struct Result {
  int exit = -1;  // exit status, or 1000 + signal number
  std::string out, err;
};

// A running process of the built tool.
class Tool {
 public:
  // `terminal`: the standard streams are a terminal of 80 columns and 24 rows; all its output is in `out`.
  explicit Tool(const std::vector<std::string>& arguments, bool terminal = false,
                const std::vector<std::string>& environment = {});
  ~Tool();
  Tool(const Tool&) = delete;
  Tool& operator=(const Tool&) = delete;
  void signal(int number) const;
  void type(const std::string& text) const;   // sends input to its terminal
  bool wrote(const std::string& text);        // waits for it on standard output (or the terminal)
  bool wrote_error(const std::string& text);  // waits for it on standard error
  Result finish();

 private:
  void read_some(int timeout_ms);
  bool wait_for(const std::string& stream, const std::string& text);
  pid_t pid_ = -1;
  int out_ = -1, err_ = -1;
  Result result_;
};

Result run_tool(const std::vector<std::string>& arguments, const std::vector<std::string>& environment = {});

// Runs `sh -c command`; returns its exit status and stores its output in `text`.
int shell(const std::string& command, std::string* text = nullptr);

// Scripts the default answers of an agent with the instances "n0", "n1" and "n2".
void script_fleet(StandIn& agent, const std::string& name = "web1");
std::string operation_json(int id, const std::string& kind, const std::string& state,
                           const std::string& steps, const std::string& more = "");

}  // namespace heronvane::cli::test
