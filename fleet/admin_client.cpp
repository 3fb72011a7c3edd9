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

// One request to a relay's admin socket. The handlers of its pending operations keep it alive.
class AdminCall : public std::enable_shared_from_this<AdminCall> {
 public:
  AdminCall(net::io_context& io, AdminRequest request, std::function<void(AdminAnswer)> done)
      : io_(io), stream_(io), request_(std::move(request)), done_(std::move(done)) {
    http_response_.body_limit(kMaxAdminAnswerBytes);
  }

  void start(std::chrono::milliseconds timeout) {
    // Addresses the socket by the folder's descriptor: its full path may be too long for a Unix socket.
    const int folder = ::open(request_.folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) return fail_later(errno);
    const std::string path = "/proc/self/fd/" + std::to_string(folder) + "/admin.sock";
    stream_.expires_after(timeout);
    error_code ec;
    stream_.socket().open(net::local::stream_protocol(), ec);
    if (!ec) stream_.socket().non_blocking(true, ec);
    // Succeeds or fails at once: a Unix socket with a full accept queue gives EAGAIN.
    if (!ec) stream_.socket().connect(net::local::stream_protocol::endpoint(path), ec);
    ::close(folder);
    if (ec) return fail_later(ec.value());
    http_request_.method(request_.post ? http::verb::post : http::verb::get);
    http_request_.target(request_.target);
    http_request_.version(11);
    http_request_.set(http::field::host, "relay");
    http_request_.keep_alive(false);
    if (request_.post) {
      http_request_.set(http::field::content_type, "application/json");
      http_request_.body() = request_.body;
      http_request_.prepare_payload();
    }
    http::async_write(stream_, http_request_, [self = shared_from_this()](error_code write_ec, std::size_t) {
      if (write_ec) return self->finish({0, "", write_ec.message(), false});
      http::async_read(self->stream_, self->buffer_, self->http_response_,
                       [self](error_code read_ec, std::size_t) {
                         if (read_ec) return self->finish({0, "", read_ec.message(), false});
                         self->finish({self->http_response_.get().result_int(),
                                       std::move(self->http_response_.get().body()), "", false});
                       });
    });
  }

 private:
  void fail_later(int error_number) {
    const bool local_failure =
        error_number == EMFILE || error_number == ENFILE || error_number == ENOMEM || error_number == ENOBUFS;
    net::post(io_, [self = shared_from_this(), error_number, local_failure] {
      self->finish(
          {0, "", error_code(error_number, boost::system::generic_category()).message(), local_failure});
    });
  }
  void finish(AdminAnswer answer) {
    error_code ignored;
    stream_.socket().close(ignored);
    const auto done = std::move(done_);
    done(std::move(answer));
  }

  net::io_context& io_;
  beast::basic_stream<net::local::stream_protocol> stream_;
  AdminRequest request_;
  std::function<void(AdminAnswer)> done_;
  http::request<http::string_body> http_request_;
  http::response_parser<http::string_body> http_response_;
  beast::flat_buffer buffer_;
};

}  // namespace

void ask_admin(net::io_context& io, AdminRequest request, std::function<void(AdminAnswer)> done,
               std::chrono::milliseconds timeout) {
  std::make_shared<AdminCall>(io, std::move(request), std::move(done))->start(timeout);
}

}  // namespace heronvane::fleet
