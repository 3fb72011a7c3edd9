// Agents over TLS with valid and invalid certificates, which the test generates.
#include <gtest/gtest.h>

#include "stand_in.hpp"

namespace heronvane::cli::test {
namespace {

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

class Tls : public ::testing::Test {
 protected:
  void SetUp() override {
    authority("ca");
    authority("stranger");
    certificate("ca", "agent", "subjectAltName=IP:127.0.0.1");
    certificate("ca", "misnamed", "subjectAltName=DNS:elsewhere.example");
    certificate("ca", "client", "extendedKeyUsage=clientAuth");
    certificate("stranger", "intruder", "extendedKeyUsage=clientAuth");
  }
  void openssl(const std::string& arguments) {
    std::string text;
    ASSERT_EQ(shell("openssl " + arguments, &text), 0) << text;
  }
  void authority(const std::string& name) {
    openssl("req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 30 -subj /CN=" + name +
            " -keyout " + folder.file(name + ".key") + " -out " + folder.file(name + ".pem"));
  }
  void certificate(const std::string& ca, const std::string& name, const std::string& extension) {
    const auto extensions = folder.write(name + ".ext", extension + "\n");
    openssl("req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -subj /CN=" + name + " -keyout " +
            folder.file(name + ".key") + " -out " + folder.file(name + ".csr"));
    openssl("x509 -req -days 30 -in " + folder.file(name + ".csr") + " -CA " + folder.file(ca + ".pem") +
            " -CAkey " + folder.file(ca + ".key") + " -CAcreateserial -extfile " + extensions + " -out " +
            folder.file(name + ".pem"));
  }
  Result run(const StandIn& agent, const std::string& client, const std::string& ca,
             std::vector<std::string> words) {
    words.insert(words.begin(), {"--agent", "https://127.0.0.1:" + std::to_string(agent.port()), "--cert",
                                 folder.file(client + ".pem"), "--key", folder.file(client + ".key"), "--ca",
                                 folder.file(ca + ".pem")});
    return run_tool(words);
  }
  Folder folder;
};

TEST_F(Tls, ValidCertificatesAreAccepted) {
  StandIn agent(folder.file("agent.pem"), folder.file("agent.key"), folder.file("ca.pem"));
  script_fleet(agent);
  agent.on("POST /v1/operations", Reply::json(operation_json(7, "up", "running", ""), 202));
  agent.on("GET /v1/operations/7?follow=1",
           Reply::chunked({operation_json(7, "up", "done", "") + "\n"}, true));
  const auto list = run(agent, "client", "ca", {"list"});
  EXPECT_EQ(list.exit, 0) << list.err;
  EXPECT_TRUE(has(list.out, "n2"));
  const auto up = run(agent, "client", "ca", {"up"});
  EXPECT_EQ(up.exit, 0) << up.err;
}

TEST_F(Tls, AnUnknownClientCertificateIsReported) {
  StandIn agent(folder.file("agent.pem"), folder.file("agent.key"), folder.file("ca.pem"));
  script_fleet(agent);
  const auto r = run(agent, "intruder", "ca", {"list"});
  EXPECT_EQ(r.exit, 5) << r.out;
  EXPECT_TRUE(has(r.err, "TLS: ") && has(r.err, "--cert and --key")) << r.err;
  EXPECT_TRUE(agent.requests().empty());
}

TEST_F(Tls, AnAgentOfAnotherAuthorityIsRefused) {
  StandIn agent(folder.file("agent.pem"), folder.file("agent.key"), folder.file("ca.pem"));
  script_fleet(agent);
  const auto r = run(agent, "client", "stranger", {"list"});
  EXPECT_EQ(r.exit, 5) << r.out;
  EXPECT_TRUE(has(r.err, "TLS: ") && has(r.err, "certificate in certificate chain")) << r.err;
  EXPECT_TRUE(agent.requests().empty());
}

TEST_F(Tls, AnAgentWithAnotherHostNameIsRefused) {
  StandIn agent(folder.file("misnamed.pem"), folder.file("misnamed.key"), folder.file("ca.pem"));
  script_fleet(agent);
  EXPECT_EQ(run(agent, "client", "ca", {"list"}).exit, 5);
  EXPECT_TRUE(agent.requests().empty());
}

TEST_F(Tls, InvalidCertificateFilesAreNamed) {
  const auto none = folder.write("none.pem", "nothing");
  const auto r = run_tool({"--agent", "https://127.0.0.1:9", "--cert", none, "--key", none, "list"});
  EXPECT_EQ(r.exit, 1);
  EXPECT_TRUE(has(r.err, "--cert: " + none)) << r.err;
}

}  // namespace
}  // namespace heronvane::cli::test
