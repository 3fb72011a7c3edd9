// The platform for relays on this machine, over plain HTTP/1.1 on a loopback address. It serves the endpoint
// list for discovery and stores the notices that end messages.
//
//   GET /catalog/members                    the whole list
//   GET /catalog/members?follow=1&since=N   a watch: one line for each change after index N, and an empty
//   line
//                                           at each heartbeat interval
//   POST /v2/finals                         204: the notices are stored durably; 400: the request is
//   malformed
//                                           and none is stored; 503: send the request again later
//
// Not thread-safe: all calls come from the thread that runs `io`.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "catalog.hpp"
#include "finals.hpp"

namespace heronvane::fleet {

struct PlatformOptions {
  boost::asio::ip::tcp::endpoint listen;  // a loopback address; port 0: any free port
  // The highest index published so far, as keep_index last stored it. If it is lost, Unix time in seconds is
  // a safe value: relays ignore a list whose index is lower than one they have seen.
  std::int64_t index = 0;
  std::size_t max_history = 4096;      // changed entries kept for watches that resume
  std::size_t max_watchers = 1024;     // more get 503
  std::size_t max_connections = 1536;  // of all kinds; beyond it the longest idle one is closed
  std::size_t max_head_bytes = 64 << 10, max_body_bytes = 1 << 20;  // of one request; larger get 431, 413
  std::size_t max_total_body_bytes = 64 << 20;  // of all bodies being read; beyond it: 503
  std::chrono::milliseconds heartbeat_interval{2000};
  std::chrono::milliseconds request_timeout{
      10'000};  // from a request's first byte, or the accept, to its last byte
  std::chrono::milliseconds idle_timeout{60'000};  // between requests
  std::chrono::milliseconds write_timeout{6'000};  // of a response, or of one line of a watch
};

struct PlatformCallbacks {
  // Stores the index durably before the list with it is published. Returns false if that fails; the list is
  // then not published.
  std::function<bool(std::int64_t)> keep_index = [](std::int64_t) { return true; };
  std::function<void(const std::string&)> log = [](const std::string&) {};
  std::function<std::int64_t()> now_ms;  // Unix time; empty: the system clock
};

struct PlatformStatus {
  std::string listen;  // the address with the actual port
  std::int64_t index = 0;
  std::size_t endpoints = 0, watchers = 0, connections = 0;
  std::int64_t finals = 0;
  std::string notices_error;  // of the last store; "" if it succeeded
};

class PlatformServer {
 public:
  // Starts to listen. Requests for the list get 503 until the first publish(). Throws std::runtime_error,
  // with advice in its text, if the address is not a loopback address or can't be bound. `finals` must
  // outlive the server.
  PlatformServer(boost::asio::io_context& io, Finals& finals, PlatformOptions options,
                 PlatformCallbacks callbacks);
  ~PlatformServer();  // closes all connections
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  // Replaces the published list and sends the changes to all watches. Returns false, with nothing changed, if
  // keep_index failed. Endpoint names must be unique, as read_partners() ensures.
  bool publish(std::vector<Endpoint> list);

  PlatformStatus status() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::fleet
