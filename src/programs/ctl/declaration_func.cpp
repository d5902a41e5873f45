#include "programs/ctl/declaration_func.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <string>
#include <system_error>

#include "absl/strings/str_cat.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "adapters/json/object_reader_base.h"
#include "configuration/configuration_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

// Prefixes the message with the file and, in an array, the index of the declaration.
absl::Status withLocation(absl::string_view location, const absl::Status& status)
{
    return makeError(errorKindOf(status), absl::StrCat(location, ": ", status.message()));
}

absl::StatusOr<ConfigSpec> parseDeclaration(const nlohmann::json& object)
{
    ObjectReader reader(object, "");
    std::string kindName;
    std::string name;
    reader.require("kind");
    reader.require("name");
    reader.require("spec");
    reader.read("kind", kindName);
    reader.read("name", name);
    const nlohmann::json* spec = reader.find("spec");
    if (const absl::Status status = reader.finish(); !status.ok())
        return status;
    const absl::StatusOr<ConfigKind> kind = configKindFromName(kindName);
    if (!kind.ok())
        return makeError(ErrorKind::InvalidValue, absl::StrCat("kind: ", kind.status().message()));
    return configSpecFromJson(*kind, name, *spec);
}

absl::StatusOr<std::vector<std::string>> listFiles(absl::string_view path)
{
    std::error_code error;
    const std::filesystem::path root { std::string(path) };
    if (!std::filesystem::is_directory(root, error))
        return std::vector<std::string> { std::string(path) };
    std::vector<std::string> files;
    std::filesystem::recursive_directory_iterator iterator(root, error);
    for (; !error && iterator != std::filesystem::recursive_directory_iterator(); iterator.increment(error)) {
        if (iterator->path().extension() == ".json")
            files.push_back(iterator->path().string());
    }
    if (error)
        return makeError(ErrorKind::InvalidValue, absl::StrCat(path, ": ", error.message()));
    std::sort(files.begin(), files.end());
    return files;
}

std::string keyOf(const ConfigSpec& spec)
{
    return configKey(kindOf(spec), nameOf(spec));
}

} // namespace

absl::StatusOr<std::vector<Declaration>> parseDeclarations(absl::string_view text, absl::string_view file)
{
    absl::StatusOr<nlohmann::json> parsed = parseJson(text);
    if (!parsed.ok())
        return withLocation(file, parsed.status());
    const bool isList = parsed->is_array();
    const nlohmann::json list = isList ? *std::move(parsed) : nlohmann::json::array({ *std::move(parsed) });
    std::vector<Declaration> declarations;
    for (const nlohmann::json& object : list) {
        absl::StatusOr<ConfigSpec> spec = parseDeclaration(object);
        const std::string location = isList ? absl::StrCat(file, "[", declarations.size(), "]") : std::string(file);
        if (!spec.ok())
            return withLocation(location, spec.status());
        declarations.push_back({ *std::move(spec), location });
    }
    return declarations;
}

absl::StatusOr<std::vector<Declaration>> readDeclarations(absl::string_view path)
{
    const absl::StatusOr<std::vector<std::string>> files = listFiles(path);
    if (!files.ok())
        return files.status();
    std::vector<Declaration> declarations;
    for (const std::string& file : *files) {
        const absl::StatusOr<std::string> text = readFile(file);
        if (!text.ok())
            return text.status();
        absl::StatusOr<std::vector<Declaration>> fileDeclarations = parseDeclarations(*text, file);
        if (!fileDeclarations.ok())
            return fileDeclarations.status();
        std::move(fileDeclarations->begin(), fileDeclarations->end(), std::back_inserter(declarations));
    }
    if (const absl::Status status = checkUnique(declarations); !status.ok())
        return status;
    return declarations;
}

absl::Status checkUnique(absl::Span<const Declaration> declarations)
{
    std::map<std::string, std::string> files;
    for (const Declaration& declaration : declarations) {
        const std::string key = keyOf(declaration.spec);
        const auto [known, isNew] = files.emplace(key, declaration.file);
        if (!isNew) {
            return makeError(ErrorKind::InvalidValue,
                absl::StrCat(declaration.file, ": ", key, " is also declared in ", known->second));
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<std::string> readFile(absl::string_view path)
{
    if (path == "-")
        return std::string(std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>());
    std::ifstream stream { std::string(path), std::ios::binary };
    if (!stream)
        return makeError(ErrorKind::InvalidValue, absl::StrCat(path, ": cannot be read"));
    return std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
}

} // namespace mangohall
