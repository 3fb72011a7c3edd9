// Answers the operator's requests from the admin socket.
#include "admin_port.hpp"

#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "frontends/admin_server.hpp"

namespace heronvane {
namespace {

AdminAnswer storage_error(const std::string& reason) {
  return admin_error(507, "storage", "the change can't be stored now" + (reason.empty() ? "" : ": " + reason),
                     "nothing was changed; try again");
}

// Answers one admin request; has an overload for each kind.
class RequestHandler {
 public:
  RequestHandler(const AdminContext& relay, const AdminServer::Reply& reply) : relay_(relay), reply_(reply) {}

  void operator()(const AdminAnswer& rejection) const { reply_(rejection); }
  void operator()(const admin::GetStatus& /*request*/) const {
    reply_({200, status_json(relay_.status.status())});
  }

  void operator()(const admin::GetMessage& request) const {
    const auto id = relay_.requests.find(request.id);
    const Held* const held = id ? relay_.store.find(*id) : nullptr;
    if (held != nullptr) return reply_({200, message_json(*id, *held, relay_.config.names.zones)});
    if (relay_.store.remembers(request.id) || relay_.requests.recently_completed(request.id))
      return reply_({200, completed_json(request.id)});
    reply_(admin_error(404, "unknown", "no message with this id is held or remembered",
                       "another relay may hold it, or it was completed too long ago"));
  }

  void operator()(const admin::Drain& request) const {
    if (!relay_.config.own.admin.drain) {
      return reply_(admin_error(403, "off", "drains are turned off on this relay",
                                "set drain = true under [admin] in its settings and restart the relay"));
    }
    change_drain({request.fence, request.fence}, [&store = relay_.store, &requests = relay_.requests] {
      const std::size_t held = store.held().size() + requests.queued();
      return R"({"draining":true,"held":)" + std::to_string(held) + "}";
    });
  }

  void operator()(const admin::Undrain& request) const {
    change_drain({request.fence, std::nullopt}, [] { return std::string(R"({"draining":false})"); });
  }

  void operator()(const admin::RaiseFence& request) const {
    change_drain({request.fence, relay_.drain.drain_fence()},
                 [fence = request.fence] { return R"({"fence":)" + std::to_string(fence) + "}"; });
  }

  void operator()(const admin::TakeOver& request) const {
    if (!relay_.config.own.copies.on) {
      return reply_(admin_error(409, "off", "this relay keeps no copies of others' logs",
                                "[copies] in its settings; docs/operate/copies.md"));
    }
    const std::string refusal = relay_.copies.ready()
                                    ? relay_.copies.take_over(request.name)
                                    : "this relay has not confirmed yet that its log is its own";
    if (!refusal.empty())
      return reply_(admin_error(409, "refused", refusal, "see \"copies\" in the status of the other relays"));
    reply_({200, "{\"taking_over\":true}"});
  }

 private:
  // Changes the drain state and answers the request once the change is durable, with the JSON that `text`
  // returns then.
  void change_drain(const DrainState& to, std::function<std::string()> text) const {
    const Fence highest = relay_.drain.highest_fence();
    if (to.fence < highest) return reply_(admin_fenced(to.fence, highest));
    relay_.drain.change(to, [&store = relay_.store, reply = reply_, text = std::move(text)](bool durable) {
      reply(durable ? AdminAnswer{200, text()} : storage_error(store.unavailable_reason()));
    });
  }

  const AdminContext& relay_;
  const AdminServer::Reply& reply_;
};

}  // namespace

std::unique_ptr<Frontend> open_admin_frontend(boost::asio::io_context& io, const Config& config,
                                              AdminContextSource context) {
  if (!config.own.admin.socket) return std::make_unique<NullAdminFrontend>();
  return std::make_unique<AdminServer>(
      io, config.state_folder + "/admin.sock",
      [context = std::move(context)](const AdminRequest& request, const AdminServer::Reply& reply) {
        const AdminContext relay = context();
        std::visit(RequestHandler(relay, reply), request);
      });
}

}  // namespace heronvane
