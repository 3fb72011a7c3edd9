#include "traffic.hpp"

#include <boost/asio/post.hpp>
#include <chrono>
#include <future>

namespace heronvane::rig {

using standins::Habits;

namespace {

constexpr const char* kUnsafe = "pay-and-order";
constexpr standins::Microseconds kSafeDeadline = 1'500'000, kUnsafeDeadline = 2'500'000;  // deadlines, us

Habits habits_with(const std::function<void(Habits&)>& change) {
  Habits h;
  change(h);
  return h;
}

}  // namespace

Traffic::Traffic(Ledger& ledger, std::uint64_t seed, const std::string& unused_address)
    : ledger_(ledger), seed_(seed), work_(boost::asio::make_work_guard(io_)) {
  add("big", 1, Habits());
  add("big", 1, habits_with([](Habits& h) { h.median = 40'000, h.spread = 0.8; }));
  add("small", 2, habits_with([](Habits& h) { h.limit_per_s = 15; }));
  add("small", 3, habits_with([](Habits& h) { h.silent = {3'000'000, 1'700'000}; }));
  add("small", 3, habits_with([](Habits& h) { h.silent = {2'000'000, 900'000}; }));
  add("small", 4, habits_with([](Habits& h) { h.reset_share = 0.1; }));
  add("small", 5, habits_with([](Habits& h) { h.error_share = 0.06, h.median = 150'000; }));
  partners_.push_back({"small", 5, unused_address});
  add("big", 6, habits_with([](Habits& h) { h.wait = {3'000'000, 600'000}, h.reset_share = 0.03; }));
  add("small", 7, habits_with([](Habits& h) { h.median = 900'000, h.spread = 0.6; }));
  thread_ = std::thread([this] { io_.run(); });
}

Traffic::~Traffic() {
  on_loop([this] {
    clients_.reset();
    endpoints_.clear();
  });
  work_.reset();
  io_.stop();
  thread_.join();
}

template <class Function>
void Traffic::on_loop(Function function) {
  std::promise<void> done;
  boost::asio::post(io_, [&] {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

void Traffic::add(const std::string& type, std::int64_t group, const Habits& habits) {
  standins::EndpointOptions o;
  o.name = "s-" + std::to_string(partners_.size() + 1);
  o.habits = habits;
  o.seed = seed_ * 100 + partners_.size();
  o.arrived = [this](const std::string& id, bool refused) { ledger_.call_arrived(id, refused); };
  o.answered = [this](const std::string& id) { ledger_.call_answered(id); };
  endpoints_.emplace_back(io_, std::move(o));
  partners_.push_back({type, group, endpoints_.back().address()});
}

std::string Traffic::partners() const {
  std::string text = "{\"endpoints\":[";
  for (std::size_t i = 0; i < partners_.size(); i++)
    text += std::string(i > 0 ? ",\n" : "\n") + R"({"name":"s-)" + std::to_string(i + 1) +
            R"(","address":")" + partners_[i].address + R"(","type":")" + partners_[i].type +
            R"(","group":)" + std::to_string(partners_[i].group) + "}";
  return text + "\n]}\n";
}

void Traffic::start_clients(std::vector<standins::ClientsOptions::Relay> relays, double per_s) {
  standins::ClientsOptions o;
  relays_ = relays.size();
  o.relays = std::move(relays);
  o.plan.per_s = per_s;
  o.plan.classes = {{"load-status", 0.6, kSafeDeadline}, {kUnsafe, 0.4, kUnsafeDeadline}};
  o.plan.tenants = {"north", "south", "west"};
  o.plan.destinations = {{1, 8}, {2, 2}, {3, 4}, {4, 3}, {5, 3}, {6, 3}, {7, 3}};
  o.seed = seed_;
  o.on_try = [this](const standins::Message& m) {
    ledger_.sent(m.id, m.message_class == kUnsafe, now_ms() + m.deadline / 1'000);
  };
  o.on_try_result = [this](const standins::Message& m, std::size_t relay, standins::TryResult heard) {
    ledger_.client_heard(m.id, relay, heard);
  };
  on_loop([&] {
    clients_ = std::make_unique<standins::Clients>(io_, std::move(o));
    clients_->start();
  });
}

void Traffic::stop_clients() {
  on_loop([this] { clients_->stop(); });
  std::uint64_t pending = 1;
  while (pending > 0) {
    on_loop([&] { pending = clients_->counts().out; });
    if (pending > 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

std::vector<std::uint64_t> Traffic::taken() {
  std::vector<std::uint64_t> all;
  on_loop([&] {
    for (std::size_t i = 0; i < relays_; i++) all.push_back(clients_->relay(i).taken);
  });
  return all;
}

}  // namespace heronvane::rig
