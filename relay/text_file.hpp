// Whole text files, with the error of the system call that failed.
#pragma once

#include <string>

namespace heronvane {

// The bytes of the file at `path`. Throws std::system_error, whose text begins with `what` and names the
// path, where it can't be opened or read.
std::string read_text_file(const std::string& path, const std::string& what);

}  // namespace heronvane
