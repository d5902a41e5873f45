#pragma once

namespace mangohall {

// Stops the Thrift library from writing plain text to standard error. Callers count the failures that the library would
// print.
void silenceThriftOutput();

} // namespace mangohall
