// Reads what cereal's portable binary archive has written, from bytes whose sender isn't trusted.
#pragma once

#include <bit>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

#include <cereal/archives/portable_binary.hpp>

namespace ibisnotch {

// cereal makes room for as many entries of a list as its length says, before it reads the first
// one. Here a length above the number of bytes that are left is refused, as each entry takes one at
// least.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    // Throws cereal::Exception, as all reading does, if the bytes have another byte order.
    explicit BoundedInputArchive(std::string_view bytes)
        : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this),
          m_bytes(bytes)
    {
        static_assert(std::endian::native == std::endian::little);
        std::uint8_t isLittleEndian = 0;
        read(&isLittleEndian, sizeof isLittleEndian);
        if (isLittleEndian != 1)
            throw cereal::Exception("bytes of another byte order");
    }

    void read(void *data, std::size_t size)
    {
        if (size > m_bytes.size())
            throw cereal::Exception("the bytes end early");
        std::memcpy(data, m_bytes.data(), size);
        m_bytes.remove_prefix(size);
    }
    std::size_t bytesLeft() const { return m_bytes.size(); }

private:
    std::string_view m_bytes;
};

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive,
                                                                    T &value)
{
    archive.read(&value, sizeof value);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<T> &tag)
{
    archive(tag.size);
    if (tag.size > archive.bytesLeft())
        throw cereal::Exception("a length above the bytes that are left");
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.read(data.data, data.size);
}

} // namespace ibisnotch

// cereal wants to know which archive writes what this one reads.
template <> struct cereal::traits::detail::get_output_from_input<ibisnotch::BoundedInputArchive>
{
    using type = cereal::PortableBinaryOutputArchive;
};
