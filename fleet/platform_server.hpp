// The platform for relays on this machine: discovery's list and watch, and the notices that end messages,
// over plain HTTP/1.1 on a loopback address.
//
//   GET /catalog/members                    the whole list
//   GET /catalog/members?follow=1&since=N   a line for each change after N, an empty one each `beat`
//   POST /v2/finals                         204 once the notices last; 400: none was stored; 503: later again
//
// One thread: all calls come from the one that runs `io`.
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
  boost::asio::ip::tcp::endpoint listen;  // a loopback address; port 0 takes any
  // The highest index that was told, as keep_index last got it. Where it is lost, Unix time in seconds is a
  // good one: relays take a list with a lower index than they saw for an old one.
  std::int64_t index = 0;
  std::size_t most_history = 4096;                        // changed entries that a watch can start from
  std::size_t most_watchers = 1024;                       // past it: 503
  std::size_t most_connections = 1536;                    // of all kinds; past it the longest silent one goes
  std::size_t most_head = 64 << 10, most_body = 1 << 20;  // bytes of a request; past it: 431, 413
  std::size_t most_bodies = 64 << 20;                     // bytes of all bodies under way; past it: 503
  std::chrono::milliseconds beat{2000};
  std::chrono::milliseconds request_time{10'000};  // from a request's first byte, or connecting, to its last
  std::chrono::milliseconds idle_time{60'000};     // between requests
  std::chrono::milliseconds write_time{6'000};  // of an answer, or a watch's line, until all of it is taken
};

struct PlatformCallbacks {
  // Keeps the index durably, before it is told to anyone; false: it can't, and the list is not taken in.
  std::function<bool(std::int64_t)> keep_index = [](std::int64_t) { return true; };
  std::function<void(const std::string&)> log = [](const std::string&) {};
  std::function<std::int64_t()> now_ms;  // Unix time; empty: the system's clock
};

struct PlatformStatus {
  std::string listen;  // with the port that was taken
  std::int64_t index = 0;
  std::size_t endpoints = 0, watchers = 0, connections = 0;
  std::int64_t finals = 0;
  std::string finals_trouble;  // of the last store; "" where it went well
};

class PlatformServer {
 public:
  // Listens at once, and answers for the list with 503 until there is one. Throws std::runtime_error saying
  // what to do where the address is none of loopback, or is taken. `finals` must outlast it.
  PlatformServer(boost::asio::io_context& io, Finals& finals, PlatformOptions options,
                 PlatformCallbacks callbacks);
  ~PlatformServer();  // ends all connections
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  // Tells this list from now on; false where keep_index failed: nothing is changed then. The list names no
  // endpoint twice, as read_partners() gives it.
  bool publish(std::vector<Endpoint> list);

  PlatformStatus status() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::fleet
