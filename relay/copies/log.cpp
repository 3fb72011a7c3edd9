#include "log.hpp"

namespace heronvane::copies {

namespace {

void print_list(std::ostream& out, const std::vector<Member>& members) {
  out << "{";
  for (const auto& m : members) out << m << " ";
  out << "}";
}
void print_list(std::ostream& out, const std::vector<Entry>& entries) {
  for (const auto& e : entries) out << " " << e.epoch << "=" << e.bytes;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Member& m) { return out << m.name << "." << m.incarnation; }
std::ostream& operator<<(std::ostream& out, const Epoch& e) { return out << e.number << "/" << e.claimant; }
std::ostream& operator<<(std::ostream& out, const Config& c) {
  out << "config " << c.version.epoch << "." << c.version.number << " ";
  print_list(out, c.replicas);
  if (!c.next.empty()) out << " to ", print_list(out, c.next);
  return out;
}

std::ostream& operator<<(std::ostream& out, const ProtocolMessage& message) {
  struct Printer {
    std::ostream& out;
    void operator()(const protocol::Append& x) const {
      out << "append " << x.epoch << " after " << x.after << " of " << x.after_epoch << " " << x.config;
      print_list(out, x.entries);
    }
    void operator()(const protocol::Appended& x) const {
      out << "appended " << x.epoch << " to " << x.last << " config " << x.config.epoch << "."
          << x.config.number;
    }
    void operator()(const protocol::Behind& x) const {
      out << "behind " << x.epoch << " at " << x.last << " of " << x.last_epoch;
    }
    void operator()(const protocol::Snapshot& x) const {
      out << "snapshot " << x.epoch << " to " << x.last << " of " << x.last_epoch << " " << x.config;
    }
    void operator()(const protocol::Refused& x) const { out << "refused for " << x.promised; }
    void operator()(const protocol::Claim& x) const { out << "claim " << x.epoch; }
    void operator()(const protocol::Promised& x) const {
      out << "promised " << x.epoch << " last " << x.last << " of " << x.last_epoch << " " << x.config;
      if (x.moved) out << " moved into " << x.moved->into << " under " << x.moved->epoch;
    }
    void operator()(const protocol::Read& x) const { out << "read " << x.epoch; }
    void operator()(const protocol::State& x) const {
      out << "state " << x.epoch << " to " << x.last << " of " << x.last_epoch;
    }
    void operator()(const protocol::Move& x) const { out << "move " << x.epoch << " into " << x.into; }
    void operator()(const protocol::Accepted& x) const { out << "accepted " << x.epoch; }
  };
  std::visit(Printer{out}, message);
  return out;
}

}  // namespace heronvane::copies
