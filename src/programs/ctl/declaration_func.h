// Parses declarations and reads them from files.
#pragma once

#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "programs/ctl/declaration_type.h"

namespace mangohall {

// Parses a JSON text: an object {"kind", "name", "spec"} or an array of them. Error messages begin with the file and,
// in an array, the index of the declaration.
absl::StatusOr<std::vector<Declaration>> parseDeclarations(absl::string_view text, absl::string_view file);

// Reads a file, or every *.json file below a directory in the order of their paths. Fails with InvalidValue if a file
// cannot be read or if a resource is declared twice.
absl::StatusOr<std::vector<Declaration>> readDeclarations(absl::string_view path);

// Fails with InvalidValue if a resource is declared twice; the message names both files.
absl::Status checkUnique(absl::Span<const Declaration> declarations);

// Returns the whole text of a file, or of standard input if the path is "-". Fails with InvalidValue if the file cannot
// be read.
absl::StatusOr<std::string> readFile(absl::string_view path);

} // namespace mangohall
