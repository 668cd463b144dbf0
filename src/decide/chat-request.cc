#include "ibisnotch/chat-request.h"

#include <optional>

#include <nlohmann/json.hpp>

#include "ibisnotch/result-code.h"

namespace ibisnotch {

namespace {

using nlohmann::json;

// Keeps three members of the outermost object. Of members that are given twice the last one counts.
class ChatRequestReader final : public json::json_sax_t
{
public:
    bool null() override { return onValue(Kind::other); }
    bool boolean(bool value) override
    {
        m_isStreaming = isMember("stream") ? value : m_isStreaming;
        return onValue(Kind::boolean);
    }
    bool number_integer(json::number_integer_t) override { return onValue(Kind::other); } // NOLINT
    bool number_unsigned(json::number_unsigned_t) override // NOLINT
    {
        return onValue(Kind::other);
    }
    bool number_float(json::number_float_t, const std::string &) override // NOLINT
    {
        return onValue(Kind::other);
    }
    bool string(std::string &value) override
    {
        if (isMember("model"))
            m_model = value;
        return onValue(Kind::text);
    }
    bool binary(json::binary_t &) override { return onValue(Kind::other); }

    bool start_object(std::size_t) override // NOLINT
    {
        onValue(Kind::other);
        ++m_depth;
        return true;
    }
    bool key(std::string &name) override
    {
        if (m_depth == 1)
            m_key = name;
        return true;
    }
    bool end_object() override // NOLINT
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t) override // NOLINT
    {
        const bool isBelow = onValue(Kind::array);
        ++m_depth;
        return isBelow;
    }
    bool end_array() override // NOLINT
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t, const std::string &, const json::exception &) override // NOLINT
    {
        return false;
    }

    bool hasModelAndMessages() const
    {
        return m_modelKind == Kind::text && m_messagesKind == Kind::array;
    }
    bool hasValidStream() const { return !m_streamKind || m_streamKind == Kind::boolean; }
    ChatRequest request() && { return {std::move(m_model), m_isStreaming}; }

private:
    enum class Kind { text, boolean, array, other };

    bool isMember(std::string_view name) const { return m_depth == 1 && m_key == name; }

    // Returns whether a value may stand here; the outermost one must be an object.
    bool onValue(Kind kind)
    {
        if (isMember("model"))
            m_modelKind = kind;
        else if (isMember("messages"))
            m_messagesKind = kind;
        else if (isMember("stream"))
            m_streamKind = kind;
        return m_depth > 0;
    }

    int m_depth = 0;
    std::string m_key; // of the outermost object
    std::string m_model;
    bool m_isStreaming = false;
    std::optional<Kind> m_modelKind;
    std::optional<Kind> m_messagesKind;
    std::optional<Kind> m_streamKind;
};

} // namespace

absl::StatusOr<ChatRequest> parseChatRequest(std::string_view body)
{
    ChatRequestReader reader;
    if (!json::sax_parse(body, &reader) || !reader.hasModelAndMessages())
        return makeStatus(ResultCode::malformedRequest, "expected JSON with model and messages");
    if (!reader.hasValidStream())
        return makeStatus(ResultCode::malformedRequest, "stream: expected true or false");
    return std::move(reader).request();
}

} // namespace ibisnotch
