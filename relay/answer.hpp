// One answer of an endpoint, piece by piece as it comes; the one place that tells a broken stream. No input
// or output here.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

#include "clock.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

// Whether an answer that begins so says 200, as its first line alone tells; nothing while too little has
// come.
std::optional<bool> first_line_ok(const std::string& text);

class AnswerReader {
 public:
  enum class State {
    more,   // it goes on
    whole,  // it has come
    broken  // it can't be read, or is larger than any answer may be
  };
  AnswerReader() { start(); }

  State put(const char* bytes, std::size_t size);
  State end();  // the connection has ended

  // Part of the answer has come. Answers ahead of it (1xx) don't count.
  bool begun() const { return begun_; }
  bool says_ok() const { return ok_.value_or(false); }
  // The next answer on the connection is the next call's: this one is whole and nothing came behind it.
  bool reusable() const { return whole_ && !left_over_ && parser_->keep_alive(); }

  bool has_head() const { return parser_->is_header_done(); }
  unsigned status() const { return parser_->get().result_int(); }
  bool line_busy() const { return parser_->get()["X-Line-Busy"] == "1"; }
  const std::string& body() const { return parser_->get().body(); }
  Microseconds told_wait() const;  // 0: none
  heronvane::dispatch::LoadReport report() const;

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
  void start();
  std::optional<Parser> parser_;
  std::string pending_;  // not parsed yet
  std::optional<bool> ok_;
  int ahead_ = 0;  // 1xx answers
  bool begun_ = false, framed_ = false, whole_ = false, left_over_ = false;
};

}  // namespace heronvane
