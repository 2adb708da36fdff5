#include "settings/entry_settings.h"

#include "settings/json_reader.h"
#include "settings/paths.h"

namespace bulrush::settings {

namespace {

constexpr double MaxCount = 1'000'000;
constexpr double MaxMillis = 3'600'000;
constexpr double MaxBytes = 1 << 30;

void readCallers(object_reader &Reader, caller_limits &Out) {
  const auto Count = [&](const char *Key, std::size_t Fallback) {
    return Reader.whole<std::size_t>(
        Key, {.Least = 1,
              .Most = MaxCount,
              .Fallback = static_cast<double>(Fallback)});
  };
  Out.MaxConnections = Count("maxConnections", Out.MaxConnections);
  Out.MaxPipelined = Count("maxPipelined", Out.MaxPipelined);
  Out.MaxBodyBytes = Reader.whole<std::size_t>(
      "maxBodyBytes", {.Least = 1,
                       .Most = MaxBytes,
                       .Fallback = static_cast<double>(Out.MaxBodyBytes)});
  Out.MaxMemoryBytes = Reader.whole<std::size_t>(
      "maxMemoryBytes", {.Least = 1,
                         .Most = MaxBytes,
                         .Fallback = static_cast<double>(Out.MaxMemoryBytes)});
  Out.IdleTimeout = Reader.duration(
      "idleTimeoutMs",
      {.Least = 100, .Most = MaxMillis, .Fallback = Out.IdleTimeout.Count});
  Out.WriteTimeout = Reader.duration(
      "writeTimeoutMs",
      {.Least = 100, .Most = MaxMillis, .Fallback = Out.WriteTimeout.Count});
}

void readRouter(object_reader &Reader, query::router_settings &Out) {
  const std::string Policy = Reader.text("snapshotPolicy", "mostCoverage");
  if (Policy == "newest")
    Out.Snapshot.Policy = query::snapshot_policy::newest;
  else if (Policy != "mostCoverage")
    Reader.reject("snapshotPolicy", "mostCoverage or newest");
  Out.Hedge.Enabled = Reader.flag("hedging", Out.Hedge.Enabled);
  Out.Hedge.Quantile = Reader.number(
      "hedgeQuantile",
      {.Least = 0.5, .Most = 0.999, .Fallback = Out.Hedge.Quantile});
  Out.Hedge.MinDelay = Reader.duration(
      "hedgeMinDelayMs",
      {.Least = 0, .Most = MaxMillis, .Fallback = Out.Hedge.MinDelay.Count});
  Out.RetryAfter = Reader.duration(
      "retryAfterMs",
      {.Least = 1, .Most = MaxMillis, .Fallback = Out.RetryAfter.Count});
  Out.ExplainQueries = Reader.whole<std::uint32_t>(
      "explainQueries", {.Least = 0,
                         .Most = MaxCount,
                         .Fallback = static_cast<double>(Out.ExplainQueries)});
  Out.Seed = Reader.whole<std::uint64_t>(
      "seed", {.Least = 0, .Fallback = static_cast<double>(Out.Seed)});
}

void readOwner(object_reader &Reader, query::owner_settings &Out) {
  const std::string Admission = Reader.text("admission", "weightedDeadline");
  if (Admission == "fifo")
    Out.Admission = query::admission_policy::fifo;
  else if (Admission != "weightedDeadline")
    Reader.reject("admission", "weightedDeadline or fifo");
  const std::string Cold = Reader.text("coldStart", "inferred");
  if (Cold == "trustHealth")
    Out.Cold = query::cold_policy::trust_health;
  else if (Cold != "inferred")
    Reader.reject("coldStart", "inferred or trustHealth");
  Out.MaxQueued = Reader.whole<std::size_t>(
      "maxQueued", {.Least = 1,
                    .Most = MaxCount,
                    .Fallback = static_cast<double>(Out.MaxQueued)});
  Out.RampReplies = Reader.whole<std::uint32_t>(
      "rampReplies", {.Least = 1,
                      .Most = MaxCount,
                      .Fallback = static_cast<double>(Out.RampReplies)});
  Out.HealthPeriod = Reader.duration(
      "healthPeriodMs",
      {.Least = 10, .Most = MaxMillis, .Fallback = Out.HealthPeriod.Count});
  Out.ReportPeriod = Reader.duration(
      "reportPeriodMs",
      {.Least = 10, .Most = MaxMillis, .Fallback = Out.ReportPeriod.Count});
}

} // namespace

expected<entry_settings> loadEntrySettings(const std::string &Path, vm_id Vm) {
  const auto Text = readFile(Path);
  if (!Text)
    return fail(Text.error());
  entry_settings Out;
  std::string DeploymentFile;
  const auto Read = readObject(*Text, Path, [&](object_reader &Reader) {
    DeploymentFile = resolvePath(Path, Reader.text("deployment"));
    Out.LogLevel = Reader.text("logLevel", Out.LogLevel);
    if (!isLogLevel(Out.LogLevel))
      Reader.reject("logLevel", LogLevels);
    Out.KeysFile = resolvePath(Path, Reader.text("keysFile", ""));
    Reader.object("callers", [&](object_reader &Inner) {
      readCallers(Inner, Out.Callers);
    });
    Reader.object("router",
                  [&](object_reader &Inner) { readRouter(Inner, Out.Router); });
    Reader.object("owner",
                  [&](object_reader &Inner) { readOwner(Inner, Out.Owner); });
    Out.StopBound = Reader.duration(
        "stopBoundMs",
        {.Least = 0, .Most = MaxMillis, .Fallback = Out.StopBound.Count});
    Out.Testing = Reader.flag("testing", false);
  });
  if (!Read)
    return fail(Read.error());
  const auto Found =
      loadDeploymentAndVm(DeploymentFile, Vm, Out.Deployment, Out.Self);
  if (!Found)
    return fail(Found.error());
  return Out;
}

} // namespace bulrush::settings
