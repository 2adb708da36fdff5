#include "settings/control_settings.h"

#include "settings/json_reader.h"
#include "settings/paths.h"

namespace bulrush::settings {

expected<control_settings> loadControlSettings(const std::string &Path,
                                               vm_id Vm) {
  constexpr double MaxSnapshotEvery = 1'000'000;
  constexpr double MaxMillis = 3'600'000;
  const auto Text = readFile(Path);
  if (!Text)
    return fail(Text.error());
  control_settings Out;
  std::string DeploymentFile;
  const auto Read = readObject(*Text, Path, [&](object_reader &Reader) {
    DeploymentFile = resolvePath(Path, Reader.text("deployment"));
    Out.LogLevel = Reader.text("logLevel", Out.LogLevel);
    if (!isLogLevel(Out.LogLevel))
      Reader.reject("logLevel", LogLevels);
    Out.DataFolder = resolvePath(Path, Reader.text("dataFolder"));
    Out.KeysFile = resolvePath(Path, Reader.text("keysFile", ""));
    Out.OperatorsFile = resolvePath(Path, Reader.text("operatorsFile", ""));
    Out.SnapshotEvery = Reader.whole<std::size_t>(
        "snapshotEvery", {.Least = 8,
                          .Most = MaxSnapshotEvery,
                          .Fallback = static_cast<double>(Out.SnapshotEvery)});
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
  if (!Out.Self.HasDisk)
    return fail(DeploymentFile + ": /vms: vm " + std::to_string(Vm.Value) +
                ": found \"disk\": false, allowed for a control voter is true");
  return Out;
}

} // namespace bulrush::settings
