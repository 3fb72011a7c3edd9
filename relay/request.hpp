// What a client's request says and whether it can be used. Beast has parsed it; no input or output here.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "core/message.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "settings.hpp"

namespace heronvane {

using Request = boost::beast::http::request<boost::beast::http::string_body>;

// The message that a request hands in, with its body moved into it, without a deadline: that is `left` from
// now. Else the status that turns it down and why.
struct Handed {
  Message message;
  Microseconds left = 0;
  unsigned refused = 0;
  const char* why = "";
};
Handed read_message(Request& request, const heronvane::dispatch::Settings& settings,
                    const heronvane::dispatch::adapter::NameTables& names);

}  // namespace heronvane
