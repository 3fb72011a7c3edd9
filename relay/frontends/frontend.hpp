// A way into the relay besides the clients' one.
#pragma once

namespace heronvane {

class Frontend {
 public:
  virtual ~Frontend() = default;
  // Listens from its making on; begins to answer now, once what it asks stands.
  virtual void start() = 0;
  // Whether a request is being read or answered.
  virtual bool busy() const = 0;
};

}  // namespace heronvane
