// Command line tool for operators: changes the configuration in the store and queries entry
// instances.
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

// Scripts depend on these values.
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
    std::string store; // address
    std::vector<std::string> entries; // peer addresses of entry instances
    std::string author = "operator";
    std::string note;
    std::string site;
    std::optional<std::uint64_t> basedOn; // version that must be in force for apply to succeed
    bool json = false;
    std::vector<std::string> arguments; // the command and its argument
};

class OperatorTool
{
public:
    explicit OperatorTool(Options options)
        : m_options(std::move(options)), m_store(makeConsulStore(m_client, m_options.store))
    {
    }

    int run()
    {
        static const std::map<std::string, int (OperatorTool::*)()> commands{
            {"check", &OperatorTool::check},         {"effective", &OperatorTool::effective},
            {"diff", &OperatorTool::diff},           {"apply", &OperatorTool::apply},
            {"show", &OperatorTool::show},           {"history", &OperatorTool::history},
            {"rollback", &OperatorTool::rollBack},   {"status", &OperatorTool::status},
            {"drain", &OperatorTool::drain},         {"undrain", &OperatorTool::undrain},
            {"explain", &OperatorTool::explain},     {"codes", &OperatorTool::codes},
            {"customers", &OperatorTool::customers},
        };
        const auto found = commands.find(m_options.arguments.empty() ? "" : m_options.arguments[0]);
        if (found == commands.end()) {
            fmt::print(stderr, "unknown command; see ibisnotchctl --help\n");
            return exitUsage;
        }
        return (this->*found->second)();
    }

private:
    // Returns an empty string if there is no such argument; index 0 is the command.
    std::string argument(std::size_t index) const
    {
        return index < m_options.arguments.size() ? m_options.arguments[index] : "";
    }

    // Returns the exit code for the error.
    int printError(const absl::Status &status) const
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

    void print(const nlohmann::json &json, const std::string &text) const
    {
        fmt::print("{}\n", m_options.json ? json.dump() : text);
    }

    int check()
    {
        const auto document = loadDocument(argument(1));
        if (!document.ok())
            return printError(document.status());
        const auto sites = validateDocument(*document, nullptr);
        if (!sites.ok())
            return printError(sites.status());
        print({{"ok", true}, {"sites", sites->size()}},
              fmt::format("valid for {} sites", sites->size()));
        return exitOk;
    }

    int effective()
    {
        const auto document = loadDocument(argument(1));
        if (!document.ok())
            return printError(document.status());
        const auto settings = effectiveSettings(*document, m_options.site);
        if (!settings.ok())
            return printError(settings.status());
        fmt::print("{}", printSettings(*settings));
        return exitOk;
    }

    int diff()
    {
        const auto document = loadDocument(argument(1));
        const auto current = m_admin.current();
        if (!document.ok() || !current.ok())
            return printError(document.ok() ? current.status() : document.status());
        const std::string text
            = diffDocuments(current->document.value_or(ConfigDocument{}), *document);
        print({{"diff", text}}, text.empty() ? "no difference" : text);
        return exitOk;
    }

    int printResult(const absl::StatusOr<ConfigDocument> &document) const
    {
        if (!document.ok())
            return printError(document.status());
        print({{"version", document->version}},
              fmt::format("version {} accepted", document->version));
        return exitOk;
    }

    int apply()
    {
        auto document = loadDocument(argument(1));
        if (!document.ok())
            return printError(document.status());
        document->author = m_options.author;
        document->note = m_options.note;
        return printResult(m_admin.apply(*std::move(document), m_options.basedOn));
    }

    int rollBack()
    {
        std::uint64_t number = 0;
        if (!absl::SimpleAtoi(argument(1), &number)) {
            fmt::print(stderr, "rollback: a version number is expected\n");
            return exitUsage;
        }
        return printResult(m_admin.rollBack(number, m_options.author));
    }

    int show()
    {
        std::uint64_t number = 0;
        const auto current = m_admin.current();
        if (!current.ok())
            return printError(current.status());
        if (!current->document)
            return printError(absl::NotFoundError("no configuration yet"));
        auto document = absl::StatusOr<ConfigDocument>(*current->document);
        if (absl::SimpleAtoi(argument(1), &number))
            document = m_admin.version(number);
        if (!document.ok())
            return printError(document.status());
        std::string text
            = fmt::format("version {} by {}: {}\n--- {}\n{}", document->version, document->author,
                          document->note, document->base.name, document->base.text);
        for (const auto &[site, file] : document->overlays)
            text += fmt::format("--- {}\n{}", file.name, file.text);
        print(nlohmann::json::parse(serializeDocument(*document)), text);
        return exitOk;
    }

    int history()
    {
        constexpr std::uint64_t maxVersions = 20;
        const auto current = m_admin.current();
        if (!current.ok())
            return printError(current.status());
        const std::uint64_t newest = current->document ? current->document->version : 0;
        nlohmann::json list = nlohmann::json::array();
        std::string text;
        for (std::uint64_t number = newest; number > 0 && newest - number < maxVersions; --number) {
            const auto document = m_admin.version(number);
            if (!document.ok())
                continue;
            list.push_back(
                {{"version", number}, {"author", document->author}, {"note", document->note}});
            text += fmt::format("{}  {}  {}\n", number, document->author, document->note);
        }
        print(list, text);
        return exitOk;
    }

    BufferedResponse sendTo(const std::string &entry, const std::string &method,
                            const std::string &path)
    {
        OutgoingRequest request;
        request.method = method;
        request.url = "http://" + entry + path;
        request.limits.total = std::chrono::seconds(3);
        return sendAndWait(m_client, std::move(request));
    }

    // Requests a page of each instance and prints them. `text` formats the page of one instance.
    // Returns the number of instances that responded.
    std::size_t printPageOfEach(const std::string &path,
                                const std::function<std::string(const nlohmann::json &)> &text)
    {
        nlohmann::json all = nlohmann::json::array();
        std::string allText;
        std::size_t responded = 0;
        for (const std::string &entry : m_options.entries) {
            const BufferedResponse reply = sendTo(entry, "GET", path);
            const auto body = nlohmann::json::parse(reply.response.body, nullptr, false);
            if (reply.response.status != 200 || !body.is_object()) {
                allText += fmt::format("{}: no answer\n", entry);
                all.push_back({{"entry", entry}, {"error", "no answer"}});
                continue;
            }
            ++responded;
            all.push_back(body);
            allText += text(body);
        }
        print(all, allText);
        return responded;
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
        printPageOfEach("/admin/status", statusText);
        return exitOk;
    }

    // Posts to all given instances, as each instance of a region routes requests on its own.
    int postToEach(const std::string &path)
    {
        int successes = 0;
        for (const std::string &entry : m_options.entries)
            successes += sendTo(entry, "POST", path + argument(1)).response.status == 200 ? 1 : 0;
        print({{"told", successes}}, fmt::format("{} instances told", successes));
        return successes > 0 ? exitOk : exitNotFound;
    }

    int drain() { return postToEach("/admin/drain?server="); }

    int undrain() { return postToEach("/admin/undrain?server="); }

    int explain()
    {
        nlohmann::json all = nlohmann::json::array();
        std::string text;
        for (const std::string &entry : m_options.entries) {
            const BufferedResponse reply = sendTo(entry, "GET", "/admin/explain?id=" + argument(1));
            const auto body = nlohmann::json::parse(reply.response.body, nullptr, false);
            if (reply.response.status != 200 || !body.is_object())
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
            return printError(
                absl::NotFoundError("none of the instances has a trace of this request"));
        print(all, text);
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
        return printPageOfEach("/admin/customers", customersText) > 0 ? exitOk : exitNotFound;
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

// Copies a string that popt allocated, and frees it.
std::string toStringAndFree(char *text)
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
      "  apply FOLDER              store it as the next version\n"
      "  show [VERSION]            print the version in force, or another\n"
      "  history                   list the latest versions\n"
      "  rollback VERSION          store an earlier version as the next one\n"
      "  status                    instances and backend servers\n"
      "  drain SERVER, undrain SERVER\n"
      "  explain REQUEST-ID        each decision, attempt and rejection\n"
      "  customers                 keys by fingerprint, usage and caps\n"
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
    const poptOption table[]
        = {{"store", 0, POPT_ARG_STRING, &store, 0, "the platform's store", "IP:PORT"},
           {"entries", 0, POPT_ARG_STRING, &entries, 0, "peers' ports of entry instances",
            "IP:PORT,..."},
           {"author", 0, POPT_ARG_STRING, &author, 0, "who makes the change", "NAME"},
           {"note", 0, POPT_ARG_STRING, &note, 0, "why", "TEXT"},
           {"site", 0, POPT_ARG_STRING, &site, 0, "a region", "SITE"},
           {"based-on", 0, POPT_ARG_LONG, &basedOn, 0,
            "reject the change unless this version is in force", "N"},
           {"json", 0, POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
           POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    poptSetOtherOptionHelp(context, usage);
    const int end = poptGetNextOpt(context);
    Options options;
    options.store = toStringAndFree(store);
    options.author = author == nullptr ? "operator" : toStringAndFree(author);
    options.note = toStringAndFree(note);
    options.site = toStringAndFree(site);
    options.json = json != 0;
    if (basedOn >= 0)
        options.basedOn = static_cast<std::uint64_t>(basedOn);
    const std::string entryList = toStringAndFree(entries);
    if (!entryList.empty())
        options.entries = absl::StrSplit(entryList, ',');
    while (const char *argument = poptGetArg(context))
        options.arguments.emplace_back(argument);
    if (end < -1) {
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(end));
        poptFreeContext(context);
        return exitUsage;
    }
    poptFreeContext(context);
    return OperatorTool(std::move(options)).run();
}
