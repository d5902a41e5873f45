#include "programs/ctl/plan_func.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/job_json_func.h"
#include "adapters/json/json_text_func.h"
#include "configuration/configuration_func.h"

namespace mangohall {

namespace {

// Position of a kind in a plan: a kind refers only to kinds with a lower rank.
int dependencyRankOf(ConfigKind kind)
{
    switch (kind) {
    case ConfigKind::Shard:
        return 0;
    case ConfigKind::Organisation:
        return 1;
    case ConfigKind::Service:
        return 2;
    case ConfigKind::Policy:
        return 3;
    case ConfigKind::Guarantee:
        return 4;
    case ConfigKind::Drain:
        break;
    }
    return 5;
}

bool isBefore(const PlanStep& left, const PlanStep& right)
{
    const int leftRank = dependencyRankOf(kindOf(left.spec));
    const int rightRank = dependencyRankOf(kindOf(right.spec));
    return std::make_tuple(leftRank, nameOf(left.spec)) < std::make_tuple(rightRank, nameOf(right.spec));
}

PlanStep makeStep(const ConfigSpec& declared, const CurrentObject* current)
{
    PlanStep step;
    step.spec = declared;
    if (current == nullptr) {
        step.action = PlanAction::Create;
        return step;
    }
    step.currentRevision = current->revision;
    step.currentSpec = current->spec;
    // Both specs were parsed, so an omitted default is not a difference.
    const bool isSame = toJson(declared) == toJson(current->spec);
    step.action = isSame ? PlanAction::Unchanged : PlanAction::Change;
    return step;
}

} // namespace

Plan makePlan(absl::Span<const Declaration> declared, absl::Span<const CurrentObject> current)
{
    std::map<std::string, const CurrentObject*> byKey;
    for (const CurrentObject& object : current)
        byKey[configKey(kindOf(object.spec), nameOf(object.spec))] = &object;
    Plan plan;
    for (const Declaration& declaration : declared) {
        const auto found = byKey.find(configKey(kindOf(declaration.spec), nameOf(declaration.spec)));
        plan.push_back(makeStep(declaration.spec, found == byKey.end() ? nullptr : found->second));
    }
    std::stable_sort(plan.begin(), plan.end(), isBefore);
    return plan;
}

bool hasChanges(const Plan& plan)
{
    return std::any_of(
        plan.begin(), plan.end(), [](const PlanStep& step) { return step.action != PlanAction::Unchanged; });
}

absl::string_view actionName(PlanAction action)
{
    switch (action) {
    case PlanAction::Create:
        return "create";
    case PlanAction::Change:
        return "change";
    case PlanAction::Unchanged:
        break;
    }
    return "unchanged";
}

std::string describeStep(const PlanStep& step)
{
    return absl::StrCat(actionName(step.action), " ", configKindName(kindOf(step.spec)), "/", nameOf(step.spec));
}

std::string describeFields(const PlanStep& step)
{
    const nlohmann::json declared = toJson(step.spec);
    const nlohmann::json current
        = step.action == PlanAction::Create ? nlohmann::json::object() : toJson(step.currentSpec);
    std::string lines;
    for (const auto& field : declared.items()) {
        const auto before = current.find(field.key());
        const bool isSame = before != current.end() && *before == field.value();
        if (isSame)
            continue;
        const std::string from = before == current.end() ? "" : absl::StrCat(toJsonText(*before), " -> ");
        absl::StrAppend(&lines, "    ", field.key(), ": ", from, toJsonText(field.value()), "\n");
    }
    return lines;
}

} // namespace mangohall
