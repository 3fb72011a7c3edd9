// Checks that the end of an HTTP message is unambiguous. If it is not, a hidden request could follow the
// body, and the connection must be closed.
#pragma once

#include <boost/beast/http/fields.hpp>

namespace heronvane {

constexpr std::uint64_t kMaxBodyBytes = 64 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

// Whether `head` has at most one of a plain Content-Length and, from HTTP/1.1 on, chunked transfer coding.
// `version` is 11 for HTTP/1.1.
bool has_unambiguous_framing(const boost::beast::http::fields& head, unsigned version);

}  // namespace heronvane
