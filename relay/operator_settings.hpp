// Settings that belong to the operator of an installation, not to the platform: the TOML file that --settings
// or HERONVANE_SETTINGS names. deploy/heronvane.toml lists them all.
#pragma once

#include <string>

#include "clock.hpp"
#include "copies/settings.hpp"
#include "store/store.hpp"

namespace heronvane {

// The defaults are those of a relay without a settings file. Durations are in microseconds.
struct OperatorSettings {
  // The durable store: [store].
  struct Store {
    store::Durability durability = store::Durability::process;
    bool keep_health = true;  // health, slow start, backoff and send rates of endpoints outlast a restart
    bool keep_waits = false;  // so do waits by Retry-After; the platform's protocol lets a restart end them
    Microseconds remember_window = 10'000'000;  // ids of completed requests, past their deadlines
  };
  // The admin socket: [admin].
  struct Admin {
    bool socket = false;  // FOLDER/admin.sock is served
    bool drain = false;   // a drain may be asked for, and ends the process
  };
  // The relay: [relay].
  struct Relay {
    bool wake = false;          // polls the endpoint list after a suspend; true where a file does not say
    bool early_rounds = false;  // decides before the settings' tick is over; true where a file does not say
    Microseconds start_timeout = 60'000'000;  // a start that waits for longer ends with status 1
  };

  Store store;
  Admin admin;
  Relay relay;
  copies::Settings copies;  // replication: [copies]
};

// Reads the text of the settings file `file`. Throws an exception whose text names the file, the line and the
// key that is malformed or unknown.
OperatorSettings read_operator_settings(const std::string& text, const std::string& file);

// Reads a file. Returns the defaults where `file` is empty. Throws as above, and std::system_error where the
// file can't be read.
OperatorSettings load_operator_settings(const std::string& file);

}  // namespace heronvane
