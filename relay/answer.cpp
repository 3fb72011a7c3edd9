#include "answer.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "framing.hpp"

namespace heronvane {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr int kMostAhead = 16;                        // 1xx answers before the one that counts
constexpr Microseconds kLongestWait = 3'600'000'000;  // that a mad answer can tell

std::optional<double> finite_number(beast::string_view text) {
  double v = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(v)) return std::nullopt;
  return v;
}

}  // namespace

std::optional<bool> first_line_ok(const std::string& text) {
  const std::string start = "HTTP/1.";
  const auto compared = std::min(text.size(), start.size());
  if (text.compare(0, compared, start, 0, compared) != 0) return false;
  if (text.size() < 13) return std::nullopt;  // "HTTP/1.1 200 "
  return text.compare(8, 4, " 200") == 0 && (text[12] == ' ' || text[12] == '\r');
}

void AnswerReader::start() {
  parser_.emplace();
  parser_->header_limit(kMostHeader);
  parser_->body_limit(kMostBody);
  // Head and body by turns: read in one go, Beast 1.74 forgets that the length is over the limit and reserves
  // it.
  parser_->eager(false);
  ok_.reset();
  begun_ = framed_ = false;
}

AnswerReader::State AnswerReader::put(const char* bytes, std::size_t size) {
  pending_.append(bytes, size);
  while (!pending_.empty()) {
    begun_ = true;
    // Nothing is taken before the first line is whole, so it stands at the front until it is known.
    if (!ok_) ok_ = first_line_ok(pending_);
    beast::error_code bad;
    const std::size_t taken = parser_->put(boost::asio::buffer(pending_), bad);
    pending_.erase(0, taken);
    if (parser_->is_header_done() && !framed_) {
      framed_ = true;
      if (!framing_certain(parser_->get(), parser_->get().version())) return State::broken;
    }
    if (bad == http::error::need_more) return pending_.size() > kMostHeader ? State::broken : State::more;
    if (bad) return State::broken;
    if (!parser_->is_done()) {
      if (taken == 0) return State::more;
      continue;
    }
    const unsigned code = status();
    if (code < 100 || code > 199) {
      whole_ = true, left_over_ = !pending_.empty();
      return State::whole;
    }
    // An answer ahead. A switch of protocols was never asked for.
    if (code == 101 || ++ahead_ > kMostAhead) return State::broken;
    start();
  }
  return State::more;
}

AnswerReader::State AnswerReader::end() {
  beast::error_code bad;
  if (!parser_->is_header_done()) return State::broken;
  parser_->put_eof(bad);
  return !bad && parser_->is_done() ? State::whole : State::broken;
}

Microseconds AnswerReader::told_wait() const {
  const auto ms = finite_number(parser_->get()["X-Come-Back-Ms"]);
  if (!ms || *ms <= 0) return 0;
  return static_cast<Microseconds>(std::min(*ms * 1000, static_cast<double>(kLongestWait)));
}

// "x0=0.4,x1=25"
heronvane::dispatch::LoadReport AnswerReader::report() const {
  heronvane::dispatch::LoadReport report;
  const auto text = parser_->get()["X-Load"];
  for (std::size_t at = 0; at < text.size();) {
    const auto end = std::min(text.find(',', at), text.size());
    const auto field = text.substr(at, end - at);
    const auto equals = field.find('=');
    const auto v =
        equals == beast::string_view::npos ? std::nullopt : finite_number(field.substr(equals + 1));
    if (v && *v >= 0 && field.substr(0, equals) == "x0") report.limit_remaining = *v;
    if (v && *v >= 0 && field.substr(0, equals) == "x1") report.limit_rate = *v;
    at = end + 1;
  }
  return report;
}

}  // namespace heronvane
