// The random generator of steps.
#pragma once

#include "fuzz/step_type.h"
#include "rapidcheck.h"

namespace mangohall {

// Generates single steps, each kind with its own frequency.
rc::Gen<Step> genStep();

} // namespace mangohall
