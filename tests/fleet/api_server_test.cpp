// The API server: each request is answered or its connection closed, and no client affects others.
#include "api_server.hpp"

#include <gtest/gtest.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <future>
#include <random>
#include <thread>

#include "agent_harness.hpp"
#include "fake_backend.hpp"

namespace heronvane::fleet::testing {
namespace {

namespace net = boost::asio;
namespace ssl = net::ssl;
using boost::system::error_code;

class ApiServerTest : public ::testing::Test {
 protected:
  ApiServerTest() {
    folder = (std::filesystem::temp_directory_path() / ("heronvane-api-test-" + std::to_string(::getpid())))
                 .string();
    std::filesystem::create_directories(folder);
    path = folder + "/agent.sock";
  }
  ~ApiServerTest() override {
    net::post(io, [this] { server.reset(); });
    work.reset();
    if (thread.joinable()) thread.join();
    std::filesystem::remove_all(folder);
  }
  void start(ApiLimits limits = {}) {
    server = std::make_unique<ApiServer>(io, api, limits);
    server->listen_local(path);
    thread = std::thread([this] { io.run(); });
  }
  Answer raw(const std::string& bytes) { return read_answer(send_and_receive(path, bytes)); }

  FakeBackend agent;
  Api api{agent};
  net::io_context io{1};
  net::executor_work_guard<net::io_context::executor_type> work = net::make_work_guard(io);
  std::unique_ptr<ApiServer> server;
  std::thread thread;
  std::string folder, path;
};

TEST_F(ApiServerTest, ResponsesCarryTheVersionAndConnectionsPersist) {
  start();
  const std::string one = "GET /v1/agent HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string last = "GET /v1/agent HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  const std::string all = send_and_receive(path, one + one + last);
  std::size_t answers = 0;
  for (auto at = all.find("HTTP/1.1 200"); at != std::string::npos; at = all.find("HTTP/1.1 200", at + 1))
    answers++;
  EXPECT_EQ(answers, 3u);
  EXPECT_NE(all.find("X-Heronvane-Api: 1\r\n"), std::string::npos);
}

TEST_F(ApiServerTest, OnlyThisUserMayUseTheSocket) {
  start();
  struct stat about {};
  ASSERT_EQ(::stat(path.c_str(), &about), 0);
  EXPECT_EQ(about.st_mode & 0777, 0600u);
  if (::geteuid() != 0) GTEST_SKIP() << "only root can be another user";
  // Another user is rejected even if the mode of the socket permits the connect.
  ::chmod(path.c_str(), 0666);
  const pid_t child = ::fork();
  if (child == 0) {
    if (::setuid(65534) != 0) ::_exit(9);
    const int fd = connect_to(path);
    if (fd < 0) ::_exit(8);
    char byte = 0;
    const std::string bytes = "GET /v1/agent HTTP/1.1\r\nHost: a\r\n\r\n";
    [[maybe_unused]] const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    ::_exit(::recv(fd, &byte, 1, 0) > 0 ? 1 : 0);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  EXPECT_TRUE(WIFEXITED(status));
  EXPECT_EQ(WEXITSTATUS(status), 0);
}

TEST_F(ApiServerTest, EnforcesSizeAndTimeLimits) {
  ApiLimits limits;
  limits.io_timeout = std::chrono::milliseconds(300);
  start(limits);
  EXPECT_EQ(raw("POST /v1/operations HTTP/1.1\r\nHost: a\r\nContent-Length: 1048577\r\n\r\n").status, 413u);
  EXPECT_EQ(raw("GET /v1/agent HTTP/1.1\r\nX: " + std::string(17'000, 'x') + "\r\n\r\n").status, 413u);
  EXPECT_EQ(raw("nonsense\r\n\r\n").status, 400u);
  // The largest permitted body, and requests that never end.
  const std::string body(1 << 20, ' ');
  EXPECT_EQ(ask(path, "POST", "/v1/operations", body).status, 400u);
  EXPECT_EQ(raw("GET /v1/agent HTT").status, 0u);
  EXPECT_EQ(raw("POST /v1/operations HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n{").status, 0u);
}

TEST_F(ApiServerTest, The65thConnectionGets503UntilOthersClose) {
  start();
  std::vector<int> held;
  for (int i = 0; i < 64; i++) {
    held.push_back(connect_to(path));
    ASSERT_GE(held.back(), 0);
  }
  Answer rejected;
  EXPECT_EQ((rejected = ask(path, "GET", "/v1/agent")).status, 503u);
  for (const int fd : held) ::close(fd);
  const auto until = std::chrono::steady_clock::now() + kTimeout;
  unsigned status = 0;
  while (status != 200 && std::chrono::steady_clock::now() < until)
    status = ask(path, "GET", "/v1/agent").status;
  EXPECT_EQ(status, 200u);
}

// A follower that does not read is disconnected after the timeout; the memory for it is bounded until then.
TEST_F(ApiServerTest, ASlowFollowerIsDisconnected) {
  ApiLimits limits;
  limits.io_timeout = std::chrono::milliseconds(300);
  start(limits);
  const std::string apply =
      R"({"kind":"apply","fleet":{"discovery":"127.0.0.1:1","instances":[{"name":"n0","listen":"127.0.0.1:8081"}]}})";
  ASSERT_EQ(ask(path, "POST", "/v1/operations", apply).status, 202u);
  const int fd = connect_to(path);
  const std::string bytes = "GET /v1/operations/1?follow=1 HTTP/1.1\r\nHost: a\r\n\r\n";
  ASSERT_GT(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), 0);
  const auto until = std::chrono::steady_clock::now() + kTimeout;
  bool followed = false, gone = false;
  while (!gone && std::chrono::steady_clock::now() < until) {
    std::promise<void> done;
    net::post(io, [&] {
      const auto s = agent.followed.lock();
      if (s) s->push(std::string(100'000, 'x'), false);
      followed = followed || s;
      gone = followed && !s;
      done.set_value();
    });
    done.get_future().wait();
  }
  EXPECT_TRUE(gone);
  ::close(fd);
}

// The close of a follower's connection is detected though there is nothing to send.
TEST_F(ApiServerTest, AFollowerThatDisconnectsIsReleased) {
  start();
  ASSERT_EQ(
      ask(path, "POST", "/v1/operations",
          R"({"kind":"apply","fleet":{"discovery":"127.0.0.1:1","instances":[{"name":"n0","listen":"127.0.0.1:1"}]}})")
          .status,
      202u);
  const int fd = connect_to(path);
  const std::string bytes = "GET /v1/operations/1?follow=1 HTTP/1.1\r\nHost: a\r\n\r\n";
  ASSERT_GT(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), 0);
  char piece[4096];
  std::string got;
  while (got.find("\"id\":1") == std::string::npos) {
    const auto n = ::recv(fd, piece, sizeof piece, 0);
    ASSERT_GT(n, 0);
    got.append(piece, static_cast<std::size_t>(n));
  }
  ::close(fd);
  const auto until = std::chrono::steady_clock::now() + kTimeout;
  bool gone = false;
  while (!gone && std::chrono::steady_clock::now() < until) {
    std::promise<void> done;
    net::post(io, [&] {
      gone = agent.followed.expired();
      done.set_value();
    });
    done.get_future().wait();
  }
  EXPECT_TRUE(gone);
}

// 10,000 randomly corrupted requests: each is answered or its connection closed, and a valid request is
// served afterwards.
TEST_F(ApiServerTest, MalformedRequestsDoNotAffectOthers) {
  start();
  std::mt19937 random(20261201);
  const auto random_below = [&](std::size_t below) {
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
  };
  const std::vector<std::string> valid{
      "GET /v1/agent HTTP/1.1\r\nHost: a\r\n\r\n",
      "GET /v1/operations?limit=5 HTTP/1.1\r\nHost: a\r\n\r\n",
      "GET /v1/instances/n0/log?lines=10 HTTP/1.1\r\nHost: a\r\n\r\n",
      "DELETE /v1/operations/1 HTTP/1.1\r\nHost: a\r\n\r\n",
      "POST /v1/operations HTTP/1.1\r\nHost: a\r\nContent-Length: "
      "29\r\n\r\n{\"kind\":\"up\",\"names\":[\"n0\"] }",
      "POST /v1/operations HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
      "chunked\r\n\r\n1d\r\n{\"kind\":\"up\",\"names\":[\"n0\"] }\r\n0\r\n\r\n",
      "POST /v1/operations HTTP/1.1\r\nHost: a\r\nContent-Length: "
      "101\r\n\r\n{\"kind\":\"apply\",\"fleet\":{\"discovery\":\"127.0.0.1:1\",\"instances\":[{\"name\":"
      "\"n0\",\"listen\":\"127.0.0.1:1\"}]}}"};
  int answered = 0;
  for (int i = 0; i < 10'000; i++) {
    std::string bytes = valid[random_below(valid.size())];
    for (std::size_t changes = 1 + random_below(4); changes > 0; changes--) {
      const auto at = random_below(bytes.size());
      switch (random_below(6)) {
        case 0:
          bytes[at] = static_cast<char>(random_below(256));
          break;
        case 1:
          bytes.erase(at, 1 + random_below(8));
          break;
        case 2:
          bytes.insert(at, std::string(1 + random_below(20), static_cast<char>(random_below(256))));
          break;
        case 3:
          bytes.resize(at + 1);
          break;
        case 4:
          bytes.insert(at, bytes.substr(random_below(bytes.size()), random_below(40)));
          break;
        case 5:
          bytes.insert(at, std::string(random_below(3'000), "[{\"9\\"[random_below(5)]));
          break;
      }
      if (bytes.empty()) bytes = "x";
    }
    const int fd = connect_to(path);
    ASSERT_GE(fd, 0) << i;
    ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    ::shutdown(fd, SHUT_WR);
    char piece[4096];
    bool has_response = false;
    // Reads only once: a request that is still valid may get a streamed response that does not end.
    const auto n = ::recv(fd, piece, sizeof piece, 0);
    has_response = n > 0;
    answered += has_response;
    if (has_response) {
      EXPECT_EQ(std::string(piece, 5), "HTTP/") << i;
    }
    ::close(fd);
  }
  EXPECT_GT(answered, 5'000);
  unsigned status = 0;
  const auto until = std::chrono::steady_clock::now() + kTimeout;
  while (status != 200 && std::chrono::steady_clock::now() < until)
    status = ask(path, "GET", "/v1/agent").status;
  EXPECT_EQ(status, 200u);
}

// ---- TLS ----

struct Identity {
  EVP_PKEY* key = nullptr;
  X509* certificate = nullptr;
  ~Identity() {
    X509_free(certificate);
    EVP_PKEY_free(key);
  }
  void write(const std::string& stem) const {
    std::FILE* f = std::fopen((stem + ".pem").c_str(), "w");
    PEM_write_X509(f, certificate);
    std::fclose(f);
    f = std::fopen((stem + ".key").c_str(), "w");
    PEM_write_PrivateKey(f, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(f);
  }
};
// Signed by `issuer`; self-signed if that is null.
std::unique_ptr<Identity> identity(const char* name, const Identity* issuer, long serial,
                                   int encoding = MBSTRING_ASC) {
  auto i = std::make_unique<Identity>();
  i->key = EVP_EC_gen("P-256");
  i->certificate = X509_new();
  X509_set_version(i->certificate, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(i->certificate), serial);
  X509_gmtime_adj(X509_getm_notBefore(i->certificate), -3600);
  X509_gmtime_adj(X509_getm_notAfter(i->certificate), 3600);
  X509_set_pubkey(i->certificate, i->key);
  X509_NAME_add_entry_by_txt(X509_get_subject_name(i->certificate), "CN", encoding,
                             reinterpret_cast<const unsigned char*>(name), -1, -1, 0);
  X509_set_issuer_name(i->certificate,
                       X509_get_subject_name(issuer != nullptr ? issuer->certificate : i->certificate));
  if (issuer == nullptr) {
    X509_EXTENSION* ca = X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
    X509_add_ext(i->certificate, ca, -1);
    X509_EXTENSION_free(ca);
  }
  X509_sign(i->certificate, issuer != nullptr ? issuer->key : i->key, EVP_sha256());
  return i;
}

class TlsTest : public ApiServerTest {
 protected:
  void SetUp() override {
    const auto ca = identity("ca", nullptr, 1);
    ca->write(folder + "/ca");
    identity("agent", ca.get(), 2)->write(folder + "/agent");
    identity("ops", ca.get(), 3)->write(folder + "/ops");
    identity("J\xf6rg", ca.get(), 6, V_ASN1_T61STRING)->write(folder + "/latin");
    const auto other = identity("other ca", nullptr, 4);
    identity("ops", other.get(), 5)->write(folder + "/stranger");
    server = std::make_unique<ApiServer>(io, api);
    at = server->listen_tls({net::ip::make_address("127.0.0.1"), 0},
                            {folder + "/agent.pem", folder + "/agent.key", folder + "/ca.pem"});
    thread = std::thread([this] { io.run(); });
  }
  // Returns the response; empty if there is none. Offers `session` for resumption, if it is not empty, and
  // replaces it with the session of this connection.
  std::string ask_tls(const std::string& who, int most_version = TLS1_3_VERSION,
                      std::vector<unsigned char>* session = nullptr) {
    net::io_context own;
    ssl::context context(ssl::context::tls_client);
    SSL_CTX_set_security_level(context.native_handle(), 0);
    SSL_CTX_set_max_proto_version(context.native_handle(), most_version);
    context.load_verify_file(folder + "/ca.pem");
    context.set_verify_mode(ssl::verify_peer);
    if (!who.empty()) {
      context.use_certificate_file(folder + "/" + who + ".pem", ssl::context::pem);
      context.use_private_key_file(folder + "/" + who + ".key", ssl::context::pem);
    }
    ssl::stream<net::ip::tcp::socket> s(own, context);
    error_code bad;
    if (session != nullptr && !session->empty()) {
      const unsigned char* from = session->data();
      SSL_SESSION* const earlier = d2i_SSL_SESSION(nullptr, &from, static_cast<long>(session->size()));
      EXPECT_EQ(SSL_set_session(s.native_handle(), earlier), 1);
      SSL_SESSION_free(earlier);
    }
    s.lowest_layer().connect(at, bad);
    if (!bad) s.handshake(ssl::stream_base::client, bad);
    const std::string body = R"({"kind":"up","names":"all"})";
    const std::string bytes =
        "POST /v1/operations HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!bad) net::write(s, net::buffer(bytes), bad);
    std::string all;
    if (!bad) net::read(s, net::dynamic_buffer(all), bad);
    // With TLS 1.3, session tickets arrive after the handshake; any would have been read by now.
    if (session != nullptr) {
      SSL_SESSION* const left = SSL_get0_session(s.native_handle());
      session->resize(static_cast<std::size_t>(i2d_SSL_SESSION(left, nullptr)));
      unsigned char* to = session->data();
      i2d_SSL_SESSION(left, &to);
    }
    return all;
  }
  net::ip::tcp::endpoint at;
};

TEST_F(TlsTest, OnlyHoldersOfACertificateGetAResponse) {
  EXPECT_NE(ask_tls("ops").find("X-Heronvane-Api: 1"), std::string::npos);
  EXPECT_EQ(agent.last_by, "certificate ops");
  EXPECT_EQ(ask_tls(""), "");
  EXPECT_EQ(ask_tls("stranger"), "");
  EXPECT_NE(ask_tls("ops", TLS1_2_VERSION), "");
}
// Remote connections without a certificate must not use up the connections of local clients.
TEST_F(TlsTest, ConnectionsWithoutCertificateLeaveCapacityForLocalClients) {
  std::promise<void> listens;
  net::post(io, [&] {
    server->listen_local(path);
    listens.set_value();
  });
  listens.get_future().wait();
  net::io_context own;
  std::vector<net::ip::tcp::socket> held;
  for (int i = 0; i < 100; i++) held.emplace_back(own).connect(at);
  // The last one is closed by the server; by then all have been accepted.
  char byte = 0;
  error_code end;
  held.back().read_some(net::buffer(&byte, 1), end);
  EXPECT_TRUE(end);
  EXPECT_EQ(ask(path, "GET", "/v1/agent").status, 200u);
}
// Clients that connect repeatedly offer the session of an earlier connection.
TEST_F(TlsTest, AnEarlierSessionMayBeOffered) {
  for (const int version : {TLS1_2_VERSION, TLS1_3_VERSION}) {
    std::vector<unsigned char> session;
    for (int i = 0; i < 3; i++) EXPECT_NE(ask_tls("ops", version, &session), "") << version << " " << i;
  }
}
TEST_F(TlsTest, ANameThatIsNotUtf8IsMadePrintable) {
  EXPECT_NE(ask_tls("latin").find("X-Heronvane-Api: 1"), std::string::npos);
  EXPECT_EQ(agent.last_by, "certificate J?rg");
}
TEST_F(TlsTest, OldVersionsAreRefused) { EXPECT_EQ(ask_tls("ops", TLS1_1_VERSION), ""); }
TEST_F(TlsTest, PlainTextGetsNoResponse) {
  net::io_context own;
  net::ip::tcp::socket s(own);
  s.connect(at);
  const std::string bytes = "GET /v1/agent HTTP/1.1\r\nHost: a\r\n\r\n";
  net::write(s, net::buffer(bytes));
  std::string all;
  error_code bad;
  net::read(s, net::dynamic_buffer(all), bad);
  EXPECT_EQ(all.find("HTTP"), std::string::npos);
}
TEST_F(TlsTest, ErrorsNameTheUnusableFile) {
  ApiServer other(io, api);
  try {
    other.listen_tls({net::ip::make_address("127.0.0.1"), 0},
                     {folder + "/agent.pem", folder + "/none.key", folder + "/ca.pem"});
    FAIL();
  } catch (const std::exception& e) {
    EXPECT_NE(std::string(e.what()).find("none.key"), std::string::npos);
  }
}

}  // namespace
}  // namespace heronvane::fleet::testing
