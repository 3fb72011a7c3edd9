// What a client's request says and whether it can be used. Beast has parsed it; no input or output here.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "cedarplank/dispatcher.hpp"
#include "journal.hpp"
#include "settings.hpp"

namespace heronvane {

constexpr std::uint64_t kMostBody = 64 * 1024;
constexpr std::uint32_t kMostHeader = 16 * 1024;

using RequestHead = boost::beast::http::request_header<>;
using Request = boost::beast::http::request<boost::beast::http::string_body>;

// Whether it is certain where the request ends. Where it is not, what stands behind it may be part of it: the
// connection ends with nothing more read, else a request hidden in a body would be taken on.
bool framing_certain(const RequestHead& head);

// The message that a request hands in, with its body moved into it; else the status that turns it down and
// why.
struct Handed {
  Message message;
  unsigned refused = 0;
  const char* why = "";
};
Handed read_message(Request& request, const cedarplank::Settings& settings,
                    const cedarplank::adapter::Tables& names);

}  // namespace heronvane
