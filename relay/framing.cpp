#include "framing.hpp"

#include <algorithm>

namespace heronvane {

namespace beast = boost::beast;
namespace http = beast::http;

bool has_unambiguous_framing(const http::fields& head, unsigned version) {
  const auto lengths = head.count(http::field::content_length);
  const auto codings = head.count(http::field::transfer_encoding);
  // Beast accepts "3, 3" as 3.
  const auto length = head[http::field::content_length];
  const bool plain = std::all_of(length.begin(), length.end(), [](char c) { return c >= '0' && c <= '9'; });
  if (codings == 0) return lengths == 0 || (lengths == 1 && plain);
  return lengths == 0 && codings == 1 && version >= 11 &&
         beast::iequals(head[http::field::transfer_encoding], "chunked");
}

}  // namespace heronvane
