// What the admin socket asks of the relay.
#include <dirent.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>
#include <iterator>

#include "fronts/admin.hpp"
#include "relay.hpp"
#include "version.hpp"

namespace heronvane {
namespace {

constexpr std::size_t kMostTargets = 1000;  // past these, only those of which something is known

std::uint64_t memory_kb() {
  std::ifstream in("/proc/self/statm");
  std::uint64_t size = 0, pages = 0;
  in >> size >> pages;
  return pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) / 1024;
}

std::uint64_t open_descriptors() {
  // Newer systems tell their number as the folder's size.
  struct stat info {};
  if (::stat("/proc/self/fd", &info) == 0 && info.st_size > 0)
    return static_cast<std::uint64_t>(info.st_size);
  DIR* const all = ::opendir("/proc/self/fd");
  if (all == nullptr) return 0;
  std::uint64_t n = 0;
  while (const dirent* one = ::readdir(all)) n += one->d_name[0] != '.';
  ::closedir(all);
  return n - 1;  // the one that looks
}

AdminAnswer not_kept(const std::string& trouble) {
  return admin_error(507, "storage", "can't be kept now" + (trouble.empty() ? "" : ": " + trouble),
                     "nothing was changed; ask again");
}

}  // namespace

std::unique_ptr<Front> Relay::open_admin() {
  if (!config_.own.admin.socket) return nullptr;
  struct Answering {
    Relay& relay;
    const Admin::Reply& reply;
    void operator()(const AdminAnswer& turned_down) const { reply(turned_down); }
    void operator()(const admin::GetStatus&) const { reply({200, status_json(relay.status())}); }
    void operator()(const admin::GetMessage& m) const {
      const auto id = relay.requests_.find(m.id);
      const Held* const held = id ? relay.store_.find(*id) : nullptr;
      if (held != nullptr) return reply({200, message_json(*id, *held, relay.config_.names.zones)});
      if (relay.is_known(m.id)) return reply({200, over_json(m.id)});
      reply(admin_error(404, "unknown", "no message of that id is held or remembered",
                        "it may be another relay's, or over for long"));
    }
    void operator()(const admin::Drain& d) const {
      if (!relay.config_.own.admin.drain)
        return reply(admin_error(403, "off", "this relay takes no drains",
                                 "set drain = true under [admin] in its settings and start it anew"));
      change(d.fence, d.fence, [this_relay = &relay] {
        const std::size_t held = this_relay->store_.held().size() + this_relay->requests_.queued();
        return "{\"draining\":true,\"held\":" + std::to_string(held) + "}";
      });
    }
    void operator()(const admin::Undrain& u) const {
      change(u.fence, std::nullopt, [] { return std::string("{\"draining\":false}"); });
    }
    void operator()(const admin::RaiseFence& f) const {
      change(f.fence, relay.drain_.drain_fence(),
             [fence = f.fence] { return "{\"fence\":" + std::to_string(fence) + "}"; });
    }
    void operator()(const admin::TakeOver& t) const {
      if (!relay.copies_)
        return reply(admin_error(409, "off", "this relay keeps no copies of others' logs",
                                 "[copies] in its settings; docs/operate/copies.md"));
      const std::string why_not =
          relay.copies_->ready() ? relay.copies_->take_over(t.name) : "its own log is not known to stand yet";
      if (!why_not.empty())
        return reply(admin_error(409, "refused", why_not, "look at \"copies\" in the status of the others"));
      reply({200, "{\"taking_over\":true}"});
    }
    void change(Fence fence, std::optional<Fence> drain, std::function<std::string()> text) const {
      const Fence highest = relay.drain_.highest_fence();
      if (fence < highest) return reply(admin_fenced(fence, highest));
      relay.drain_.change({fence, drain}, [r = &relay, told = reply, text = std::move(text)](bool kept) {
        told(kept ? AdminAnswer{200, text()} : not_kept(r->store_.trouble()));
      });
    }
  };
  return std::make_unique<Admin>(io_, config_.state_folder + "/admin.sock",
                                 [this](const AdminRequest& asked, const Admin::Reply& reply) {
                                   std::visit(Answering{*this, reply}, asked);
                                 });
}

Status Relay::status() const {
  Status s;
  s.start_waited = start_.waited, s.start_waited_for = start_.waited_for;
  s.name = config_.name, s.run = start_.run, s.version = kVersion, s.trouble = store_.trouble();
  s.pid = ::getpid(), s.generation = generation_;
  s.started = started_, s.uptime = steady_now() - started_steady_;
  s.ready = ready(), s.draining = drain_.draining();
  s.stopping = lifecycle_.phase() != Lifecycle::Phase::running;
  s.fence = drain_.highest_fence();
  s.held = store_.held().size(), s.given_up = s.held - store_.open();
  s.counts = gauge_.counts(store_.clock().now());
  s.calls = executor_.calls_out(), s.slots = static_cast<std::size_t>(config_.settings.max_concurrent_calls);
  s.clients = intake_->clients();
  std::vector<heronvane::dispatch::LearnedState> known;
  cycle_.dispatcher().endpoint_states(steady_now(), kMostTargets, known);
  for (auto& k : known) {
    const auto* const told = endpoints_.directory().find(k.endpoint);
    s.targets.push_back({std::move(k), told == nullptr ? heronvane::dispatch::Listing::gone : told->listing});
  }
  s.store_bytes = store_.bytes(), s.store_limit = store_.limit(), s.segments = store_.segments().size();
  s.memory_kb = memory_kb(), s.descriptors = open_descriptors();
  if (copies_) s.copies = copies_->status_json();
  s.list_told = endpoints_.list_received(), s.list_index = platform_.index(),
  s.endpoints = endpoints_.directory().size();
  return s;
}

}  // namespace heronvane
