#include "ibisnotch/config-admin.h"

#include <algorithm>
#include <filesystem>
#include <future>
#include <set>

#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include "ibisnotch/process-settings.h"

namespace ibisnotch {

namespace {

constexpr std::string_view currentKey = "ibisnotch/config/current";

std::string historyKey(std::uint64_t version)
{
    return fmt::format("ibisnotch/config/history/{}", version);
}

absl::Status storeUnavailable()
{
    return absl::UnavailableError("the store is unavailable; nothing was changed, try again");
}

void diffFile(const std::string &name, const std::string &from, const std::string &to,
              std::string &out)
{
    if (from == to)
        return;
    const std::vector<std::string> before = absl::StrSplit(from, '\n');
    const std::vector<std::string> after = absl::StrSplit(to, '\n');
    // common[i][j] is the length of the longest common subsequence of the lines from i and j on.
    std::vector<std::vector<int>> common(before.size() + 1, std::vector<int>(after.size() + 1, 0));
    for (std::size_t i = before.size(); i-- > 0;) {
        for (std::size_t j = after.size(); j-- > 0;)
            common[i][j] = before[i] == after[j] ? common[i + 1][j + 1] + 1
                                                 : std::max(common[i + 1][j], common[i][j + 1]);
    }
    out += "--- " + name + "\n";
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        const bool same = i < before.size() && j < after.size() && before[i] == after[j];
        const bool removed = !same && i < before.size()
            && (j == after.size() || common[i + 1][j] >= common[i][j + 1]);
        if (same) {
            ++i;
            ++j;
        } else if (removed) {
            out += fmt::format("{}: - {}\n", i + 1, before[i]);
            ++i;
        } else {
            out += fmt::format("{}: + {}\n", j + 1, after[j]);
            ++j;
        }
    }
}

} // namespace

StoreRead ConfigAdmin::read(const std::string &key)
{
    std::promise<StoreRead> promise;
    m_store.read(key, [&promise](const StoreRead &result) { promise.set_value(result); });
    return promise.get_future().get();
}

StoreWrite ConfigAdmin::write(const std::string &key, std::uint64_t index, const std::string &value)
{
    std::promise<StoreWrite> promise;
    m_store.compareAndSet(key, index, value,
                          [&promise](const StoreWrite &result) { promise.set_value(result); });
    return promise.get_future().get();
}

absl::StatusOr<StoredConfig> ConfigAdmin::current()
{
    const StoreRead found = read(std::string(currentKey));
    if (found.status == StoreStatus::notFound)
        return StoredConfig{};
    if (found.status != StoreStatus::ok)
        return storeUnavailable();
    auto document = parseDocument(found.value);
    if (!document.ok())
        return document.status();
    return StoredConfig{*std::move(document), found.index};
}

absl::StatusOr<ConfigDocument> ConfigAdmin::version(std::uint64_t number)
{
    const auto inForce = current();
    if (!inForce.ok())
        return inForce.status();
    if (inForce->document && inForce->document->version == number)
        return *inForce->document;
    const StoreRead found = read(historyKey(number));
    if (found.status == StoreStatus::notFound)
        return absl::NotFoundError(fmt::format("no version {}", number));
    if (found.status != StoreStatus::ok)
        return storeUnavailable();
    return parseDocument(found.value);
}

absl::Status ConfigAdmin::saveToHistory(const ConfigDocument &document)
{
    // Written before the version is replaced. The content of a version never changes, so it may be
    // written by several operators, and again after a lost response.
    const StoreWrite written = write(historyKey(document.version), 0, serializeDocument(document));
    if (written.status == StoreStatus::ok || written.status == StoreStatus::conflict)
        return absl::OkStatus();
    return storeUnavailable();
}

absl::StatusOr<ConfigDocument> ConfigAdmin::apply(ConfigDocument draft,
                                                  std::optional<std::uint64_t> basedOn)
{
    const auto inForce = current();
    if (!inForce.ok())
        return inForce.status();
    const std::uint64_t version = inForce->document ? inForce->document->version : 0;
    if (basedOn && *basedOn != version)
        return absl::AbortedError(fmt::format(
            "version {} is in force, but the change is based on version {}; nothing was changed, "
            "see diff",
            version, *basedOn));
    const auto checked = validateDocument(draft, inForce->document ? &*inForce->document : nullptr);
    if (!checked.ok())
        return checked.status();
    if (inForce->document) {
        const absl::Status saved = saveToHistory(*inForce->document);
        if (!saved.ok())
            return saved;
    }
    draft.version = version + 1;
    const StoreWrite written
        = write(std::string(currentKey), inForce->index, serializeDocument(draft));
    switch (written.status) {
    case StoreStatus::ok:
        return draft;
    case StoreStatus::notFound:
    case StoreStatus::conflict:
        return absl::AbortedError(
            "another operator's change came first; nothing was changed, see diff");
    case StoreStatus::notApplied:
    case StoreStatus::historyLost:
        return storeUnavailable();
    case StoreStatus::unknown:
        return resolveUnknownWrite(draft);
    }
    return storeUnavailable();
}

absl::StatusOr<ConfigDocument> ConfigAdmin::resolveUnknownWrite(const ConfigDocument &draft)
{
    // The response was lost. Reading back shows whether the change took effect. Repeating the write
    // would not: it could find its own first write and report a conflict.
    const auto after = current();
    if (!after.ok())
        return absl::UnknownError("the store became unavailable during the change, which may have "
                                  "taken effect; run show once the store is available");
    if (after->document && *after->document == draft)
        return draft;
    if (after->document && after->document->version >= draft.version)
        return absl::AbortedError(
            "another operator's change came first; nothing was changed, see diff");
    return absl::UnknownError("the store's response was lost and the change is not visible yet; "
                              "run show before trying again");
}

absl::StatusOr<ConfigDocument> ConfigAdmin::rollBack(std::uint64_t number,
                                                     const std::string &author)
{
    auto old = version(number);
    if (!old.ok())
        return old.status();
    const auto inForce = current();
    if (!inForce.ok())
        return inForce.status();
    old->author = author;
    old->note = fmt::format("roll back to version {}", number);
    return apply(*std::move(old), inForce->document ? inForce->document->version : 0);
}

absl::StatusOr<ConfigDocument> loadDocument(const std::string &folder)
{
    namespace fs = std::filesystem;
    ConfigDocument document;
    const auto base = readFile(folder + "/base.yaml");
    if (!base.ok())
        return base.status();
    document.base = {"base.yaml", *base};
    std::error_code error;
    for (const auto &entry : fs::directory_iterator(folder + "/sites", error)) {
        if (entry.path().extension() != ".yaml")
            continue;
        const auto text = readFile(entry.path().string());
        if (!text.ok())
            return text.status();
        const std::string site = entry.path().stem().string();
        document.overlays[site] = {"sites/" + site + ".yaml", *text};
    }
    if (error)
        return absl::NotFoundError(folder + "/sites: cannot be read");
    return document;
}

std::string diffDocuments(const ConfigDocument &from, const ConfigDocument &to)
{
    std::string out;
    diffFile(to.base.name, from.base.text, to.base.text, out);
    std::set<std::string> sites;
    for (const auto &[site, file] : from.overlays)
        sites.insert(site);
    for (const auto &[site, file] : to.overlays)
        sites.insert(site);
    for (const std::string &site : sites) {
        const auto before = from.overlays.find(site);
        const auto after = to.overlays.find(site);
        diffFile("site " + site, before == from.overlays.end() ? "" : before->second.text,
                 after == to.overlays.end() ? "" : after->second.text, out);
    }
    return out;
}

} // namespace ibisnotch
