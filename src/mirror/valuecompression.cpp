#include "valuecompression.h"

#include <algorithm>
#include <bit>
#include <memory>

#include <zstd.h>

namespace damaskgate::mirror {

namespace {

constexpr int CompressionLevel = 1; // fastest
constexpr int MinWindowLog = 10; // smallest window of the library, 1 KiB
constexpr int MaxWindowLog = 24; // 16 MiB, more than a base and a value take

struct FreeContext
{
    void operator()(ZSTD_CCtx *context) const
    {
        ZSTD_freeCCtx(context);
    }
    void operator()(ZSTD_DCtx *context) const
    {
        ZSTD_freeDCtx(context);
    }
};

// Returns the binary logarithm of a window that covers the base and the value.
int windowLog(std::size_t bytes)
{
    return std::clamp(static_cast<int>(std::bit_width(bytes)), MinWindowLog, MaxWindowLog);
}

} // namespace

std::string compress(std::string_view value, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, CompressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog(value.size() + base.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string frame(ZSTD_compressBound(value.size()), '\0');
    const std::size_t size =
        ZSTD_compress2(context.get(), frame.data(), frame.size(), value.data(), value.size());
    frame.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return frame;
}

core::Result<std::string> decompress(std::string_view frame, std::size_t size,
                                     std::string_view base)
{
    const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string value(size, '\0');
    const std::size_t restored =
        ZSTD_decompressDCtx(context.get(), value.data(), value.size(), frame.data(), frame.size());
    if (ZSTD_isError(restored) != 0) {
        return core::notRun(core::Reason::BadRequest,
                            std::string("compressed value: ") + ZSTD_getErrorName(restored));
    }
    if (restored != size) {
        return core::notRun(core::Reason::BadRequest, "compressed value has another size");
    }
    return value;
}

} // namespace damaskgate::mirror
