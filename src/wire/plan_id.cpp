#include "wire/control_codec.h"
#include "wire/generated/control.pb.h"

#include <array>
#include <xxhash.h>

namespace bulrush::wire {

namespace {

constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr int DigitBits = 6;
constexpr int ByteBits = 8;
constexpr std::size_t ChecksumBytes = 4;

/// Encodes as URL-safe base64 without padding.
std::string encodeBase64Url(const std::string &Bytes) {
  std::string Out;
  std::uint32_t Buffer = 0;
  int Bits = 0;
  for (const char C : Bytes) {
    Buffer = (Buffer << ByteBits) | static_cast<unsigned char>(C);
    Bits += ByteBits;
    while (Bits >= DigitBits) {
      Bits -= DigitBits;
      Out += Alphabet[(Buffer >> Bits) & 63U];
    }
  }
  if (Bits > 0)
    Out += Alphabet[(Buffer << (DigitBits - Bits)) & 63U];
  return Out;
}

std::optional<std::string> decodeBase64Url(std::string_view Text) {
  std::string Out;
  std::uint32_t Buffer = 0;
  int Bits = 0;
  for (const char C : Text) {
    const std::size_t Digit = Alphabet.find(C);
    if (Digit == std::string_view::npos)
      return std::nullopt;
    Buffer = (Buffer << DigitBits) | static_cast<std::uint32_t>(Digit);
    Bits += DigitBits;
    if (Bits < ByteBits)
      continue;
    Bits -= ByteBits;
    Out += static_cast<char>((Buffer >> Bits) & 255U);
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
  return encodeBase64Url(checksum(Bytes) + Bytes);
}

expected<control::plan> parsePlanId(std::string_view Text) {
  constexpr const char *Message = "plan: invalid plan id; allowed: the "
                                  "id returned by the plan request";
  const auto Bytes = decodeBase64Url(Text);
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
