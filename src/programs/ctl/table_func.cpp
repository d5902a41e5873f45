#include "programs/ctl/table_func.h"

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "adapters/json/job_json_func.h"
#include "adapters/json/json_text_func.h"

namespace mangohall {

namespace {

using Row = std::vector<std::string>;

constexpr std::size_t columnGap = 2;

std::string cellText(const nlohmann::json& item, const std::string& field)
{
    const auto found = item.find(field);
    if (found == item.end())
        return "-";
    return found->is_string() ? found->get<std::string>() : toJsonText(*found);
}

void addColumns(const nlohmann::json& item, Row& columns)
{
    if (!item.is_object())
        return;
    for (const auto& field : item.items()) {
        if (std::find(columns.begin(), columns.end(), field.key()) == columns.end())
            columns.push_back(field.key());
    }
}

std::size_t widthOf(const std::vector<Row>& rows, std::size_t column)
{
    std::size_t width = 0;
    for (const Row& row : rows)
        width = std::max(width, row[column].size());
    return width;
}

std::string formatRows(const std::vector<Row>& rows)
{
    std::string text;
    for (const Row& row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool isLast = column + 1 == row.size();
            const std::size_t padding = isLast ? 0 : widthOf(rows, column) - row[column].size() + columnGap;
            absl::StrAppend(&text, row[column], std::string(padding, ' '));
        }
        absl::StrAppend(&text, "\n");
    }
    return text;
}

} // namespace

std::string makeTable(const nlohmann::json& items)
{
    Row columns;
    // The fields that identify an item come first.
    for (const char* leading : { "name", "node" }) {
        const bool isPresent = std::any_of(
            items.begin(), items.end(), [&](const nlohmann::json& item) { return item.contains(leading); });
        if (isPresent)
            columns.emplace_back(leading);
    }
    for (const nlohmann::json& item : items)
        addColumns(item, columns);
    std::vector<Row> rows { columns };
    for (const nlohmann::json& item : items) {
        Row row;
        for (const std::string& column : columns)
            row.push_back(cellText(item, column));
        rows.push_back(row);
    }
    return formatRows(rows);
}

} // namespace mangohall
