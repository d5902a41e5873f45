// Derives the state and the end of a part from the states of its tasks.
#pragma once

#include <string>

#include "dispatch/dispatch_type.h"

namespace mangohall {

// Whether the task has ended or is lost, so that nothing of it runs now or later.
bool isSettled(const DispatchTask& task);

// Whether the worker has reported the task as prepared, running or succeeded.
bool isConfirmed(const DispatchTask& task);

// Whether the task has settled without success, so that its part cannot succeed any more.
bool hasEndedUnsuccessfully(const DispatchTask& task);

// How a part has ended. All its tasks must be settled.
PartEnd endOf(const DispatchPart& part);

// The checkpoint of the part: that of its first task if all tasks have one, otherwise empty.
std::string checkpointOf(const DispatchPart& part);

} // namespace mangohall
