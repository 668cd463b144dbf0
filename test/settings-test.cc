#include "ibisnotch/settings.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

TEST_CASE("parseSettings_nestedMaps_keepLinesOfKeys")
{
    const auto root = parseSettings("a: 1\nb:\n  c: [x, y]\n", "f.yaml");
    REQUIRE(root.ok());
    CHECK(root->map.at("b").origin == Origin{"f.yaml", 2});
    CHECK(root->map.at("b").map.at("c").list.size() == 2);
}

TEST_CASE("parseSettings_invalidText_namesFileAndLine")
{
    CHECK(parseSettings("a: [1", "f.yaml").status().message().find("f.yaml:") == 0);
    CHECK_FALSE(parseSettings("", "f.yaml").ok());
    CHECK_FALSE(parseSettings("just text", "f.yaml").ok());
    CHECK(parseSettings("a: 1\na: 2\n", "f.yaml").status().message().find("f.yaml:2: a: key given")
          == 0);
    rc::prop("no text makes the parser crash",
             [](const std::string &text) { (void)parseSettings(text, "f.yaml").ok(); });
}

TEST_CASE("mergeSettings_baseAndOverlay_prefersValuesOfTheOverlay")
{
    const auto base = *parseSettings("a: {x: 1, y: 2}\nb: [1]\n", "base");
    const auto overlay = *parseSettings("a: {y: 3}\nb: [2, 3]\n", "site");
    const SettingNode merged = mergeSettings(base, overlay);
    CHECK(printSettings(merged) == "a.x = 1  # base:1\na.y = 3  # site:1\nb = [2, 3]  # site:2\n");
    CHECK(mergeSettings(base, *parseSettings("c: 1\n", "site")).map.size() == 3);
}

TEST_CASE("settingReader_invalidValues_reportsAllErrors")
{
    const auto root = *parseSettings("n: many\nd: 5\nf: maybe\nl: x\nextra: 1\nm: 7\n", "f");
    std::vector<std::string> errors;
    SettingReader reader(root, "", errors);
    CHECK(reader.integer("n", 4, 0, 9) == 4);
    CHECK(reader.duration("d", 2s) == Duration(2s));
    CHECK_FALSE(reader.flag("f", false));
    CHECK(reader.textList("l").empty());
    CHECK(reader.children("m").empty());
    CHECK(reader.number("absent", 1.5, 0, 9) == 1.5);
    reader.finish();
    CHECK(errors.size() == 6);
    CHECK(errors.back().find("f:5: extra: unknown key; known here: absent, d, f, l, m, n") == 0);
}

TEST_CASE("parseDuration_allUnits_areExact")
{
    CHECK(*parseDuration("250ms") == Duration(250ms));
    CHECK(*parseDuration("2h") == Duration(2h));
    for (const char *text : {"", "5", "ms", "-5s", "1.5s", "5 s", "99999999999s", "5d"})
        CHECK_FALSE(parseDuration(text).ok());
}
