#include "store/log_file.h"

#include <cstring>
#include <optional>
#include <xxhash.h>

namespace bulrush::store {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t ChecksumBytes = 8;
constexpr std::size_t HeaderBytes = LengthBytes + ChecksumBytes;

std::string temporaryName(const std::string &Name) { return Name + ".new"; }

// Includes the offset, so that a record is valid at its own position only.
std::uint64_t checksum(std::string_view Payload, std::uint64_t Offset) {
  return XXH3_64bits_withSeed(Payload.data(), Payload.size(),
                              Offset ^ (std::uint64_t{Payload.size()} << 32));
}

template <class Number> void putNumber(std::string &Out, Number Value) {
  for (std::size_t I = 0; I < sizeof(Number); ++I)
    Out.push_back(static_cast<char>(Value >> (8 * I)));
}

template <class Number> Number getNumber(std::string_view Bytes) {
  Number Value = 0;
  for (std::size_t I = 0; I < sizeof(Number); ++I)
    Value |= Number{static_cast<unsigned char>(Bytes[I])} << (8 * I);
  return Value;
}

std::optional<std::string_view> recordAt(std::string_view Bytes,
                                         std::uint64_t Offset) {
  const std::string_view Remaining = Bytes.substr(Offset);
  if (Remaining.size() < HeaderBytes)
    return std::nullopt;
  const auto Length = getNumber<std::uint32_t>(Remaining);
  if (Length == 0 || Length > Remaining.size() - HeaderBytes)
    return std::nullopt;
  const std::string_view Payload = Remaining.substr(HeaderBytes, Length);
  if (getNumber<std::uint64_t>(Remaining.substr(LengthBytes)) !=
      checksum(Payload, Offset))
    return std::nullopt;
  return Payload;
}

bool hasRecordAfter(std::string_view Bytes, std::uint64_t Offset) {
  for (std::uint64_t I = Offset + 1; I < Bytes.size(); ++I)
    if (recordAt(Bytes, I))
      return true;
  return false;
}

} // namespace

std::string frameRecord(std::string_view Payload, std::uint64_t Offset) {
  std::string Out;
  Out.reserve(HeaderBytes + Payload.size());
  putNumber(Out, static_cast<std::uint32_t>(Payload.size()));
  putNumber(Out, checksum(Payload, Offset));
  Out += Payload;
  return Out;
}

expected<log_contents> parseLog(std::string_view Bytes,
                                const std::string &Name) {
  log_contents Contents;
  while (Contents.ValidBytes < Bytes.size()) {
    const auto Payload = recordAt(Bytes, Contents.ValidBytes);
    if (!Payload)
      break;
    Contents.Records.emplace_back(*Payload);
    Contents.ValidBytes += HeaderBytes + Payload->size();
  }
  // The first record is synced before the file gets its name, so it is never
  // torn. A search for others would hash most of a large file at each byte.
  if (Contents.Records.empty())
    return fail(Name + ": damaged record at byte 0");
  Contents.TornBytes = Bytes.size() - Contents.ValidBytes;
  if (Contents.TornBytes > 0 && hasRecordAfter(Bytes, Contents.ValidBytes))
    return fail(Name + ": damaged record at byte " +
                std::to_string(Contents.ValidBytes) +
                ", valid records follow it");
  return Contents;
}

disk_result<std::uint64_t> log_file::createTemporary(disk &Disk,
                                                     const std::string &Name) {
  const std::string Temporary = temporaryName(Name);
  if (auto Removed = Disk.remove(Temporary); !Removed)
    return tl::unexpected<disk_error>(Removed.error());
  if (auto Opened = Disk.open(Temporary); !Opened)
    return tl::unexpected<disk_error>(Opened.error());
  return Disk.fileId(Temporary);
}

disk_result<log_file> log_file::publishTemporary(disk &Disk,
                                                 const std::string &Name,
                                                 std::string_view FirstRecord) {
  const std::string Temporary = temporaryName(Name);
  auto File = Disk.open(Temporary);
  if (!File)
    return tl::unexpected<disk_error>(File.error());
  log_file Result(std::move(*File), 0);
  if (auto Written = Result.append(FirstRecord); !Written)
    return tl::unexpected<disk_error>(Written.error());
  if (auto Renamed = Disk.rename(Temporary, Name); !Renamed)
    return tl::unexpected<disk_error>(Renamed.error());
  if (auto Synced = Disk.syncDirectory(); !Synced)
    return tl::unexpected<disk_error>(Synced.error());
  return Result;
}

disk_result<void> log_file::append(std::string_view Payload) {
  if (HasFailed)
    return tl::unexpected<disk_error>(
        disk_error{disk_fault::other, "an earlier write failed"});
  HasFailed = true;
  const std::string Record = frameRecord(Payload, Size);
  if (auto Written = File->append(Record); !Written)
    return Written;
  if (auto Synced = File->sync(); !Synced)
    return Synced;
  Size += Record.size();
  HasFailed = false;
  return {};
}

disk_result<void> replaceFile(disk &Disk, const std::string &Name,
                              std::string_view Payload) {
  auto Done =
      log_file::create(Disk, Name, [&](std::uint64_t) { return Payload; });
  if (!Done)
    return tl::unexpected<disk_error>(Done.error());
  return {};
}

expected<std::string> parseSingleRecord(std::string_view Bytes,
                                        const std::string &Name) {
  const auto Payload = recordAt(Bytes, 0);
  if (!Payload || Payload->size() + HeaderBytes != Bytes.size())
    return fail(Name + ": damaged, checksum mismatch");
  return std::string(*Payload);
}

} // namespace bulrush::store
