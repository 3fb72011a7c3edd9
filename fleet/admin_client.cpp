#include "admin_client.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <memory>

namespace heronvane::fleet {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

class Asking : public std::enable_shared_from_this<Asking> {
 public:
  Asking(net::io_context& io, AdminRequest request, std::function<void(AdminAnswer)> done)
      : io_(io), stream_(io), request_(std::move(request)), done_(std::move(done)) {
    answer_.body_limit(kMaxAdminAnswerBytes);
  }

  void start(std::chrono::milliseconds timeout) {
    // By the folder's descriptor: a path of any length may be connected to so.
    const int folder = ::open(request_.folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) return later(errno);
    const std::string path = "/proc/self/fd/" + std::to_string(folder) + "/admin.sock";
    stream_.expires_after(timeout);
    error_code bad;
    stream_.socket().open(net::local::stream_protocol(), bad);
    if (!bad) stream_.socket().non_blocking(true, bad);
    // Connects at once or not at all: a Unix socket whose queue is full gives EAGAIN.
    if (!bad) stream_.socket().connect(net::local::stream_protocol::endpoint(path), bad);
    ::close(folder);
    if (bad) return later(bad.value());
    head_.method(request_.post ? http::verb::post : http::verb::get);
    head_.target(request_.target);
    head_.version(11);
    head_.set(http::field::host, "relay");
    head_.keep_alive(false);
    if (request_.post) {
      head_.set(http::field::content_type, "application/json");
      head_.body() = request_.body;
      head_.prepare_payload();
    }
    http::async_write(stream_, head_, [self = shared_from_this()](error_code failed, std::size_t) {
      if (failed) return self->end({0, "", failed.message(), false});
      http::async_read(self->stream_, self->buffer_, self->answer_, [self](error_code unread, std::size_t) {
        if (unread) return self->end({0, "", unread.message(), false});
        self->end({self->answer_.get().result_int(), std::move(self->answer_.get().body()), "", false});
      });
    });
  }

 private:
  void later(int why) {
    const bool local_failure = why == EMFILE || why == ENFILE || why == ENOMEM || why == ENOBUFS;
    net::post(io_, [self = shared_from_this(), why, local_failure] {
      self->end({0, "", error_code(why, boost::system::generic_category()).message(), local_failure});
    });
  }
  void end(AdminAnswer answer) {
    error_code ignored;
    stream_.socket().close(ignored);
    const auto done = std::move(done_);
    done(std::move(answer));
  }

  net::io_context& io_;
  beast::basic_stream<net::local::stream_protocol> stream_;
  AdminRequest request_;
  std::function<void(AdminAnswer)> done_;
  http::request<http::string_body> head_;
  http::response_parser<http::string_body> answer_;
  beast::flat_buffer buffer_;
};

}  // namespace

void ask_admin(net::io_context& io, AdminRequest request, std::function<void(AdminAnswer)> done,
               std::chrono::milliseconds timeout) {
  std::make_shared<Asking>(io, std::move(request), std::move(done))->start(timeout);
}

}  // namespace heronvane::fleet
