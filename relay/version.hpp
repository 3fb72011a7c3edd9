#pragma once

namespace heronvane {

constexpr const char* kVersion = HERONVANE_VERSION;

}  // namespace heronvane
