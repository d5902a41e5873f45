// Tests of declarations, and of the plans that change the current resources into the declared ones.
#include "programs/ctl/plan_func.h"

#include "core/error_func.h"
#include "programs/ctl/declaration_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::string_view everyKind = R"([
    {"kind": "drains", "name": "rack-r1", "spec": {"target": "rack", "targetName": "r1"}},
    {"kind": "guarantees", "name": "zagara-zones", "spec": {"organisation": "zagara", "shard": "ct-a-1",
        "cells": 2, "acceleratorsPerCell": 8, "adjacency": "sameWorker"}},
    {"kind": "policies", "name": "default", "spec": {"completionWeight": 0.75}},
    {"kind": "services", "name": "regdesk", "spec": {}},
    {"kind": "organisations", "name": "zagara", "spec": {"weight": 2}},
    {"kind": "organisations", "name": "etna", "spec": {}},
    {"kind": "shards", "name": "ct-a-1", "spec": {"region": "sic-east", "dataCentre": "ct-a", "racks": ["r1"]}}
])";

std::vector<Declaration> parse(absl::string_view text)
{
    const absl::StatusOr<std::vector<Declaration>> declared = parseDeclarations(text, "a.json");
    EXPECT_TRUE(declared.ok()) << declared.status();
    return declared.ok() ? *declared : std::vector<Declaration> {};
}

TEST(Plan, OrdersKindsByTheirDependencies)
{
    std::vector<std::string> lines;
    for (const PlanStep& step : makePlan(parse(everyKind), {}))
        lines.push_back(describeStep(step));
    const std::vector<std::string> expected = { "create shards/ct-a-1", "create organisations/etna",
        "create organisations/zagara", "create services/regdesk", "create policies/default",
        "create guarantees/zagara-zones", "create drains/rack-r1" };
    EXPECT_EQ(lines, expected);
}

TEST(Plan, HasNoChangesWhenEveryResourceIsCurrent)
{
    const std::vector<Declaration> declared = parse(everyKind);
    std::vector<CurrentObject> current;
    current.reserve(declared.size());
    for (const Declaration& declaration : declared)
        current.push_back({ declaration.spec, 5 });
    const Plan plan = makePlan(declared, current);
    EXPECT_EQ(plan.size(), declared.size());
    EXPECT_FALSE(hasChanges(plan));
}

TEST(Plan, ListsChangedFieldsAndTheCurrentRevision)
{
    const std::vector<Declaration> before = parse(R"({"kind":"organisations","name":"a","spec":{"weight":1}})");
    const std::vector<Declaration> after = parse(R"({"kind":"organisations","name":"a","spec":{"weight":4}})");
    const std::vector<CurrentObject> current = { { before[0].spec, 17 } };
    const Plan plan = makePlan(after, current);
    ASSERT_EQ(plan.size(), 1U);
    EXPECT_EQ(plan[0].action, PlanAction::Change);
    EXPECT_EQ(plan[0].currentRevision, 17);
    EXPECT_EQ(describeFields(plan[0]), "    weight: 1 -> 4\n");
}

TEST(Plan, TreatsAnOmittedDefaultAsUnchanged)
{
    const std::vector<Declaration> withDefaults = parse(R"({"kind":"organisations","name":"a","spec":{}})");
    const std::vector<Declaration> explicitValues
        = parse(R"({"kind":"organisations","name":"a","spec":{"weight":1,"maxQueuedJobs":1000,"maxAccelerators":0}})");
    EXPECT_FALSE(hasChanges(makePlan(withDefaults, std::vector<CurrentObject> { { explicitValues[0].spec, 3 } })));
}

TEST(Declaration, ReportsTheFileAndFieldOfAnError)
{
    const auto messageOf
        = [](absl::string_view text) { return std::string(parseDeclarations(text, "a.json").status().message()); };
    EXPECT_EQ(messageOf("{").rfind("a.json: not JSON", 0), 0U);
    EXPECT_EQ(messageOf("[{}]").rfind("a.json[0]: kind: ", 0), 0U);
    EXPECT_EQ(messageOf(R"({"kind":"apples","name":"a","spec":{}})").rfind("a.json: kind: ", 0), 0U);
    EXPECT_EQ(messageOf(R"({"kind":"organisations","name":"a","spec":{"x":1}})").rfind("a.json: spec.x: ", 0), 0U);
    EXPECT_EQ(messageOf(R"({"kind":"organisations","name":"a","spec":{},"x":1})").rfind("a.json: x: ", 0), 0U);
}

TEST(Declaration, RefusesAResourceDeclaredTwice)
{
    const std::vector<Declaration> twice
        = parse(R"([{"kind":"services","name":"a","spec":{}},{"kind":"services","name":"a","spec":{}}])");
    EXPECT_EQ(errorKindOf(checkUnique(twice)), ErrorKind::InvalidValue);
    EXPECT_TRUE(checkUnique(parse(everyKind)).ok());
}

} // namespace
} // namespace mangohall
