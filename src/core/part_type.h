#pragma once

#include <cstddef>

namespace mangohall {

// Which part of a node's state an event is for. Parts are numbered from 0; part 0 is the node's directory.
using PartIndex = std::size_t;

} // namespace mangohall
