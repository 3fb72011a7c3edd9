#include "startup/start_error.hpp"

#include <boost/system/system_error.hpp>
#include <cerrno>
#include <new>

#include "store/disk.hpp"

namespace heronvane::startup {

std::string_view name_of(Step step) {
  switch (step) {
    case Step::configuration:
      return "configuration";
    case Step::state_folder:
      return "folder";
    case Step::listener:
      return "listener";
    case Step::recovery:
      return "recovery";
    case Step::loop:
      return "loop";
  }
  return "";
}

namespace {

// Classifies a value of errno.
Persistence persistence_of_errno(int number) {
  switch (number) {
    // No permission.
    case EACCES:
    case EPERM:
    case EROFS:
    // The path or address does not exist, or is of another type.
    case ENOENT:
    case ENOTDIR:
    case EISDIR:
    case ELOOP:
    case ENAMETOOLONG:
    case ENOTSOCK:
    case ENXIO:
    case ENODEV:
    // Not supported by this system.
    case EINVAL:
    case EAFNOSUPPORT:
    case EPROTONOSUPPORT:
    case EPROTOTYPE:
    case ESOCKTNOSUPPORT:
    case EOPNOTSUPP:
    case ENOSYS:
    // A bug of the program.
    case EBADF:
    case EFAULT:
      return Persistence::permanent;
    default:
      return Persistence::transient;
  }
}

}  // namespace

Persistence persistence_of(const std::error_code& error) {
  const auto& category = error.category();
  const bool is_errno = category == std::generic_category() || category == std::system_category();
  return is_errno ? persistence_of_errno(error.value()) : Persistence::permanent;
}

// Does not convert to std::error_code: Boost 1.74 converts its system category into one that compares unequal
// to those of the standard library.
Persistence persistence_of(const boost::system::error_code& error) {
  const auto& category = error.category();
  const bool is_errno =
      category == boost::system::generic_category() || category == boost::system::system_category();
  return is_errno ? persistence_of_errno(error.value()) : Persistence::permanent;
}

StartError to_start_error(const std::exception& error, Step step) {
  if (const auto* const known = dynamic_cast<const StartError*>(&error)) return *known;
  if (dynamic_cast<const store::FolderInUse*>(&error) != nullptr)
    return {Step::state_folder, Persistence::transient, error.what()};
  if (const auto* const system = dynamic_cast<const std::system_error*>(&error))
    return {step, persistence_of(system->code()), error.what()};
  if (const auto* const system = dynamic_cast<const boost::system::system_error*>(&error))
    return {step, persistence_of(system->code()), error.what()};
  if (dynamic_cast<const std::bad_alloc*>(&error) != nullptr)
    return {step, Persistence::transient, "out of memory"};
  return {step, Persistence::permanent, error.what()};
}

}  // namespace heronvane::startup
