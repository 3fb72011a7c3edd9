#include "status_reporter.hpp"

#include <dirent.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>
#include <utility>
#include <vector>

#include "fail_points.hpp"
#include "version.hpp"

namespace heronvane {
namespace {

constexpr std::size_t kMaxEndpoints = 1000;  // beyond that many, only those with learned state are reported

const char* text_of(RejectReason reason) {
  switch (reason) {
    case RejectReason::draining:
      return "draining";
    case RejectReason::too_few_copies:
      return "too few copies";
    case RejectReason::no_destination_list:
      return "no endpoint list received yet";
    case RejectReason::in_flight_limit:
      return "limit of messages in flight reached";
    case RejectReason::store_not_writable:
      return "the folder can't be written";
    case RejectReason::no_capacity:
      return "no capacity in the state folder or in memory";
    case RejectReason::decided_reject:
      return "rejected by the decision module";
    case RejectReason::decided_fail:
      return "failed by the decision module";
    case RejectReason::commit_failed:
      return "the record could not be written in time";
  }
  return "";
}

std::uint64_t memory_kb() {
  std::ifstream in("/proc/self/statm");
  std::uint64_t size = 0;
  std::uint64_t pages = 0;
  in >> size >> pages;
  return pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) / 1024;
}

std::uint64_t open_descriptors() {
  // Newer kernels report the number of descriptors as the directory's size.
  struct stat info {};
  if (::stat("/proc/self/fd", &info) == 0 && info.st_size > 0)
    return static_cast<std::uint64_t>(info.st_size);
  DIR* const all = ::opendir("/proc/self/fd");
  if (all == nullptr) return 0;
  std::uint64_t count = 0;
  // NOLINTNEXTLINE(concurrency-mt-unsafe): the directory stream is local to this call
  while (const dirent* one = ::readdir(all)) count += one->d_name[0] != '.';
  ::closedir(all);
  return count - 1;  // without the descriptor of the directory stream itself
}

}  // namespace

StatusReporter::StatusReporter(boost::asio::io_context& io, const Config& config, StartInfo start,
                               Sources sources)
    : config_(config),
      start_(std::move(start)),
      sources_(std::move(sources)),
      rejections_(io, "messages refused"),
      generation_(config.generation) {}

void StatusReporter::request_added(MessageId id, const std::string& message_class, Microseconds since) {
  if (config_.own.admin.socket) in_flight_.add(id, message_class, since);
}

void StatusReporter::rejected(RejectReason reason) { rejections_.add(text_of(reason)); }

bool StatusReporter::ready() const {
  if (HERONVANE_DEFECT("never-ready-again") && HERONVANE_SECOND_LIFE()) return false;
  return sources_.lifecycle.rules().reports_ready && !sources_.drain.draining() &&
         sources_.committer.is_writable() && sources_.copies.ready() &&
         !sources_.copies.is_under_replicated() && sources_.committer.store().unavailable_reason().empty() &&
         sources_.endpoints.directory().any_active();
}

Status StatusReporter::status() const {
  const store::Store& store = sources_.committer.store();
  Status s;
  s.start_waited = start_.waited;
  s.start_waited_for = start_.waited_for;
  s.name = config_.name;
  s.run = start_.run;
  s.version = kVersion;
  s.unavailable_reason = store.unavailable_reason();
  s.pid = ::getpid();
  s.generation = generation_;
  s.started = start_.started;
  s.uptime = steady_now() - start_.started_steady;
  s.ready = ready();
  s.draining = sources_.drain.draining();
  s.stopping = sources_.lifecycle.phase() != Lifecycle::Phase::running;
  s.fence = sources_.drain.highest_fence();
  s.held = store.held().size();
  s.given_up = s.held - store.open();
  s.counts = in_flight_.counts(store.clock().now());
  s.copies = sources_.copies.status_json();
  add_endpoints(s);
  add_resources(s);
  return s;
}

void StatusReporter::add_endpoints(Status& status) const {
  const Directory& directory = sources_.endpoints.directory();
  std::vector<heronvane::dispatch::LearnedState> known;
  sources_.cycle.dispatcher().endpoint_states(steady_now(), kMaxEndpoints, known);
  for (auto& state : known) {
    const auto* const listed = directory.find(state.endpoint);
    const auto listing = listed == nullptr ? heronvane::dispatch::Listing::gone : listed->listing;
    status.targets.push_back({std::move(state), listing});
  }
  status.list_received = sources_.endpoints.list_received();
  status.list_index = sources_.platform.index();
  status.endpoints = directory.size();
}

void StatusReporter::add_resources(Status& status) const {
  const store::Store& store = sources_.committer.store();
  status.calls = sources_.executor.calls_in_flight();
  status.slots = static_cast<std::size_t>(config_.settings.max_concurrent_calls);
  status.clients = sources_.client_connections();
  status.store_bytes = store.bytes();
  status.store_limit = store.limit();
  status.segments = store.segments().size();
  status.memory_kb = memory_kb();
  status.descriptors = open_descriptors();
}

}  // namespace heronvane
