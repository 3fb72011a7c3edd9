// The partner list's file, watched: each change of it is read, and told where it is a good list.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "catalog.hpp"

namespace heronvane::fleet {

class PartnerFile {
 public:
  // Takes a good list; false where it can't now: it is told again at the next look.
  using Found = std::function<bool(std::vector<Endpoint>)>;
  using Log = std::function<void(const std::string&)>;

  // Watches the file's folder, so that a file moved into its place is seen, and looks at the file itself each
  // `look`, for folders whose changes are not told. The first look comes with the next turn of the loop. One
  // that can't be read, or holds no good list, tells nothing: what was told before stays.
  PartnerFile(boost::asio::io_context& io, std::string path, Found found, Log log,
              std::chrono::milliseconds look = std::chrono::seconds(2));
  ~PartnerFile();
  PartnerFile(const PartnerFile&) = delete;
  PartnerFile& operator=(const PartnerFile&) = delete;

  // Why the file as it is now is not what was told; "" where it is.
  const std::string& trouble() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::fleet
