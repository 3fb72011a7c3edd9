// A server of the relay other than the one for clients, such as the admin socket.
#pragma once

namespace heronvane {

class Frontend {
 public:
  virtual ~Frontend() = default;
  // Starts to accept. It listens from construction on, but what its requests need may not exist yet.
  virtual void start() = 0;
  // Whether a request is being read or answered.
  virtual bool busy() const = 0;
};

}  // namespace heronvane
