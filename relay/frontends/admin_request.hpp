// Parses requests to the admin socket and formats its answers (docs/design/fleet.md). Performs no I/O.
#pragma once

#include <string>
#include <variant>

#include "core/drain.hpp"

namespace heronvane {

namespace admin {
struct GetStatus {};
struct GetMessage {
  std::string id;  // as the client gave it
};
struct Drain {
  Fence fence = 0;
};
struct Undrain {
  Fence fence = 0;
};
struct RaiseFence {
  Fence fence = 0;
};
struct TakeOver {
  std::string name;  // of the relay whose log is taken over
};
}  // namespace admin

struct AdminAnswer {
  unsigned status = 200;
  std::string body;  // JSON
};

// The request, or the error answer to an invalid one.
using AdminRequest = std::variant<admin::GetStatus, admin::GetMessage, admin::Drain, admin::Undrain,
                                  admin::RaiseFence, admin::TakeOver, AdminAnswer>;
AdminRequest read_admin_request(const std::string& method, const std::string& target,
                                const std::string& body);

// {"error":{"code":..,"message":..,"hint":..}}
AdminAnswer admin_error(unsigned status, const std::string& code, const std::string& message,
                        const std::string& hint);
// The answer to a request whose fence is lower than the highest one seen.
AdminAnswer admin_fenced(Fence fence, Fence highest);

}  // namespace heronvane
