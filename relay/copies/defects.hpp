// Defects that the checker of tests/copies must find. In all other programs they are nothing.
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
