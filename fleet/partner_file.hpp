// Watches the file of the partner list: reads it on each change and passes on each valid list.
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
  // Receives each valid list. Returns false if it can't be used now; it is then passed again at the next
  // poll.
  using OnList = std::function<bool(std::vector<Endpoint>)>;
  using Log = std::function<void(const std::string&)>;

  // Watches the file's folder by inotify, so that a file renamed into place is seen, and polls the file every
  // `poll_interval`, for file systems without inotify events. The first poll runs in the next turn of the
  // event loop. A file that can't be read, or holds no valid list, is not passed on: the previous list stays.
  PartnerFile(boost::asio::io_context& io, std::string path, OnList on_list, Log log,
              std::chrono::milliseconds poll_interval = std::chrono::seconds(2));
  ~PartnerFile();
  PartnerFile(const PartnerFile&) = delete;
  PartnerFile& operator=(const PartnerFile&) = delete;

  // Why the current content of the file was not passed on; "" if it was.
  const std::string& error() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::fleet
