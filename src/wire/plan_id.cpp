#include "wire/control_codec.h"
#include "wire/generated/control.pb.h"

#include <array>
#include <xxhash.h>

namespace bulrush::wire {

namespace {

constexpr std::string_view Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr int DigitBits = 6;
constexpr int ByteBits = 8;
constexpr std::size_t ChecksumBytes = 4;

/// Base 64 with the alphabet for URLs, without padding.
std::string toText(const std::string &Bytes) {
  std::string Out;
  std::uint32_t Held = 0;
  int Bits = 0;
  for (const char C : Bytes) {
    Held = (Held << ByteBits) | static_cast<unsigned char>(C);
    Bits += ByteBits;
    while (Bits >= DigitBits) {
      Bits -= DigitBits;
      Out += Digits[(Held >> Bits) & 63U];
    }
  }
  if (Bits > 0)
    Out += Digits[(Held << (DigitBits - Bits)) & 63U];
  return Out;
}

std::optional<std::string> toBytes(std::string_view Text) {
  std::string Out;
  std::uint32_t Held = 0;
  int Bits = 0;
  for (const char C : Text) {
    const std::size_t Digit = Digits.find(C);
    if (Digit == std::string_view::npos)
      return std::nullopt;
    Held = (Held << DigitBits) | static_cast<std::uint32_t>(Digit);
    Bits += DigitBits;
    if (Bits < ByteBits)
      continue;
    Bits -= ByteBits;
    Out += static_cast<char>((Held >> Bits) & 255U);
  }
  return Out;
}

std::string checksum(std::string_view Bytes) {
  const std::uint64_t Hash = XXH64(Bytes.data(), Bytes.size(), 0);
  std::string Out;
  for (std::size_t I = 0; I < ChecksumBytes; ++I)
    Out += static_cast<char>((Hash >> (I * ByteBits)) & 255U);
  return Out;
}

} // namespace

std::string planId(const control::plan &Plan) {
  class Plan Message;
  toProto(Plan, Message);
  const std::string Bytes = Message.SerializeAsString();
  return toText(checksum(Bytes) + Bytes);
}

expected<control::plan> parsePlanId(std::string_view Text) {
  constexpr const char *Message = "plan: not the id of a plan; allowed: the "
                                  "text that the plan request gave";
  const auto Bytes = toBytes(Text);
  if (!Bytes || Bytes->size() < ChecksumBytes)
    return fail(Message);
  const std::string Body = Bytes->substr(ChecksumBytes);
  class Plan Parsed;
  if (Bytes->substr(0, ChecksumBytes) != checksum(Body) ||
      !Parsed.ParseFromString(Body))
    return fail(Message);
  return fromProto(Parsed);
}

} // namespace bulrush::wire
