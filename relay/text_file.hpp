// Reads whole text files.
#pragma once

#include <string>

namespace heronvane {

// The bytes of the file at `path`. Throws std::system_error with the errno of the system call that failed;
// its text begins with `content`, what the file is to hold, and names the path.
std::string read_text_file(const std::string& path, const std::string& content);

}  // namespace heronvane
