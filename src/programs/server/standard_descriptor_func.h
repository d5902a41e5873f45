// Keeps files and sockets of a program apart from its standard streams.
#pragma once

namespace mangohall {

// Opens the null device in place of each standard stream that is closed. Otherwise the next file or socket would get
// its number, and what is written to the stream would be sent there. Must be called before the program opens anything.
void reserveStandardDescriptors();

} // namespace mangohall
