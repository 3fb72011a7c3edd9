// An incremental parser for one HTTP answer of an endpoint. It alone decides whether an answer is broken.
// Performs no I/O.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

#include "clock.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

// Whether the status line at the start of `text` says 200; nothing while `text` is too short to tell.
std::optional<bool> status_line_says_ok(const std::string& text);

class AnswerReader {
 public:
  enum class State {
    more,   // incomplete
    whole,  // complete
    broken  // malformed or over the size limits
  };
  AnswerReader() { start(); }

  // Parses the next `size` bytes.
  State put(const char* bytes, std::size_t size);
  State end();  // the endpoint has closed the connection

  // Whether part of the final answer has arrived. Informational answers (1xx) don't count.
  bool begun() const { return begun_; }
  bool says_ok() const { return status_ok_.value_or(false); }
  // Whether the connection can be reused: the answer is complete, nothing follows it, and it allows
  // keep-alive.
  bool reusable() const { return whole_ && !has_extra_bytes_ && parser_->keep_alive(); }

  bool has_head() const { return parser_->is_header_done(); }
  unsigned status() const { return parser_->get().result_int(); }
  bool line_busy() const { return parser_->get()["X-Line-Busy"] == "1"; }
  const std::string& body() const { return parser_->get().body(); }
  Microseconds retry_after() const;                // from X-Come-Back-Ms; 0 if absent or malformed
  heronvane::dispatch::LoadReport report() const;  // from X-Load

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
  void start();
  std::optional<Parser> parser_;
  std::string unparsed_;  // received, not parsed yet
  std::optional<bool> status_ok_;
  int informational_answers_ = 0;  // 1xx answers so far
  bool begun_ = false, framing_checked_ = false, whole_ = false, has_extra_bytes_ = false;
};

}  // namespace heronvane
