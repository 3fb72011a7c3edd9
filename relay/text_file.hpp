// Reads whole text files.
#pragma once

#include <string>

namespace heronvane {

// Returns the content of the file at `path`. Throws std::system_error with the errno of the failed system
// call; the text begins with `content`, which says what the file holds, and names the path.
std::string read_text_file(const std::string& path, const std::string& content);

}  // namespace heronvane
