// Injected defects that the checker in tests/copies must find. Compiled out of all other programs.
#pragma once

#ifdef HERONVANE_COPIES_DEFECTS
#include <string_view>
namespace heronvane::copies {
extern std::string_view injected_defect;
}
#define HERONVANE_COPIES_DEFECT(name) (::heronvane::copies::injected_defect == (name))
#else
#define HERONVANE_COPIES_DEFECT(name) false
#endif
