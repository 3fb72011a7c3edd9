#include "answer.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "framing.hpp"

namespace heronvane {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr int kMaxInformationalAnswers = 16;            // 1xx answers before the final one
constexpr Microseconds kMaxRetryAfter = 3'600'000'000;  // limits absurd X-Come-Back-Ms values

std::optional<double> finite_number(beast::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

}  // namespace

std::optional<bool> status_line_says_ok(const std::string& text) {
  const std::string start = "HTTP/1.";
  const auto compared = std::min(text.size(), start.size());
  if (text.compare(0, compared, start, 0, compared) != 0) return false;
  if (text.size() < 13) return std::nullopt;  // "HTTP/1.1 200 "
  return text.compare(8, 4, " 200") == 0 && (text[12] == ' ' || text[12] == '\r');
}

void AnswerReader::start() {
  parser_.emplace();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBodyBytes);
  // Parse the header and the body in separate steps: in eager mode, Beast 1.74 ignores that the
  // Content-Length exceeds the limit and reserves that much memory.
  parser_->eager(false);
  status_ok_.reset();
  begun_ = framing_checked_ = false;
}

AnswerReader::State AnswerReader::put(const char* bytes, std::size_t size) {
  unparsed_.append(bytes, size);
  while (!unparsed_.empty()) {
    begun_ = true;
    // The parser consumes nothing before the status line is complete, so `unparsed_` starts with it until
    // then.
    if (!status_ok_) status_ok_ = status_line_says_ok(unparsed_);
    beast::error_code error;
    const std::size_t consumed = parser_->put(boost::asio::buffer(unparsed_), error);
    unparsed_.erase(0, consumed);
    if (parser_->is_header_done() && !framing_checked_) {
      framing_checked_ = true;
      if (!has_unambiguous_framing(parser_->get(), parser_->get().version())) return State::broken;
    }
    if (error == http::error::need_more)
      return unparsed_.size() > kMaxHeaderBytes ? State::broken : State::more;
    if (error) return State::broken;
    if (!parser_->is_done()) {
      if (consumed == 0) return State::more;
      continue;
    }
    const unsigned code = status();
    if (code < 100 || code > 199) {
      whole_ = true, has_extra_bytes_ = !unparsed_.empty();
      return State::whole;
    }
    // An informational answer. 101 is invalid, since no protocol upgrade was requested.
    if (code == 101 || ++informational_answers_ > kMaxInformationalAnswers) return State::broken;
    start();
  }
  return State::more;
}

AnswerReader::State AnswerReader::end() {
  beast::error_code error;
  if (!parser_->is_header_done()) return State::broken;
  parser_->put_eof(error);
  return !error && parser_->is_done() ? State::whole : State::broken;
}

Microseconds AnswerReader::retry_after() const {
  const auto milliseconds = finite_number(parser_->get()["X-Come-Back-Ms"]);
  if (!milliseconds || *milliseconds <= 0) return 0;
  return static_cast<Microseconds>(std::min(*milliseconds * 1000, static_cast<double>(kMaxRetryAfter)));
}

// Parses "x0=0.4,x1=25".
heronvane::dispatch::LoadReport AnswerReader::report() const {
  heronvane::dispatch::LoadReport report;
  const auto text = parser_->get()["X-Load"];
  for (std::size_t at = 0; at < text.size();) {
    const auto end = std::min(text.find(',', at), text.size());
    const auto field = text.substr(at, end - at);
    const auto equals = field.find('=');
    const auto value =
        equals == beast::string_view::npos ? std::nullopt : finite_number(field.substr(equals + 1));
    if (value && *value >= 0 && field.substr(0, equals) == "x0") report.limit_remaining = *value;
    if (value && *value >= 0 && field.substr(0, equals) == "x1") report.limit_rate = *value;
    at = end + 1;
  }
  return report;
}

}  // namespace heronvane
