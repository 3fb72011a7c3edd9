// Settings that the operator of an installation makes, not the platform, in the TOML file that --settings or
// HERONVANE_SETTINGS names. deploy/heronvane.toml lists them all.
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
    bool keep_health = true;  // store health, slow start, backoff and send rates of endpoints over restarts
    bool keep_waits = false;  // the same for Retry-After waits; the platform lets a restart end them
    Microseconds remember_window = 10'000'000;  // for ids of completed requests, from their deadlines on
  };
  // The admin socket: [admin].
  struct Admin {
    bool socket = false;  // serve STATE_FOLDER/admin.sock
    bool drain = false;   // allow drains, which end the process
  };
  // The relay: [relay].
  struct Relay {
    bool wake = false;  // poll the endpoint list after a suspend; true if a settings file leaves it out
    bool early_rounds = false;  // decide before the tick is over; true if a settings file leaves it out
    Microseconds start_timeout = 60'000'000;  // a start that waits longer ends with status 1
  };

  Store store;
  Admin admin;
  Relay relay;
  copies::Settings copies;  // replication: [copies]
};

// Parses `text`, the content of the settings file `file`. Throws an exception whose text names the file, the
// line and the malformed or unknown key.
OperatorSettings read_operator_settings(const std::string& text, const std::string& file);

// Reads the settings file at the path `file`; returns the defaults if the path is empty. Throws as above, and
// std::system_error if the file can't be read.
OperatorSettings load_operator_settings(const std::string& file);

}  // namespace heronvane
