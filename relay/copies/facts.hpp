// Keys of what a relay's own store keeps of its copies.
#pragma once

#include <string>

namespace heronvane::copies {

inline const std::string kKeyPrefix = "copies.";        // all of them begin so
inline const std::string kMemberKey = "copies.member";  // the incarnation of this disk
inline const std::string kLogKey = "copies.log";        // the number of the log that this relay writes
inline const std::string kConfigKey = "copies.config";  // who holds it
inline const std::string kEndKey = "copies.at";         // where it ends: position, and its entry's epoch
inline const std::string kEpochKey = "copies.epoch";    // the highest number of an epoch that was used
inline const std::string kImportKeyPrefix =
    "copies.import.";  // of another log, whose take-over is not decided

}  // namespace heronvane::copies
