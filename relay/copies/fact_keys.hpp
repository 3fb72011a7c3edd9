// Keys under which a relay's own store keeps the state of its log replication.
#pragma once

#include <string>

namespace heronvane::copies {

inline const std::string kKeyPrefix = "copies.";        // common prefix
inline const std::string kMemberKey = "copies.member";  // incarnation of this disk
inline const std::string kLogKey = "copies.log";        // incarnation of the log that this relay leads
inline const std::string kConfigKey = "copies.config";  // its replicas
inline const std::string kEndKey = "copies.at";         // position of its last entry, and that entry's epoch
inline const std::string kEpochKey = "copies.epoch";    // highest epoch number used so far
inline const std::string kImportKeyPrefix = "copies.import.";  // another log whose takeover is undecided

}  // namespace heronvane::copies
