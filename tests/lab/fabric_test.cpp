// The fabric on loopback sockets: what passes, and what each fault does to it.
#include "lab/fabric.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace heronvane::lab {
namespace {

namespace net = boost::asio;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

net::ip::address_v4 own(unsigned last) {
  const auto pid = static_cast<unsigned>(::getpid());
  return net::ip::address_v4({127, static_cast<unsigned char>(60 + (pid >> 16) % 60),
                              static_cast<unsigned char>(pid >> 8), static_cast<unsigned char>(last)});
}
std::uint16_t port() { return static_cast<std::uint16_t>(10'000 + ::getpid() % 20'000); }

// One side of a connection: all that came, and how it ended.
struct Side : std::enable_shared_from_this<Side> {
  explicit Side(net::io_context& io) : socket(io) {}
  explicit Side(Tcp::socket s) : socket(std::move(s)) {}
  void read() {
    socket.async_read_some(net::buffer(buffer), [self = shared_from_this()](error_code bad, std::size_t n) {
      if (bad) {
        self->ended = bad;
        return;
      }
      self->got.append(self->buffer.data(), n);
      self->read();
    });
  }
  void write(const std::string& text) {
    error_code ignored;
    net::write(socket, net::buffer(text), ignored);
  }
  Tcp::socket socket;
  std::array<char, 4096> buffer{};
  std::string got;
  std::optional<error_code> ended, connected;
};

class FabricTest : public ::testing::Test {
 protected:
  FabricTest() : fabric(io, 1), listener(io, Tcp::endpoint(own(1), port())) {
    accept();
    link = fabric.link({own(2), port()}, {own(1), port()}, own(3));
  }
  void accept() {
    listener.async_accept([this](error_code bad, Tcp::socket socket) {
      if (bad) return;
      servers.push_back(std::make_shared<Side>(std::move(socket)));
      servers.back()->read();
      accept();
    });
  }
  std::shared_ptr<Side> connect() {
    const auto c = std::make_shared<Side>(io);
    c->socket.async_connect({own(2), port()}, [c](error_code bad) {
      c->connected = bad;
      if (!bad) c->read();
    });
    return c;
  }
  // A connection that has carried a byte each way.
  std::shared_ptr<Side> pair() {
    const std::size_t before = servers.size();
    auto c = connect();
    wait([&] { return c->connected && servers.size() > before; });
    c->write("a");
    wait([&] { return servers.back()->got == "a"; });
    servers.back()->write("b");
    wait([&] { return c->got == "b"; });
    return c;
  }
  template <class Condition>
  void wait(Condition done) {
    const auto until = Clock::now() + std::chrono::seconds(20);
    while (!done()) {
      ASSERT_LT(Clock::now(), until) << "waited in vain";
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
  }
  // Lets the loop do all that it has to do now: a byte through an untouched link has passed.
  void turn() {
    if (!other) {
      other_listener.emplace(io, Tcp::endpoint(own(4), port()));
      fabric.link({own(5), port()}, {own(4), port()}, own(3));
      other = std::make_shared<Side>(io);
      other->socket.async_connect({own(5), port()}, [](error_code) {});
      other_listener->async_accept([this](error_code, Tcp::socket socket) {
        other_server = std::make_shared<Side>(std::move(socket));
        other_server->read();
      });
      wait([&] { return other_server != nullptr; });
    }
    const auto before = other_server->got.size();
    for (int i = 0; i < 3; i++) {
      other->write("x");
      wait([&] { return other_server->got.size() == before + static_cast<std::size_t>(i) + 1; });
    }
  }

  net::io_context io;
  Fabric fabric;
  Tcp::acceptor listener;
  std::optional<Tcp::acceptor> other_listener;
  LinkId link = 0;
  std::vector<std::shared_ptr<Side>> servers;
  std::shared_ptr<Side> other, other_server;
};

TEST_F(FabricTest, CarriesBytesBothWaysUnderTheLinksAddresses) {
  const auto c = pair();
  EXPECT_EQ(servers[0]->socket.remote_endpoint().address(), own(3));
  const std::string much(3 << 20, 'z');
  std::size_t written = 0;
  net::async_write(c->socket, net::buffer(much), [&](error_code, std::size_t n) { written = n; });
  wait([&] { return written == much.size() && servers[0]->got.size() == much.size() + 1; });
  EXPECT_EQ(fabric.counts().connections, 1u);
  c->socket.shutdown(Tcp::socket::shutdown_send);
  wait([&] { return servers[0]->ended; });
  EXPECT_EQ(*servers[0]->ended, net::error::eof);
  servers[0]->write("late");  // the other way is still open
  wait([&] { return c->got == "blate"; });
  servers[0]->socket.close();
  wait([&] { return c->ended; });
  EXPECT_EQ(*c->ended, net::error::eof);
  wait([&] { return fabric.counts().open == 0; });
}
TEST_F(FabricTest, AClosedDoorRefuses) {
  fabric.door(link, Door::closed);
  const auto c = connect();
  wait([&] { return c->connected; });
  EXPECT_EQ(*c->connected, net::error::connection_refused);
  fabric.door(link, Door::open);
  pair();
}
TEST_F(FabricTest, ASilentDoorNeverAnswersAndOpensAgain) {
  const auto before = pair();
  fabric.door(link, Door::silent);
  const auto c = connect();
  turn();
  EXPECT_FALSE(c->connected);
  before->write("still open");
  wait([&] { return servers[0]->got == "astill open"; });
  fabric.door(link, Door::open);
  pair();
}
TEST_F(FabricTest, ReachingNobodyIsAReset) {
  error_code ignored;
  listener.close(ignored);
  const auto c = connect();
  wait([&] { return c->ended; });
  EXPECT_EQ(*c->ended, net::error::connection_reset);
}
TEST_F(FabricTest, HoldsBothWaysAndLetsGo) {
  const auto c = pair();
  fabric.faults(link, {.hold_there = true, .hold_back = true});
  c->write("1");
  servers[0]->write("2");
  turn();
  EXPECT_EQ(servers[0]->got, "a");
  EXPECT_EQ(c->got, "b");
  fabric.faults(link, {});
  wait([&] { return servers[0]->got == "a1" && c->got == "b2"; });
}
TEST_F(FabricTest, HoldsOneWay) {
  const auto c = pair();
  fabric.faults(link, {.hold_there = true});
  c->write("1");
  servers[0]->write("2");
  wait([&] { return c->got == "b2"; });
  turn();
  EXPECT_EQ(servers[0]->got, "a");
  EXPECT_FALSE(c->ended);
}
TEST_F(FabricTest, DelaysAndKeepsOrder) {
  const auto c = pair();
  fabric.faults(link, {.delay = 30'000, .spread = 30'000});
  const auto begun = Clock::now();
  std::string sent;
  for (int i = 0; i < 20; i++) {
    const std::string one(1, static_cast<char>('A' + i));
    c->write(one);
    sent += one;
    turn();
  }
  wait([&] { return servers[0]->got == "a" + sent; });
  EXPECT_GE(Clock::now() - begun, std::chrono::milliseconds(30));
}
TEST_F(FabricTest, KeepsToARate) {
  const auto c = pair();
  fabric.faults(link, {.rate = 20'000});
  const auto begun = Clock::now();
  c->write(std::string(4'000, 'x'));
  wait([&] { return servers[0]->got.size() == 4'001; });
  EXPECT_GE(Clock::now() - begun, std::chrono::milliseconds(190));
}
TEST_F(FabricTest, ResetsAll) {
  const auto a = pair(), b = pair();
  fabric.reset(link);
  wait([&] { return a->ended && b->ended && servers[0]->ended && servers[1]->ended; });
  EXPECT_EQ(*a->ended, net::error::connection_reset);
  EXPECT_EQ(*servers[1]->ended, net::error::connection_reset);
  pair();
}
TEST_F(FabricTest, HalfClosesAndTheAnswerStillComes) {
  const auto c = pair();
  fabric.half_close(link);
  wait([&] { return servers[0]->ended; });
  EXPECT_EQ(*servers[0]->ended, net::error::eof);
  servers[0]->write("answer");
  wait([&] { return c->got == "banswer"; });
}
TEST_F(FabricTest, TearsInMidMessage) {
  const auto c = pair();
  fabric.faults(link, {.tear_after = 10});
  c->write("12345");
  wait([&] { return servers[0]->got == "a12345"; });
  c->write("67890");
  wait([&] { return c->ended && servers[0]->ended; });
  EXPECT_EQ(*servers[0]->ended, net::error::connection_reset);
}

class DatagramTest : public FabricTest {
 protected:
  struct Peer {
    explicit Peer(net::io_context& io, const Udp::endpoint& at) : socket(io, at) {}
    void read() {
      socket.async_receive_from(net::buffer(buffer), from, [this](error_code bad, std::size_t n) {
        if (bad) return;
        got.emplace_back(from.address().to_string(), std::string(buffer.data(), n));
        read();
      });
    }
    Udp::socket socket;
    Udp::endpoint from;
    std::array<char, 512> buffer{};
    std::vector<std::pair<std::string, std::string>> got;
  };
  DatagramTest() {
    for (unsigned i = 0; i < 3; i++) {
      peers.push_back(std::make_unique<Peer>(io, Udp::endpoint(own(20 + i), port())));
      peers.back()->read();
      fabric.peer({own(30 + i), port()}, {own(20 + i), port()});
    }
    fabric.peers_all({own(40), port()});
  }
  void send(unsigned from, const net::ip::address_v4& to, const std::string& text) {
    peers[from]->socket.send_to(net::buffer(text), {to, port()});
  }
  std::vector<std::unique_ptr<Peer>> peers;
};

TEST_F(DatagramTest, SeemToComeFromTheSendersAddress) {
  send(0, own(31), "to one");
  wait([&] { return peers[1]->got.size() == 1; });
  EXPECT_EQ(peers[1]->got[0], std::make_pair(own(30).to_string(), std::string("to one")));
  send(2, own(40), "to all");
  wait([&] { return peers[0]->got.size() == 1 && peers[1]->got.size() == 2; });
  EXPECT_EQ(peers[0]->got[0].first, own(32).to_string());
  EXPECT_TRUE(peers[2]->got.empty());
}
TEST_F(DatagramTest, AreLostRepeatedAndCut) {
  fabric.datagram_faults([](std::size_t from, std::size_t to) {
    LinkFaults f;
    if (to == 1) f.loss = 1;
    if (to == 2) f.repeat = 1;
    if (from == 2) f.hold_there = true;
    return f;
  });
  send(0, own(40), "x");
  send(2, own(30), "y");
  wait([&] { return peers[2]->got.size() == 2; });
  turn();
  EXPECT_TRUE(peers[1]->got.empty());
  EXPECT_TRUE(peers[0]->got.empty());
  EXPECT_EQ(fabric.counts().datagrams_lost, 2u);
}

}  // namespace
}  // namespace heronvane::lab
