// The burn report as an HTML page.
#pragma once

#include <string>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "adapters/observe/burn_func.h"

namespace mangohall {

// Formats the report as an HTML page with plots. The page is self-contained: it loads no other resource.
std::string toPage(absl::Span<const BurnRow> rows, absl::Time takenAt);

} // namespace mangohall
