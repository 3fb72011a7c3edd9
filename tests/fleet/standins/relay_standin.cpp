// A stand-in for a relay: accepts its command line, serves its admin protocol on the Unix socket alone, and
// keeps fence and drain in the state folder. The file `behave` in its working directory and the environment
// variable STANDIN_BEHAVE list further behaviours, separated by spaces:
//   crash  exits with status 3 at once      unready  answers that it is not ready
//   deaf   ignores SIGTERM                  held=N   holds N messages; a drain removes one each 100 ms
//   mute   creates no admin socket
#include <fcntl.h>
#include <rapidjson/document.h>
#include <signal.h>
#include <sys/file.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <set>
#include <sstream>
#include <string>

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using local = net::local::stream_protocol;

namespace {

std::string read_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}
void replace(const std::string& file, const std::string& text) {
  std::ofstream(file + ".new") << text;
  std::filesystem::rename(file + ".new", file);
}

class Relay {
 public:
  Relay(net::io_context& io, std::string state, const std::string& config, std::string run)
      : io_(io), state_(std::move(state)), run_(std::move(run)), acceptor_(io), timer_(io) {
    rapidjson::Document v;
    v.Parse(read_file(config).c_str());
    if (v.HasParseError() || !v.IsObject()) throw std::runtime_error("config: can't be read");
    name_ = v["name"].GetString();
    generation_ = v["generation"].GetUint64();
    std::string behaviours = read_file("behave");
    if (const char* all = std::getenv("STANDIN_BEHAVE")) behaviours += std::string(" ") + all;
    std::istringstream in(behaviours);
    for (std::string behaviour; in >> behaviour;) {
      if (behaviour.rfind("held=", 0) == 0) held_ = std::strtoull(behaviour.c_str() + 5, nullptr, 10);
      behaviours_.insert(behaviour);
    }
    std::ifstream saved(state_ + "/kept");
    saved >> fence_ >> draining_;
  }

  bool has_behaviour(const char* name) const { return behaviours_.count(name) > 0; }

  void undrain(std::uint64_t fence) {
    if (fence < fence_) throw std::runtime_error("fenced");
    fence_ = fence;
    draining_ = false;
    save_state();
    std::filesystem::remove(state_ + "/drained");
  }
  void start() {
    if (!has_behaviour("mute")) {
      const std::string path = state_ + "/admin.sock";
      std::filesystem::remove(path);
      acceptor_.open();
      acceptor_.bind(local::endpoint(path));
      acceptor_.listen();
      accept();
    }
    check_drain();
  }

 private:
  struct Session {
    explicit Session(local::socket s) : socket(std::move(s)) {}
    local::socket socket;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
  };

  void save_state() { replace(state_ + "/kept", std::to_string(fence_) + " " + std::to_string(draining_)); }
  void check_drain() {
    // Exit when the test process has ended.
    if (const char* owner = std::getenv("STANDIN_OWNER"))
      if (::kill(static_cast<pid_t>(std::atol(owner)), 0) != 0) return io_.stop();
    if (draining_ && held_ == 0) {
      replace(state_ + "/drained", "{\"fence\":" + std::to_string(fence_) + ",\"run\":\"" + run_ + "\"}");
      return io_.stop();
    }
    if (draining_) held_ -= 1;
    timer_.expires_after(std::chrono::milliseconds(100));
    timer_.async_wait([this](error_code bad) {
      if (!bad) check_drain();
    });
  }
  void accept() {
    acceptor_.async_accept([this](error_code bad, local::socket socket) {
      if (!bad) read(std::make_shared<Session>(std::move(socket)));
      accept();
    });
  }
  void read(const std::shared_ptr<Session>& s) {
    s->request = {};
    http::async_read(s->socket, s->buffer, s->request, [this, s](error_code bad, std::size_t) {
      if (bad) return;
      s->response = {};
      s->response.result(answer(s->request, s->response.body()));
      s->response.keep_alive(s->request.keep_alive());
      s->response.prepare_payload();
      http::async_write(s->socket, s->response, [this, s](error_code failed, std::size_t) {
        if (!failed && s->request.keep_alive()) read(s);
      });
    });
  }
  unsigned answer(const http::request<http::string_body>& r, std::string& body) {
    if (r.method() == http::verb::get) {
      if (r.target() == "/v1/status") {
        body = status();
        return 200;
      }
      if (r.target() == "/v1/messages/known-" + name_) {
        body = R"({"id":"known-)" + name_ + R"(","state":"over"})";
        return 200;
      }
      body = R"({"error":{"code":"unknown","message":"unknown"}})";
      return 404;
    }
    rapidjson::Document v;
    v.Parse(r.body().c_str());
    const std::uint64_t fence = v["fence"].GetUint64();
    if (fence < fence_) {
      body = R"({"error":{"code":"fenced","message":"fenced","fence":)" + std::to_string(fence_) + "}}";
      return 409;
    }
    fence_ = fence;
    if (r.target() == "/v1/drain") draining_ = true;
    if (r.target() == "/v1/undrain") draining_ = false;
    save_state();
    body = std::string("{\"draining\":") + (draining_ ? "true" : "false") +
           ",\"held\":" + std::to_string(held_) + "}";
    return 200;
  }
  std::string status() const {
    const bool ready = !draining_ && !has_behaviour("unready");
    return "{\"name\":\"" + name_ + "\",\"run\":\"" + run_ + "\",\"pid\":" + std::to_string(::getpid()) +
           ",\"version\":\"standin\",\"generation\":" + std::to_string(generation_) +
           ",\"ready\":" + (ready ? "true" : "false") + ",\"draining\":" + (draining_ ? "true" : "false") +
           ",\"stopping\":false,\"fence\":" + std::to_string(fence_) +
           ",\"trouble\":\"\",\"held\":{\"total\":" + std::to_string(held_) +
           ",\"given_up\":0,\"by_class\":{},\"oldest_ms\":0,\"by_age_ms\":{}}}";
  }

  net::io_context& io_;
  std::string state_, run_, name_;
  std::uint64_t generation_ = 0, fence_ = 0, held_ = 0;
  bool draining_ = false;
  std::set<std::string> behaviours_;
  local::acceptor acceptor_;
  net::steady_timer timer_;
};

int run(int argc, char** argv) {
  std::string config, state, settings, run_id, undrain;
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string option = argv[i];
    (option == "--config"     ? config
     : option == "--state"    ? state
     : option == "--settings" ? settings
     : option == "--run"      ? run_id
                              : undrain) = argv[i + 1];
  }
  // Report a second process on the state folder; the tests search the log for this line.
  const int lock = ::open((state + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock < 0 || ::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    std::fprintf(stderr, "TWO PROCESSES on %s\n", state.c_str());
    return 9;
  }
  if (read_file(settings).find("socket = true") == std::string::npos) return 8;
  net::io_context io(1);
  Relay relay(io, state, config, run_id);
  std::fprintf(stderr, "standin: run %s\n", run_id.c_str());
  if (relay.has_behaviour("crash")) return 3;
  net::signal_set ends(io);
  if (relay.has_behaviour("deaf"))
    std::signal(SIGTERM, SIG_IGN);
  else
    ends.add(SIGTERM);
  ends.async_wait([&io](error_code bad, int) {
    if (!bad) io.stop();
  });
  if (!undrain.empty()) relay.undrain(std::stoull(undrain));
  relay.start();
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "standin: %s\n", e.what());
    return 1;
  }
}
