// Reads a message from a client's HTTP request, which Beast has parsed, and validates it. Performs no I/O.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "core/message.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "settings.hpp"

namespace heronvane {

using Request = boost::beast::http::request<boost::beast::http::string_body>;

// The message of a request, or why the request is rejected.
struct ParsedRequest {
  Message message;             // without its deadline
  Microseconds time_left = 0;  // until the deadline
  unsigned error_status = 0;   // HTTP status of the rejection; 0: accepted
  const char* error_reason = "";
};
// Moves the body out of `request`.
ParsedRequest read_message(Request& request, const heronvane::dispatch::Settings& settings,
                           const heronvane::dispatch::adapter::NameTables& names);

}  // namespace heronvane
