// Chooses the binding to the decision module that the include path offers. Each defines class Binding.
#pragma once

#if __has_include("heronvane/dispatch/dispatcher.hpp")
#include "binding_heronvane.hpp"
#elif __has_include("cedarplank/dispatcher.hpp")
#include "binding_cedarplank.hpp"
#else
#error "no decision module on the include path"
#endif
