#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

// Linked into a program, shifts its wall clock by the number of seconds in the file that the environment variable
// WALL_CLOCK_SHIFT_FILE names. The file may change while the program runs. Monotonic clocks are not affected.

namespace {

constexpr double nanosecondsPerSecond = 1e9;

double readShiftSeconds()
{
    static const char* path = std::getenv("WALL_CLOCK_SHIFT_FILE");
    static const int file = path ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
    char buf[32] {};
    if (file < 0 || ::pread(file, buf, sizeof(buf) - 1, 0) <= 0)
        return 0;
    return std::strtod(buf, nullptr);
}

timespec shiftedWallTime()
{
    timespec out {};
    ::syscall(SYS_clock_gettime, CLOCK_REALTIME, &out);
    const double shift = readShiftSeconds();
    const auto seconds = static_cast<time_t>(shift);
    auto nanoseconds = out.tv_nsec + static_cast<long>((shift - static_cast<double>(seconds)) * nanosecondsPerSecond);
    out.tv_sec += seconds;
    while (nanoseconds < 0) {
        nanoseconds += static_cast<long>(nanosecondsPerSecond);
        --out.tv_sec;
    }
    out.tv_sec += nanoseconds / static_cast<long>(nanosecondsPerSecond);
    out.tv_nsec = nanoseconds % static_cast<long>(nanosecondsPerSecond);
    return out;
}

} // namespace

// NOLINTBEGIN(readability-identifier-naming): these functions replace those of the C library.

extern "C" int clock_gettime(clockid_t clock, timespec* out) noexcept
{
    if (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)
        return static_cast<int>(::syscall(SYS_clock_gettime, clock, out));
    *out = shiftedWallTime();
    return 0;
}

extern "C" int gettimeofday(timeval* out, void*) noexcept
{
    const auto now = shiftedWallTime();
    out->tv_sec = now.tv_sec;
    out->tv_usec = now.tv_nsec / 1000;
    return 0;
}

extern "C" time_t time(time_t* out) noexcept
{
    const auto now = shiftedWallTime();
    if (out)
        *out = now.tv_sec;
    return now.tv_sec;
}

// NOLINTEND(readability-identifier-naming)
