// Settings that belong to the operator of an installation, not to the platform: the TOML file that
// --settings or HERONVANE_SETTINGS names (deploy/heronvane.toml lists them all). Without one all stands as
// given here.
#pragma once

#include <string>

#include "clock.hpp"
#include "copies/settings.hpp"
#include "store/store.hpp"

namespace heronvane {

struct OperatorSettings {
  struct Store {
    store::Durability durability = store::Durability::process;
    bool keep_health = true;                    // what was learned of endpoints: out, returning, their limits
    bool keep_waits = false;                    // waits that endpoints told; PROTOCOL lets a restart end them
    Microseconds remember_window = 10'000'000;  // ids of messages that are over, past their deadlines
  } store;
  struct Admin {
    bool socket = false;  // FOLDER/admin.sock
    bool drain = false;   // drains may be asked for, and end the process
  } admin;
  struct Relay {
    // True where a file is read that does not say:
    bool wake = false;          // look at the list anew after a stop
    bool early_rounds = false;  // what can be sent need not wait for the settings' tick
    Microseconds start_timeout =
        60'000'000;  // a start that waits for what passes ends with status 1 after this
  } relay;
  copies::Settings copies;
};

// Throws std::runtime_error naming `file`, the line and the key that can't be read, or is none.
OperatorSettings read_operator_settings(const std::string& text, const std::string& file);

// The file; the defaults where `file` is empty.
OperatorSettings load_operator_settings(const std::string& file);

}  // namespace heronvane
