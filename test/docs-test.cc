// Checks that documentation pages and safeguards match the code.
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "ibisnotch/config-admin.h"
#include "ibisnotch/process-settings.h"
#include "ibisnotch/result-code.h"

using namespace ibisnotch;

namespace {

std::string readPage(const std::string &name)
{
    const auto text = readFile(std::string(IBISNOTCH_SOURCE_DIR) + "/" + name);
    REQUIRE(text.ok());
    return *text;
}

// An edit that makes the example configuration invalid, and the error message it must produce.
struct InvalidSetting
{
    std::string file;
    std::string replacement;
    std::string original;
    std::string message;
};

// Parses the table of OPERATIONS.md between the markers "wrong settings" and "end". Its columns are
// | file | original | replacement | message |, each in backticks.
std::vector<InvalidSetting> readInvalidSettings()
{
    std::vector<InvalidSetting> rows;
    std::istringstream lines(readPage("docs/OPERATIONS.md"));
    std::string line;
    bool inside = false;
    while (std::getline(lines, line)) {
        if (line.find("<!-- wrong settings -->") != std::string::npos)
            inside = true;
        if (line.find("<!-- end -->") != std::string::npos)
            inside = false;
        if (!inside || line.rfind("| `", 0) != 0)
            continue;
        std::vector<std::string> cells;
        std::size_t at = 0;
        while ((at = line.find('`', at)) != std::string::npos) {
            const std::size_t end = line.find('`', at + 1);
            cells.push_back(line.substr(at + 1, end - at - 1));
            at = end + 1;
        }
        REQUIRE(cells.size() == 4);
        rows.push_back({cells[0], cells[2], cells[1], cells[3]});
    }
    return rows;
}

ConfigFile &fileOf(ConfigDocument &document, const std::string &name)
{
    for (auto &[site, file] : document.overlays) {
        if (file.name == name)
            return file;
    }
    REQUIRE(name == "base.yaml");
    return document.base;
}

} // namespace

TEST_CASE("resultCodesPage_allCodes_matchTheTable")
{
    const std::string text = readPage("docs/RESULT-CODES.md");
    std::size_t rows = 0;
    for (std::size_t at = text.find("\n| "); at != std::string::npos;
         at = text.find("\n| ", at + 1))
        ++rows;
    CHECK(rows == resultTable().size() + 1);
    for (const ResultInfo &info : resultTable()) {
        const std::string row
            = fmt::format("| {} | {} | {} | {} | {} |", static_cast<int>(info.code), info.name,
                          info.httpStatus, runStateName(info.runState), info.advice);
        INFO(row);
        CHECK(text.find(row) != std::string::npos);
    }
}

TEST_CASE("operationsPage_invalidSettings_produceTheDocumentedMessages")
{
    const auto validDocument = loadDocument(std::string(IBISNOTCH_SOURCE_DIR) + "/support/example");
    REQUIRE(validDocument.ok());
    REQUIRE(validateDocument(*validDocument, nullptr).ok());
    const auto rows = readInvalidSettings();
    CHECK(rows.size() >= 10);
    for (const InvalidSetting &row : rows) {
        INFO(row.file << ": " << row.replacement);
        ConfigDocument draft = *validDocument;
        std::string &text = fileOf(draft, row.file).text;
        const std::size_t at = text.find(row.original);
        REQUIRE(at != std::string::npos);
        text.replace(at, row.original.size(), row.replacement);
        const auto sites = validateDocument(draft, &*validDocument);
        REQUIRE_FALSE(sites.ok());
        CHECK(std::string(sites.status().message()).find(row.message) != std::string::npos);
    }
}

TEST_CASE("proofsPage_namedTests_exist")
{
    const std::string text = readPage("docs/PROOFS.md");
    std::string tests;
    for (const char *folder : {"/test", "/platform/test"}) {
        for (const auto &entry :
             std::filesystem::directory_iterator(std::string(IBISNOTCH_SOURCE_DIR) + folder))
            tests += *readFile(entry.path().string());
    }
    std::size_t at = 0;
    int namedTests = 0;
    while ((at = text.find('`', at)) != std::string::npos) {
        const std::size_t end = text.find('`', at + 1);
        const std::string name = text.substr(at + 1, end - at - 1);
        at = end + 1;
        // Test cases are named subject_condition_result.
        if (std::count(name.begin(), name.end(), '_') < 2 || name.find(' ') != std::string::npos)
            continue;
        ++namedTests;
        INFO(name);
        CHECK(tests.find("\"" + name + "\"") != std::string::npos);
    }
    CHECK(namedTests > 30);
}

namespace {

// One entry of safeguards.txt: field names and values.
using Block = std::map<std::string, std::string>;

std::vector<Block> readSafeguards()
{
    std::vector<Block> blocks(1);
    std::istringstream lines(readPage("support/safeguards.txt"));
    std::string line;
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(": ");
        if (line.empty())
            blocks.emplace_back();
        else if (line[0] != '#' && colon != std::string::npos)
            blocks.back().emplace(line.substr(0, colon), line.substr(colon + 2));
    }
    std::erase_if(blocks, [](const Block &block) { return block.count("name") == 0; });
    return blocks;
}

std::string unescapeLineBreaks(std::string text)
{
    std::size_t at = 0;
    while ((at = text.find("\\n", at)) != std::string::npos)
        text.replace(at, 2, "\n");
    return text;
}

} // namespace

// Guards against entries that quote code which has changed or was removed.
TEST_CASE("safeguards_allEntries_matchTheirFiles")
{
    const auto blocks = readSafeguards();
    CHECK(blocks.size() > 50);
    for (const Block &block : blocks) {
        INFO(block.at("name"));
        const std::string source = readPage(block.at("file"));
        for (const std::string field : {"with", "also"}) {
            if (const auto found = block.find(field); found != block.end())
                CHECK(source.find(unescapeLineBreaks(found->second)) != std::string::npos);
        }
    }
}
