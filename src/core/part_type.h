#pragma once

#include <cstddef>

namespace mangohall {

// The index of a part of a node's state, from 0. Part 0 is the directory part.
using PartIndex = std::size_t;

} // namespace mangohall
