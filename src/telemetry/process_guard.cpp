#include "telemetry/process_guard.h"

#include "telemetry/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace bulrush::telemetry {

namespace {

constexpr std::array FatalSignals{SIGSEGV, SIGBUS,  SIGFPE, SIGILL,
                                  SIGABRT, SIGQUIT, SIGXCPU};
/// Not used by the daemons; the default action would end them without a line.
/// SIGSYS, SIGTRAP and the real-time signals are left to what runs the process.
constexpr std::array IgnoredSignals{SIGPIPE,   SIGXFSZ,   SIGUSR1, SIGUSR2,
                                    SIGALRM,   SIGVTALRM, SIGPROF, SIGIO,
                                    SIGSTKFLT, SIGPWR};
constexpr std::array RecordedSignals{SIGHUP, SIGTERM, SIGINT};
constexpr std::size_t MaxNameBytes = 64;
/// Stack of the handler, so that a stack overflow is reported too.
constexpr std::size_t HandlerStackBytes = 16 << 10;

// All state of the handlers is initialized at compile time: a signal may arrive
// before any constructor has run.
constinit std::array<std::atomic<bool>, RecordedSignals.size()> HasArrived{};
constinit std::atomic<int> WakeupDescriptor{-1};
constinit std::array<char, MaxNameBytes> ProcessName{};
constinit std::array<char, HandlerStackBytes> HandlerStack{};
static_assert(std::atomic<bool>::is_always_lock_free);
static_assert(std::atomic<int>::is_always_lock_free);

std::size_t indexOf(int Number) {
  std::size_t Index = 0;
  while (Index + 1 < RecordedSignals.size() && RecordedSignals[Index] != Number)
    ++Index;
  return Index;
}

extern "C" void onRecordedSignal(int Number) {
  const int SavedErrno = errno;
  HasArrived[indexOf(Number)].store(true);
  if (const int Descriptor = WakeupDescriptor.load(); Descriptor >= 0) {
    const char Byte = 0;
    // A full pipe wakes the reader as well.
    [[maybe_unused]] const ssize_t Written = ::write(Descriptor, &Byte, 1);
  }
  errno = SavedErrno;
}

/// A log line in a buffer of fixed size, without functions that are unsafe in a
/// signal handler.
class signal_safe_line {
public:
  signal_safe_line &operator<<(const char *Text) {
    while (*Text != '\0' && Size < Buffer.size())
      Buffer[Size++] = *Text++;
    return *this;
  }
  signal_safe_line &addNumber(unsigned Value, int MinDigits) {
    std::array<char, 16> Digits{};
    std::size_t Count = 0;
    for (; Value > 0 || static_cast<int>(Count) < MinDigits; Value /= 10)
      Digits[Count++] = static_cast<char>('0' + Value % 10);
    while (Count > 0 && Size < Buffer.size())
      Buffer[Size++] = Digits[--Count];
    return *this;
  }
  /// The current UTC time, as in the other lines of the log.
  signal_safe_line &addTime() {
    timespec Now{};
    ::clock_gettime(CLOCK_REALTIME, &Now);
    const std::chrono::sys_seconds Seconds{std::chrono::seconds(Now.tv_sec)};
    const auto Day = std::chrono::floor<std::chrono::days>(Seconds);
    const std::chrono::year_month_day Date{Day};
    const std::chrono::hh_mm_ss Time{Seconds - Day};
    addNumber(static_cast<unsigned>(static_cast<int>(Date.year())), 4);
    *this << "-";
    addNumber(static_cast<unsigned>(Date.month()), 2) << "-";
    addNumber(static_cast<unsigned>(Date.day()), 2) << "T";
    addNumber(static_cast<unsigned>(Time.hours().count()), 2) << ":";
    addNumber(static_cast<unsigned>(Time.minutes().count()), 2) << ":";
    addNumber(static_cast<unsigned>(Time.seconds().count()), 2) << ".";
    return addNumber(static_cast<unsigned>(Now.tv_nsec / 1000), 6);
  }
  /// Writes the line unless that would block.
  void write() const {
    pollfd Poll{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&Poll, 1, 0) > 0) {
      [[maybe_unused]] const ssize_t Written =
          ::write(STDOUT_FILENO, Buffer.data(), Size);
    }
  }

private:
  std::array<char, 256> Buffer{};
  std::size_t Size = 0;
};

/// The default action, restored by SA_RESETHAND, follows once the handler
/// returns.
extern "C" void onFatalSignal(int Number) {
  signal_safe_line Line;
  Line << "\ntime=";
  Line.addTime() << " process=" << ProcessName.data()
                 << " severity=error event=process_ended cause=signal signal=";
  Line.addNumber(static_cast<unsigned>(Number), 1) << "\n";
  Line.write();
  ::raise(Number);
}

[[noreturn]] void onTerminate() {
  std::string Error = "unknown";
  try {
    if (const std::exception_ptr Thrown = std::current_exception())
      std::rethrow_exception(Thrown);
  } catch (const std::exception &E) {
    Error = E.what();
  } catch (...) {
  }
  logEvent(severity::error, "process_ended",
           {{"cause", "exception"}, {"error", Error}});
  std::abort();
}

void setAction(int Number, void (*Handler)(int), int Flags) {
  struct sigaction Action {};
  Action.sa_handler = Handler;
  Action.sa_flags = Flags;
  sigemptyset(&Action.sa_mask);
  ::sigaction(Number, &Action, nullptr);
}

void openStandardDescriptors() {
  for (const int Descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
    if (::fcntl(Descriptor, F_GETFD) < 0 && errno == EBADF)
      ::open("/dev/null", O_RDWR); // takes the lowest free number
}

} // namespace

void protectProcess() {
  for (const int Number : IgnoredSignals)
    setAction(Number, SIG_IGN, 0);
  openStandardDescriptors();
  stack_t Stack{};
  Stack.ss_sp = HandlerStack.data();
  Stack.ss_size = HandlerStack.size();
  ::sigaltstack(&Stack, nullptr);
  for (const int Number : FatalSignals)
    setAction(Number, onFatalSignal,
              static_cast<int>(SA_RESETHAND | SA_ONSTACK));
  std::set_terminate(onTerminate);
}

void setProcessName(const std::string &Name) {
  const std::size_t Size = std::min(Name.size(), ProcessName.size() - 1);
  std::memcpy(ProcessName.data(), Name.data(), Size);
  ProcessName[Size] = '\0';
}

void recordSignals() {
  sigset_t Recorded;
  sigemptyset(&Recorded);
  for (const int Number : RecordedSignals) {
    setAction(Number, onRecordedSignal, SA_RESTART);
    sigaddset(&Recorded, Number);
  }
  // The program that started this one may have blocked them.
  ::sigprocmask(SIG_UNBLOCK, &Recorded, nullptr);
}

bool takeSignal(int Number) {
  return HasArrived[indexOf(Number)].exchange(false);
}

void setSignalWakeup(int Descriptor) { WakeupDescriptor.store(Descriptor); }

} // namespace bulrush::telemetry
