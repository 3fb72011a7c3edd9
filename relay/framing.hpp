// Whether it is certain where an HTTP message ends. Where it is not, what stands behind it may be part of it:
// its connection is of no further use.
#pragma once

#include <boost/beast/http/fields.hpp>

namespace heronvane {

constexpr std::uint64_t kMostBody = 64 * 1024;
constexpr std::uint32_t kMostHeader = 16 * 1024;

bool framing_certain(const boost::beast::http::fields& head, unsigned version);

}  // namespace heronvane
