// The HTTP client over scripted streams.
#include "cli/client.hpp"

#include <gtest/gtest.h>

#include <deque>

#include "cli/model.hpp"

namespace heronvane::cli {
namespace {

using Why = TransportError::Why;

// Streams that return one piece of the script per read; "" is the end of the stream.
class Scripted : public Dialer {
 public:
  struct Connection {
    std::deque<std::string> pieces;
  };
  class Line : public Stream {
   public:
    Line(Connection c, std::string& sent) : c_(std::move(c)), sent_(sent) {}
    void write(std::string_view bytes, Instant) override { sent_ += bytes; }
    std::size_t read(char* to, std::size_t room, Instant) override {
      if (c_.pieces.empty()) throw TransportError(Why::late, "no answer in time");
      auto& p = c_.pieces.front();
      const auto n = std::min(room, p.size());
      std::copy_n(p.data(), n, to);
      p.erase(0, n);
      if (p.empty()) c_.pieces.pop_front();
      return n;
    }

   private:
    Connection c_;
    std::string& sent_;
  };
  std::unique_ptr<Stream> dial(Instant) override {
    dialled++;
    if (connections.empty()) throw TransportError(Why::absent, "nobody");
    auto c = std::move(connections.front());
    connections.pop_front();
    return std::make_unique<Line>(std::move(c), sent);
  }
  std::deque<Connection> connections;
  std::string sent;
  int dialled = 0;
};

std::string ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Heronvane-Api: 1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}
const std::string kChunked = "HTTP/1.1 200 OK\r\nX-Heronvane-Api: 1\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST(Client, ReadsAnAnswerInPieces) {
  Scripted s;
  const auto all = ok("{\"a\":1}");
  Scripted::Connection c;
  for (const char ch : all) c.pieces.push_back(std::string(1, ch));
  s.connections.push_back(c);
  Client client(s);
  const auto a = client.get("/v1/agent", {});
  EXPECT_EQ(a.status, 200u);
  EXPECT_EQ(a.api, 1);
  EXPECT_EQ(a.body, "{\"a\":1}");
  EXPECT_EQ(s.sent.substr(0, 24), "GET /v1/agent HTTP/1.1\r\n");
}

TEST(Client, ReusesItsConnectionForGetOnly) {
  Scripted s;
  s.connections.push_back({{ok("1"), ok("2")}});
  s.connections.push_back({{ok("3")}});
  Client client(s);
  client.get("/a", {});
  EXPECT_EQ(client.get("/b", {}).body, "2");
  EXPECT_EQ(s.dialled, 1);
  EXPECT_EQ(client.request("POST", "/c", "{}", {}).body, "3");
  EXPECT_EQ(s.dialled, 2);
}

TEST(Client, RetriesIfAReusedConnectionWasClosed) {
  Scripted s;
  s.connections.push_back({{ok("1"), ""}});
  s.connections.push_back({{ok("2")}});
  Client client(s);
  client.get("/a", {});
  EXPECT_EQ(client.get("/b", {}).body, "2");
}

TEST(Client, DoesNotRetryAfterPartOfAnAnswer) {
  Scripted s;
  s.connections.push_back({{ok("1"), "HTTP/1.1 200 OK\r\n", ""}});
  s.connections.push_back({{ok("2")}});
  Client client(s);
  client.get("/a", {});
  EXPECT_THROW(client.get("/b", {}), TransportError);
}

TEST(Client, AChangeIsSentOnce) {
  Scripted s;
  s.connections.push_back({{""}});
  s.connections.push_back({{ok("2")}});
  Client client(s);
  EXPECT_THROW(client.request("POST", "/c", "{}", {}), TransportError);
  EXPECT_EQ(s.dialled, 1);
}

TEST(Client, RefusesInvalidHttp) {
  Scripted s;
  s.connections.push_back({{"SSH-2.0-OpenSSH_9.2\r\n\r\n"}});
  EXPECT_THROW(Client(s).get("/a", {}), MalformedAnswer);
}

TEST(Client, RefusesOversizedAnswers) {
  Scripted s;
  s.connections.push_back(
      {{"HTTP/1.1 200 OK\r\nX-Heronvane-Api: 1\r\nContent-Length: 99999999999\r\n\r\nx"}});
  EXPECT_THROW(Client(s).get("/a", {}), MalformedAnswer);
  // An answer without Content-Length.
  Scripted t;
  Scripted::Connection c{{kChunked}};
  for (int i = 0; i < 20; i++) c.pieces.push_back("100000\r\n" + std::string(0x100000, 'x') + "\r\n");
  t.connections.push_back(std::move(c));
  EXPECT_THROW(Client(t).get("/a", {}), MalformedAnswer);
  Scripted u;
  u.connections.push_back({{"HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'x')}});
  EXPECT_THROW(Client(u).get("/a", {}), MalformedAnswer);
}

TEST(Client, PassesOnAFollowedBodyAsItArrives) {
  Scripted s;
  s.connections.push_back({{kChunked, "3\r\nab\n\r\n", "3\r\ncd\n\r\n0\r\n\r\n"}});
  std::vector<std::string> got;
  Client(s).follow("/f", std::chrono::seconds(1), std::chrono::seconds(1), [&](std::string_view b) {
    if (!b.empty()) got.emplace_back(b);
    return true;
  });
  EXPECT_EQ(got, (std::vector<std::string>{"ab\n", "cd\n"}));
}

TEST(Client, ATruncatedFollowedBodyFailsAfterItsBytesWerePassedOn) {
  Scripted s;
  s.connections.push_back({{kChunked, "3\r\nab\n\r\n", ""}});
  std::string got;
  EXPECT_THROW(Client(s).follow("/f", std::chrono::seconds(1), std::chrono::seconds(1),
                                [&](std::string_view b) {
                                  got += b;
                                  return true;
                                }),
               TransportError);
  EXPECT_EQ(got, "ab\n");
}

TEST(Client, AnErrorAnswerToFollowIsReturnedWhole) {
  Scripted s;
  s.connections.push_back({{"HTTP/1.1 404 X\r\nX-Heronvane-Api: 1\r\nContent-Length: 2\r\n\r\n", "{}"}});
  const auto a =
      Client(s).follow("/f", std::chrono::seconds(1), std::chrono::seconds(1), [](std::string_view) {
        ADD_FAILURE();
        return true;
      });
  EXPECT_EQ(a.status, 404u);
  EXPECT_EQ(a.body, "{}");
}

TEST(Model, NamesTheFieldThatIsWrong) {
  try {
    std::int64_t g = 0;
    read_instances(R"({"generation":1,"instances":[{"name":"a"},{"name":7}]})", g);
    FAIL();
  } catch (const MalformedAnswer& e) {
    EXPECT_STREQ(e.what(), "the answer's instances[1].name is not text");
  }
  EXPECT_THROW(read_agent("[]"), MalformedAnswer);
  EXPECT_THROW(read_operation("{}"), MalformedAnswer);
  EXPECT_THROW(read_agent("{"), MalformedAnswer);
  EXPECT_THROW(check_json(std::string(100'000, '[')),
               MalformedAnswer);  // deep nesting must not overflow the stack
}

}  // namespace
}  // namespace heronvane::cli
