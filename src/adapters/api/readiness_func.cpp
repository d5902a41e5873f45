#include "adapters/api/readiness_func.h"

namespace mangohall {

void probeReadiness(ApiContext& context)
{
    Identity self;
    self.isOperator = true;
    context.sink.post(CallerEvent { readinessCaller, self, ViewRequest { ViewKind::Nodes } });
}

void recordReadiness(ApiContext& context, const CallerAnswer& answer)
{
    if (!std::holds_alternative<ErrorAnswer>(answer))
        context.isConfigurationRead = true;
}

} // namespace mangohall
