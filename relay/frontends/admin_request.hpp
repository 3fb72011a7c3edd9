// What a request to the admin socket asks for, and the form of its answers (docs/design/fleet.md). No input
// or output here.
#pragma once

#include <string>
#include <variant>

#include "core/drain.hpp"

namespace heronvane {

namespace admin {
struct GetStatus {};
struct GetMessage {
  std::string id;  // the client's
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
  std::string name;  // of the relay whose log it is
};
}  // namespace admin

struct AdminAnswer {
  unsigned status = 200;
  std::string body;  // JSON
};

// What is asked, or the answer where that makes no sense.
using AdminRequest = std::variant<admin::GetStatus, admin::GetMessage, admin::Drain, admin::Undrain,
                                  admin::RaiseFence, admin::TakeOver, AdminAnswer>;
AdminRequest read_admin_request(const std::string& method, const std::string& target,
                                const std::string& body);

// {"error":{"code":..,"message":..,"hint":..}}
AdminAnswer admin_error(unsigned status, const std::string& code, const std::string& message,
                        const std::string& hint);
// Under a lower fence than the highest seen.
AdminAnswer admin_fenced(Fence asked, Fence highest);

}  // namespace heronvane
