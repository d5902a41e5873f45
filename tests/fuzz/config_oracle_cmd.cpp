#include "fuzz/config_oracle_base.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

// Returns the answered reads in the order in which they were answered.
std::vector<const CallerLog*> answeredReads(const ObservedHistory& observed)
{
    std::vector<const CallerLog*> reads;
    for (const auto& [caller, log] : observed.callers) {
        if (std::holds_alternative<ReadRequest>(log.request) && !log.answers.empty())
            reads.push_back(&log);
    }
    std::stable_sort(reads.begin(), reads.end(),
        [](const CallerLog* left, const CallerLog* right) { return left->answeredAt < right->answeredAt; });
    return reads;
}

} // namespace

ConfigOracle::ConfigOracle(const ObservedHistory& observed)
    : m_observed(observed)
{
    for (const auto& [caller, log] : observed.callers)
        recordCaller(log);
}

void ConfigOracle::recordCaller(const CallerLog& log)
{
    if (const auto* put = std::get_if<PutRequest>(&log.request)) {
        if (const auto* organisation = std::get_if<Organisation>(&put->spec))
            recordChange(organisation->name.str(), log, { 0, organisation->weight, put->expectedRevision });
    } else if (const auto* removal = std::get_if<DeleteRequest>(&log.request)) {
        recordChange(removal->name, log, { 0, absl::nullopt, removal->expectedRevision });
    }
}

void ConfigOracle::recordChange(const std::string& name, const CallerLog& log, const Accepted& requested)
{
    History& history = m_names[name];
    if (log.answers.empty()) {
        history.hasUnknown = true;
        return;
    }
    Accepted accepted = requested;
    if (const auto* config = std::get_if<ConfigAnswer>(&log.answers.back()))
        accepted.revision = config->object.revision;
    else if (const auto* deleted = std::get_if<DeletedAnswer>(&log.answers.back()))
        accepted.revision = deleted->revision;
    else if (const auto* error = std::get_if<ErrorAnswer>(&log.answers.back())) {
        history.hasUnknown = history.hasUnknown || errorRow(error->kind).execution == Execution::Unknown;
        return;
    }
    history.accepted[accepted.revision] = accepted;
}

Findings ConfigOracle::check() const
{
    Findings findings;
    checkReads(findings);
    for (const auto& [name, history] : m_names)
        checkExpected(name, history, findings);
    return findings;
}

void ConfigOracle::checkReads(Findings& findings) const
{
    std::map<std::string, Revision> newest;
    for (const CallerLog* log : answeredReads(m_observed)) {
        const auto* list = std::get_if<ConfigListAnswer>(&log->answers.back());
        if (list == nullptr)
            continue;
        const auto kind = std::get<ReadRequest>(log->request).kind;
        Revision& last = newest[absl::StrCat(log->entry, " run ", log->entryProcess, " kind ", static_cast<int>(kind))];
        if (list->revision < last)
            findings.push_back(absl::StrCat(log->entry, " read revision ", list->revision, " after ", last));
        last = std::max(last, list->revision);
        for (const ConfigAnswer& object : list->objects) {
            if (object.object.revision > list->revision)
                findings.push_back(absl::StrCat(log->entry, " read a resource newer than its list"));
        }
    }
}

void ConfigOracle::checkExpected(const std::string& name, const History& history, Findings& findings) const
{
    for (const auto& [revision, change] : history.accepted) {
        if (!change.expected)
            continue;
        for (const auto& [other, unused] : history.accepted) {
            // Another change came between the expected revision and this one. An expected revision of 0 means that the
            // resource must not exist.
            const bool isBetween = *change.expected != 0 && other > *change.expected && other < revision;
            if (isBetween)
                findings.push_back(absl::StrCat(name, ": the change at ", revision, " expected ", *change.expected,
                    " and was accepted after one at ", other));
        }
    }
}

Findings ConfigOracle::checkFinal(const std::string& entry, const ConfigListAnswer& read) const
{
    Findings findings;
    for (const auto& [name, history] : m_names) {
        if (history.accepted.empty() || history.hasUnknown)
            continue;
        const Accepted& last = history.accepted.rbegin()->second;
        absl::optional<int> weight;
        for (const ConfigAnswer& object : read.objects) {
            const auto* organisation = std::get_if<Organisation>(&object.object.spec);
            if (organisation == nullptr || organisation->name.str() != name)
                continue;
            weight = organisation->weight;
            if (!object.isInForce)
                findings.push_back(absl::StrCat(entry, ": ", name, " is not active"));
        }
        if (weight != last.weight)
            findings.push_back(absl::StrCat(entry, ": ", name, " has weight ", weight.value_or(-1),
                ", the accepted weight is ", last.weight.value_or(-1), " at ", last.revision));
    }
    return findings;
}

} // namespace mangohall
