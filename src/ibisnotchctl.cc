// The operators' command line tool.
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <popt.h>

#include "ibisnotch/config-admin.h"
#include "ibisnotch/http-client.h"
#include "ibisnotch/result-code.h"
#include "ibisnotch/store.h"

using namespace ibisnotch;

namespace {

// Stable; scripts depend on them.
enum ExitCode {
    exitOk = 0,
    exitUsage = 1,
    exitInvalid = 2,
    exitConflict = 3,
    exitUnavailable = 4,
    exitUnknown = 5,
    exitNotFound = 6
};

struct Options
{
    std::string store;
    std::vector<std::string> entries;
    std::string author = "operator";
    std::string note;
    std::string site;
    std::optional<std::uint64_t> basedOn;
    bool json = false;
    std::vector<std::string> words;
};

class Tool
{
public:
    explicit Tool(Options options)
        : m_options(std::move(options)), m_store(makeConsulStore(m_client, m_options.store))
    {
    }

    int run()
    {
        static const std::map<std::string, int (Tool::*)()> commands{
            {"check", &Tool::check},         {"effective", &Tool::effective},
            {"diff", &Tool::diff},           {"apply", &Tool::apply},
            {"show", &Tool::show},           {"history", &Tool::history},
            {"rollback", &Tool::rollBack},   {"status", &Tool::status},
            {"drain", &Tool::drain},         {"undrain", &Tool::undrain},
            {"explain", &Tool::explain},     {"codes", &Tool::codes},
            {"customers", &Tool::customers},
        };
        const auto found = commands.find(m_options.words.empty() ? "" : m_options.words[0]);
        if (found == commands.end()) {
            fmt::print(stderr, "unknown command; see ibisnotchctl --help\n");
            return exitUsage;
        }
        return (this->*found->second)();
    }

private:
    std::string word(std::size_t index) const
    {
        return index < m_options.words.size() ? m_options.words[index] : "";
    }

    int fail(const absl::Status &status) const
    {
        const std::string message(status.message());
        if (m_options.json)
            fmt::print("{}\n", nlohmann::json{{"error", message}}.dump());
        else
            fmt::print(stderr, "{}\n", message);
        switch (status.code()) {
        case absl::StatusCode::kInvalidArgument:
            return exitInvalid;
        case absl::StatusCode::kAborted:
            return exitConflict;
        case absl::StatusCode::kUnavailable:
            return exitUnavailable;
        case absl::StatusCode::kNotFound:
            return exitNotFound;
        default:
            return exitUnknown;
        }
    }

    void say(const nlohmann::json &json, const std::string &text) const
    {
        fmt::print("{}\n", m_options.json ? json.dump() : text);
    }

    int check()
    {
        const auto document = loadDocument(word(1));
        if (!document.ok())
            return fail(document.status());
        const auto sites = validateDocument(*document, nullptr);
        if (!sites.ok())
            return fail(sites.status());
        say({{"ok", true}, {"sites", sites->size()}},
            fmt::format("good for {} sites", sites->size()));
        return exitOk;
    }

    int effective()
    {
        const auto document = loadDocument(word(1));
        if (!document.ok())
            return fail(document.status());
        const auto settings = effectiveSettings(*document, m_options.site);
        if (!settings.ok())
            return fail(settings.status());
        fmt::print("{}", printSettings(*settings));
        return exitOk;
    }

    int diff()
    {
        const auto document = loadDocument(word(1));
        const auto now = m_admin.current();
        if (!document.ok() || !now.ok())
            return fail(document.ok() ? now.status() : document.status());
        const std::string text = diffDocuments(now->document.value_or(ConfigDocument{}), *document);
        say({{"diff", text}}, text.empty() ? "no difference" : text);
        return exitOk;
    }

    int accepted(const absl::StatusOr<ConfigDocument> &document) const
    {
        if (!document.ok())
            return fail(document.status());
        say({{"version", document->version}},
            fmt::format("version {} accepted", document->version));
        return exitOk;
    }

    int apply()
    {
        auto document = loadDocument(word(1));
        if (!document.ok())
            return fail(document.status());
        document->author = m_options.author;
        document->note = m_options.note;
        return accepted(m_admin.apply(*std::move(document), m_options.basedOn));
    }

    int rollBack()
    {
        std::uint64_t number = 0;
        if (!absl::SimpleAtoi(word(1), &number)) {
            fmt::print(stderr, "rollback: a version number is expected\n");
            return exitUsage;
        }
        return accepted(m_admin.rollBack(number, m_options.author));
    }

    int show()
    {
        std::uint64_t number = 0;
        const auto now = m_admin.current();
        if (!now.ok())
            return fail(now.status());
        if (!now->document)
            return fail(absl::NotFoundError("no configuration yet"));
        auto document = absl::StatusOr<ConfigDocument>(*now->document);
        if (absl::SimpleAtoi(word(1), &number))
            document = m_admin.version(number);
        if (!document.ok())
            return fail(document.status());
        std::string text
            = fmt::format("version {} by {}: {}\n--- {}\n{}", document->version, document->author,
                          document->note, document->base.name, document->base.text);
        for (const auto &[site, file] : document->overlays)
            text += fmt::format("--- {}\n{}", file.name, file.text);
        say(nlohmann::json::parse(serializeDocument(*document)), text);
        return exitOk;
    }

    int history()
    {
        constexpr std::uint64_t shown = 20;
        const auto now = m_admin.current();
        if (!now.ok())
            return fail(now.status());
        const std::uint64_t newest = now->document ? now->document->version : 0;
        nlohmann::json list = nlohmann::json::array();
        std::string text;
        for (std::uint64_t number = newest; number > 0 && newest - number < shown; --number) {
            const auto document = m_admin.version(number);
            if (!document.ok())
                continue;
            list.push_back(
                {{"version", number}, {"author", document->author}, {"note", document->note}});
            text += fmt::format("{}  {}  {}\n", number, document->author, document->note);
        }
        say(list, text);
        return exitOk;
    }

    BufferedResponse ask(const std::string &entry, const std::string &method,
                         const std::string &path)
    {
        OutgoingRequest request;
        request.method = method;
        request.url = "http://" + entry + path;
        request.limits.total = std::chrono::seconds(3);
        return sendAndWait(m_client, std::move(request));
    }

    // Asks all instances named for a page; `text` is what one that answered is shown as.
    std::size_t askAll(const std::string &path,
                       const std::function<std::string(const nlohmann::json &)> &text)
    {
        nlohmann::json all = nlohmann::json::array();
        std::string shown;
        std::size_t answered = 0;
        for (const std::string &entry : m_options.entries) {
            const BufferedResponse answer = ask(entry, "GET", path);
            const auto body = nlohmann::json::parse(answer.response.body, nullptr, false);
            if (answer.response.status != 200 || !body.is_object()) {
                shown += fmt::format("{}: no answer\n", entry);
                all.push_back({{"entry", entry}, {"error", "no answer"}});
                continue;
            }
            ++answered;
            all.push_back(body);
            shown += text(body);
        }
        say(all, shown);
        return answered;
    }

    static std::string statusText(const nlohmann::json &body)
    {
        std::string text = fmt::format(
            "{} ({}): version {}, {} in flight{}\n", body["name"].get<std::string>(),
            body["region"].get<std::string>(), body["configVersion"].dump(),
            body["inFlight"].dump(), body["stopping"].get<bool>() ? ", stopping" : "");
        for (const auto &member : body["members"])
            text += fmt::format("  instance {}: {}, load {}%\n", member["name"].get<std::string>(),
                                member["state"].get<std::string>(), member["loadPercent"].dump());
        for (const auto &server : body["servers"])
            text += fmt::format("  backend server {}: {}, load {:.1f} of {} slots\n",
                                server["name"].get<std::string>(),
                                server["status"].get<std::string>(), server["load"].get<double>(),
                                server["slots"].dump());
        return text;
    }

    int status()
    {
        askAll("/admin/status", statusText);
        return exitOk;
    }

    // Every instance of the region must know, so all that are named are told.
    int drainWith(const std::string &path)
    {
        int told = 0;
        for (const std::string &entry : m_options.entries)
            told += ask(entry, "POST", path + word(1)).response.status == 200 ? 1 : 0;
        say({{"told", told}}, fmt::format("{} instances told", told));
        return told > 0 ? exitOk : exitNotFound;
    }

    int drain() { return drainWith("/admin/drain?server="); }

    int undrain() { return drainWith("/admin/undrain?server="); }

    int explain()
    {
        nlohmann::json all = nlohmann::json::array();
        std::string text;
        for (const std::string &entry : m_options.entries) {
            const BufferedResponse answer = ask(entry, "GET", "/admin/explain?id=" + word(1));
            const auto body = nlohmann::json::parse(answer.response.body, nullptr, false);
            if (answer.response.status != 200 || !body.is_object())
                continue;
            all.push_back(body);
            text += fmt::format("{}: {} for {}, result {}\n", body["instance"].get<std::string>(),
                                body["service"].get<std::string>(),
                                body["customer"].get<std::string>(), body["code"].dump());
            for (const auto &step : body["steps"])
                text += fmt::format("  {:>6} ms  {}\n", step["atMs"].get<long long>(),
                                    step["what"].get<std::string>());
        }
        if (all.empty())
            return fail(absl::NotFoundError("no instance that was asked knows this request"));
        say(all, text);
        return exitOk;
    }

    static std::string customerLine(const nlohmann::json &customer)
    {
        std::string text = "  " + customer["name"].get<std::string>() + ": keys";
        for (const auto &key : customer["keys"])
            text += " " + key.get<std::string>();
        const auto &usage = customer["usage"];
        if (usage.is_null())
            return text + ", no cap\n";
        return text
            + fmt::format(", asked {:.0f} and given {:.0f} of {:.0f} {} a second, level {:.0f}\n",
                          usage.value("askedPerSecond", 0.0), usage.value("takenPerSecond", 0.0),
                          usage["capPerSecond"].get<double>(), usage["unit"].get<std::string>(),
                          usage.value("level", 0.0));
    }

    static std::string customersText(const nlohmann::json &body)
    {
        std::string text = fmt::format("{}: version {}\n", body["instance"].get<std::string>(),
                                       body["configVersion"].dump());
        for (const auto &customer : body["customers"])
            text += customerLine(customer);
        return text;
    }

    int customers()
    {
        return askAll("/admin/customers", customersText) > 0 ? exitOk : exitNotFound;
    }

    int codes()
    {
        for (const ResultInfo &info : resultTable())
            fmt::print("| {} | {} | {} | {} | {} |\n", static_cast<int>(info.code), info.name,
                       info.httpStatus, runStateName(info.runState), info.advice);
        return exitOk;
    }

    Options m_options;
    HttpClient m_client;
    std::unique_ptr<Store> m_store;
    ConfigAdmin m_admin{*m_store};
};

std::string taken(char *text)
{
    std::string result = text == nullptr ? "" : text;
    free(text);
    return result;
}

constexpr const char *usage
    = "COMMAND [ARGUMENT]\n\n"
      "  check FOLDER              check base.yaml and sites/*.yaml, offline\n"
      "  effective FOLDER --site S print a site's settings, each with its origin\n"
      "  diff FOLDER               compare with the version in force\n"
      "  apply FOLDER              make it the next version\n"
      "  show [VERSION]            print the version in force, or another\n"
      "  history                   list the latest versions\n"
      "  rollback VERSION          make an earlier version the next one\n"
      "  status                    instances and backend servers\n"
      "  drain SERVER, undrain SERVER\n"
      "  explain REQUEST-ID        each choice, attempt and refusal\n"
      "  customers                 keys by fingerprint, use and caps\n"
      "  codes                     the table of result codes\n\n"
      "Exit codes: 0 done, 1 wrong usage, 2 settings refused, 3 another operator was first,\n"
      "4 store unavailable and nothing changed, 5 outcome unknown, 6 not found.\n\nOptions:";

} // namespace

int main(int argc, const char **argv)
{
    char *store = nullptr;
    char *entries = nullptr;
    char *author = nullptr;
    char *note = nullptr;
    char *site = nullptr;
    int json = 0;
    long basedOn = -1;
    const poptOption table[] = {
        {"store", 0, POPT_ARG_STRING, &store, 0, "the platform's store", "IP:PORT"},
        {"entries", 0, POPT_ARG_STRING, &entries, 0, "peers' ports of entry instances",
         "IP:PORT,..."},
        {"author", 0, POPT_ARG_STRING, &author, 0, "who makes the change", "NAME"},
        {"note", 0, POPT_ARG_STRING, &note, 0, "why", "TEXT"},
        {"site", 0, POPT_ARG_STRING, &site, 0, "a region", "SITE"},
        {"based-on", 0, POPT_ARG_LONG, &basedOn, 0, "refuse unless this version is in force", "N"},
        {"json", 0, POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    poptSetOtherOptionHelp(context, usage);
    const int end = poptGetNextOpt(context);
    Options options;
    options.store = taken(store);
    options.author = author == nullptr ? "operator" : taken(author);
    options.note = taken(note);
    options.site = taken(site);
    options.json = json != 0;
    if (basedOn >= 0)
        options.basedOn = static_cast<std::uint64_t>(basedOn);
    const std::string list = taken(entries);
    if (!list.empty())
        options.entries = absl::StrSplit(list, ',');
    while (const char *word = poptGetArg(context))
        options.words.emplace_back(word);
    if (end < -1) {
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(end));
        poptFreeContext(context);
        return exitUsage;
    }
    poptFreeContext(context);
    return Tool(std::move(options)).run();
}
