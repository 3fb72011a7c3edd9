// A way into the relay besides the clients' one.
#pragma once

namespace heronvane {

class Front {
 public:
  virtual ~Front() = default;
  // Whether a request is being read or answered.
  virtual bool busy() const = 0;
};

}  // namespace heronvane
