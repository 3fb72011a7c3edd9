// Each request of the API and its response, without sockets.
#include "api.hpp"

#include <gtest/gtest.h>

#include "fake_backend.hpp"

namespace heronvane::fleet::testing {
namespace {

const std::string kApply =
    R"({"kind":"apply","by":"me","fleet":{"discovery":"127.0.0.1:1","instances":[{"name":"n0","listen":"127.0.0.1:8081"},)"
    R"({"name":"n1","listen":"127.0.0.1:8082"}]}})";

class ApiTest : public ::testing::Test {
 protected:
  ApiResponse ask(const std::string& method, const std::string& target, const std::string& body = "",
                  const std::string& peer = "uid 0 pid 1") {
    ApiResponse response;
    int answers = 0;
    api.handle({method, target, body, peer}, [&](ApiResponse r) {
      response = std::move(r);
      answers++;
    });
    EXPECT_EQ(answers, 1) << method << " " << target;
    return response;
  }
  rapidjson::Document json(const ApiResponse& r) { return parse_json(r.body); }
  std::string code(const ApiResponse& r) {
    const auto v = json(r);
    return v.HasMember("error") ? v["error"]["code"].GetString() : "";
  }
  FakeBackend agent;
  Api api{agent};
};

TEST_F(ApiTest, DescribesTheAgent) {
  const auto v = json(ask("GET", "/v1/agent"));
  EXPECT_STREQ(v["name"].GetString(), "host");
  EXPECT_EQ(v["api"].GetInt(), 1);
  EXPECT_EQ(v["pid"].GetInt(), 71);
  EXPECT_EQ(v["started_ms"].GetInt(), 5000);
  EXPECT_TRUE(v["platform"].IsNull());
}

TEST_F(ApiTest, AppliesAFleetAndReportsIt) {
  const auto plan =
      ask("POST", "/v1/operations", kApply.substr(0, kApply.size() - 1) + R"(,"dry_run":true})");
  EXPECT_EQ(plan.status, 200u);
  EXPECT_EQ(json(plan)["id"].GetInt(), 0);
  EXPECT_EQ(json(plan)["steps"].Size(), 2u);
  const auto made = ask("POST", "/v1/operations", kApply);
  EXPECT_EQ(made.status, 202u);
  const auto o = json(made);
  EXPECT_STREQ(o["kind"].GetString(), "apply");
  EXPECT_STREQ(o["by"].GetString(), "me");
  EXPECT_EQ(o["steps"].Size(), 2u);
  EXPECT_GT(o["diff"].Size(), 0u);
  const std::string id = std::to_string(o["id"].GetUint64());
  EXPECT_EQ(json(ask("GET", "/v1/operations/" + id))["id"].GetUint64(), o["id"].GetUint64());
  EXPECT_EQ(json(ask("GET", "/v1/operations?limit=1"))["operations"].Size(), 1u);
  EXPECT_EQ(json(ask("GET", "/v1/fleet"))["fleet"]["instances"].Size(), 2u);
  EXPECT_EQ(json(ask("GET", "/v1/instances"))["instances"].Size(), 2u);
  const auto one = json(ask("GET", "/v1/instances/n0"));
  EXPECT_STREQ(one["listen"].GetString(), "127.0.0.1:8081");
  EXPECT_STREQ(one["status"]["name"].GetString(), "n0");
  EXPECT_EQ(one["status_age_ms"].GetInt(), 7);
  EXPECT_TRUE(json(ask("GET", "/v1/instances/n1"))["status"].IsNull());
  EXPECT_TRUE(ask("GET", "/v1/operations/" + id + "?follow=1").stream);
  EXPECT_EQ(ask("GET", "/v1/instances/n0/log?lines=7").stream->next().bytes, "the last 7\n");
}

TEST_F(ApiTest, TheSecondOperationOnAnInstanceConflictsWithTheFirst) {
  ask("POST", "/v1/operations", kApply);
  const auto second = ask("POST", "/v1/operations", R"({"kind":"restart","names":["n0"],"by":"other"})");
  EXPECT_EQ(second.status, 409u);
  EXPECT_EQ(code(second), "conflict");
  const auto with = json(second);
  EXPECT_STREQ(with["with"]["by"].GetString(), "me");
  EXPECT_STREQ(with["with"]["kind"].GetString(), "apply");
  EXPECT_GT(with["with"]["names"].Size(), 0u);
  const auto third =
      ask("POST", "/v1/operations", R"({"kind":"restart","names":["n0"],"by":"other","supersede":true})");
  EXPECT_EQ(third.status, 202u);
}

TEST_F(ApiTest, AnOldGenerationIsStale) {
  ask("POST", "/v1/operations", kApply);
  ask("DELETE", "/v1/operations/1");
  const auto stale = ask("POST", "/v1/operations", R"({"kind":"up","names":"all","generation":0})");
  EXPECT_EQ(stale.status, 412u);
  EXPECT_EQ(code(stale), "stale");
}

TEST_F(ApiTest, AnOperationIsCancelledOnce) {
  const auto o = json(ask("POST", "/v1/operations", kApply));
  const std::string id = std::to_string(o["id"].GetUint64());
  const auto cancelled = ask("DELETE", "/v1/operations/" + id);
  EXPECT_EQ(cancelled.status, 200u);
  EXPECT_STREQ(json(cancelled)["state"].GetString(), "cancelled");
  EXPECT_EQ(ask("DELETE", "/v1/operations/" + id).status, 409u);
  EXPECT_EQ(ask("DELETE", "/v1/operations/999").status, 404u);
}

TEST_F(ApiTest, AFullDiskGivesAStorageError) {
  agent.storage_full = true;
  const auto r = ask("POST", "/v1/operations", kApply);
  EXPECT_EQ(r.status, 507u);
  EXPECT_EQ(code(r), "storage");
}

TEST_F(ApiTest, TakeoverNamesTheHolderOrTheRefusals) {
  EXPECT_EQ(json(ask("POST", "/v1/takeover/n9"))["by"].GetString(), std::string("n1"));
  const auto refused = ask("POST", "/v1/takeover/n8");
  EXPECT_EQ(refused.status, 409u);
  EXPECT_NE(std::string(json(refused)["error"]["message"].GetString()).find("n1: holds no copy"),
            std::string::npos);
}

TEST_F(ApiTest, MessagesAreReportedAsRelaysReportThem) {
  const auto v = json(ask("GET", "/v1/messages/m%201"));
  EXPECT_STREQ(v["found"][0]["instance"].GetString(), "n0");
  EXPECT_STREQ(v["found"][0]["id"].GetString(), "m%201");
  EXPECT_STREQ(v["not_asked"][0].GetString(), "n1");
}

TEST_F(ApiTest, RecordsTheCertificateBesideTheGivenName) {
  ask("POST", "/v1/operations", kApply, "certificate ops");
  EXPECT_EQ(agent.last_by, "me (certificate ops)");
  ask("POST", "/v1/operations", R"({"kind":"up","names":"all"})", "certificate ops");
  EXPECT_EQ(agent.last_by, "certificate ops");
}

TEST_F(ApiTest, MalformedRequestsGetAnErrorCode) {
  struct Case {
    std::string method, target, body;
    unsigned status;
    std::string code;
  };
  const std::string post = "/v1/operations";
  const std::string many = "[\"n\"" + [] {
    std::string s;
    for (int i = 0; i < 1'000; i++) s += ",\"n\"";
    return s;
  }() + "]";
  const std::vector<Case> all{
      {"GET", "/", "", 404, "unknown"},
      {"GET", "/v2/agent", "", 404, "unknown"},
      {"GET", "/v1/none", "", 404, "unknown"},
      {"GET", "/v1/agent/x", "", 404, "unknown"},
      {"GET", "*", "", 400, "bad_request"},
      {"GET", "", "", 400, "bad_request"},
      {"GET", "/v1/instances/none", "", 404, "unknown"},
      {"GET", "/v1/instances/", "", 404, "unknown"},
      {"GET", "/v1/instances/../log", "", 404, "unknown"},
      {"GET", "/v1/instances/n0/log?lines=x", "", 404, "unknown"},
      {"GET", "/v1/operations/x", "", 400, "bad_request"},
      {"GET", "/v1/operations/-1", "", 400, "bad_request"},
      {"GET", "/v1/operations/99999999999999999999", "", 400, "bad_request"},
      {"GET", "/v1/operations/9", "", 404, "unknown"},
      {"GET", "/v1/operations?limit=1e9", "", 400, "bad_request"},
      {"GET", "/v1/messages/" + std::string(2'000, 'x'), "", 400, "bad_request"},
      {"GET", "/v1/messages/a\rb", "", 400, "bad_request"},
      {"PUT", post, "", 404, "unknown"},
      {"DELETE", post, "", 404, "unknown"},
      {"POST", "/v1/agent", "", 404, "unknown"},
      {"POST", post, "", 400, "bad_request"},
      {"POST", post, "[]", 400, "bad_request"},
      {"POST", post, "{}", 400, "bad_request"},
      {"POST", post, R"({"kind":5})", 400, "bad_request"},
      {"POST", post, R"({"kind":"jump"})", 400, "bad_request"},
      {"POST", post, R"({"kind":"up"})", 400, "bad_request"},
      {"POST", post, R"({"kind":"up","names":"some"})", 400, "bad_request"},
      {"POST", post, R"({"kind":"up","names":[5]})", 400, "bad_request"},
      {"POST", post, R"({"kind":"up","names":["none"]})", 404, "unknown"},
      {"POST", post, R"({"kind":"up","names":)" + many + "}", 400, "bad_request"},
      {"POST", post, R"({"kind":"up","names":"all","generation":-1})", 400, "bad_request"},
      {"POST", post, R"({"kind":"up","names":"all","supersede":1})", 400, "bad_request"},
      {"POST", post, R"({"kind":"up","names":"all","max_unavailable":1.5})", 400, "bad_request"},
      {"POST", post, R"({"kind":"up","names":"all","surprise":1})", 400, "bad_request"},
      {"POST", post, R"({"kind":"up","names":"all","by":")" + std::string(300, 'x') + "\"}", 400,
       "bad_request"},
      {"POST", post, "{\"kind\":\"up\",\"by\":\"\xff\"}", 400, "bad_request"},
      {"POST", post, R"({"kind":"up","names":"all","fleet":{}})", 400, "bad_request"},
      {"POST", post, R"({"kind":"apply"})", 400, "bad_request"},
      {"POST", post, R"({"kind":"apply","fleet":{"discovery":"127.0.0.1:1","instances":[{}]}})", 400,
       "bad_request"},
      {"POST", post, R"({"kind":"rollback"})", 400, "bad_request"},
      {"POST", post, R"({"kind":"rollback","to":77})", 422, "refused"},
      {"POST", post, std::string(100'000, '['), 400, "bad_request"},
  };
  for (const auto& c : all) {
    const auto r = ask(c.method, c.target, c.body);
    EXPECT_EQ(r.status, c.status) << c.method << " " << c.target.substr(0, 80) << " " << c.body.substr(0, 80)
                                  << "\n"
                                  << r.body;
    EXPECT_EQ(code(r), c.code) << c.body.substr(0, 80);
  }
}

// A slow reader skips intermediate lines, so that the memory for it is bounded.
TEST(LineStreamTest, ASlowReaderGetsTheNewestLine) {
  LineStream s(1'000);
  for (int i = 0; i < 10'000; i++) s.push("line " + std::to_string(i), i == 9'999);
  std::string last;
  std::size_t bytes = 0;
  while (true) {
    const auto p = s.next();
    bytes += p.bytes.size();
    if (!p.bytes.empty()) last = p.bytes;
    if (p.last) break;
  }
  EXPECT_LE(bytes, 1'000u);
  EXPECT_EQ(last, "line 9999\n");
}

}  // namespace
}  // namespace heronvane::fleet::testing
