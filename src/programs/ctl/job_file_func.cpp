#include "programs/ctl/job_file_func.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/job_json_func.h"
#include "adapters/json/json_text_func.h"
#include "adapters/json/object_reader_base.h"
#include "core/error_func.h"
#include "job/job_func.h"

namespace mangohall {

namespace {

absl::StatusOr<JobFileEntry> makeEntry(JobFileEntry entry, const nlohmann::json& spec, absl::string_view path)
{
    if (absl::Status status = checkRequestKey(entry.requestKey); !status.ok())
        return status;
    const absl::StatusOr<JobSpec> parsed = jobSpecFromJson(spec, path);
    if (!parsed.ok())
        return parsed.status();
    entry.spec = toJsonText(toJson(*parsed));
    return entry;
}

absl::StatusOr<JobFileEntry> parseJob(const nlohmann::json& object, absl::string_view path)
{
    ObjectReader reader(object, path);
    JobFileEntry entry;
    reader.require("key");
    reader.require("spec");
    reader.read("key", entry.requestKey);
    reader.read("organisation", entry.organisation);
    const nlohmann::json* spec = reader.find("spec");
    if (absl::Status status = reader.finish(); !status.ok())
        return status;
    return makeEntry(std::move(entry), *spec, reader.pathOf("spec"));
}

} // namespace

absl::StatusOr<std::vector<JobFileEntry>> parseJobs(absl::string_view text, absl::string_view key)
{
    const absl::StatusOr<nlohmann::json> parsed = parseJson(text);
    if (!parsed.ok())
        return parsed.status();
    std::vector<JobFileEntry> jobs;
    const bool isList = key.empty() && parsed->is_array();
    const std::size_t count = isList ? parsed->size() : 1;
    for (std::size_t index = 0; index < count; ++index) {
        absl::StatusOr<JobFileEntry> job;
        if (!key.empty())
            job = makeEntry({ std::string(key), "", "" }, *parsed, "spec");
        else if (isList)
            job = parseJob((*parsed)[index], absl::StrCat("[", index, "]"));
        else
            job = parseJob(*parsed, "");
        if (!job.ok())
            return job.status();
        jobs.push_back(*std::move(job));
    }
    return jobs;
}

} // namespace mangohall
