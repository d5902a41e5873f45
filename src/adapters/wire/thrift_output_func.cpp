#include "adapters/wire/thrift_output_func.h"

#include "absl/base/call_once.h"
#include "thrift/TOutput.h"

namespace mangohall {

namespace {

void discard(const char* /*message*/) { }

absl::once_flag silenced;

} // namespace

void silenceThriftOutput()
{
    absl::call_once(silenced, [] { apache::thrift::GlobalOutput.setOutputFunction(discard); });
}

} // namespace mangohall
