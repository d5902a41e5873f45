// The commands by which another program disturbs the simulated platform and asks what its workers have seen.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "platform/platform_standin_base.h"

namespace mangohall::platform {

// Carries out one command, a JSON object whose field "do" names it, and returns the reply, a JSON object in one line.
// Fails with InvalidArgument if the command is unknown or lacks a field.
absl::StatusOr<std::string> carryOut(PlatformStandin& platform, absl::string_view command);

} // namespace mangohall::platform
