#include "standins/worker/task_behaviour_func.h"

#include <algorithm>

#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "adapters/json/object_reader_base.h"

namespace mangohall {

TaskBehaviour behaviourFromPayload(absl::string_view payload, const Resources& demand)
{
    TaskBehaviour plain;
    plain.echo = std::string(payload);
    plain.usage = demand;
    const absl::StatusOr<nlohmann::json> fields = parseJson(payload);
    if (!fields.ok())
        return plain;
    TaskBehaviour behaviour;
    behaviour.usage = demand;
    ObjectReader reader(*fields, "");
    reader.read("runMs", behaviour.runTime);
    reader.read("fail", behaviour.isFailing);
    reader.read("answerBytes", behaviour.answerBytes);
    reader.read("ignoreCheckpoint", behaviour.ignoresCheckpoint);
    reader.read("echo", behaviour.echo);
    reader.read("cpuMillis", behaviour.usage.cpuMillis);
    reader.read("memoryBytes", behaviour.usage.memoryBytes);
    return reader.finish().ok() ? behaviour : plain;
}

std::string answerOf(const TaskBehaviour& behaviour)
{
    constexpr std::int64_t maxAnswerBytes = 64LL * 1024 * 1024;
    std::string answer = behaviour.echo;
    const auto wanted = static_cast<std::size_t>(std::min(behaviour.answerBytes, maxAnswerBytes));
    if (behaviour.answerBytes > 0 && answer.size() < wanted)
        answer.resize(wanted, '.');
    return answer;
}

} // namespace mangohall
