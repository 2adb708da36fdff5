#include "settings/paths.h"

#include "settings/deployment.h"

#include <algorithm>
#include <filesystem>

namespace bulrush::settings {

namespace {

/// Returns the vm with this id, or an error that names `File`.
expected<vm> findVm(const deployment &Deployment, vm_id Id,
                    const std::string &File) {
  const auto Found =
      std::find_if(Deployment.Vms.begin(), Deployment.Vms.end(),
                   [&](const vm &Each) { return Each.Id == Id; });
  if (Found != Deployment.Vms.end())
    return *Found;
  return fail(File + ": /vms: found no vm with id " + std::to_string(Id.Value) +
              ", allowed is the id of a vm of the deployment");
}

} // namespace

std::string resolvePath(const std::string &File, const std::string &Path) {
  if (Path.empty())
    return Path;
  return (std::filesystem::path(File).parent_path() / Path).string();
}

expected<void> loadDeploymentAndVm(const std::string &Path, vm_id Vm,
                                   deployment &Deployment, vm &Self) {
  auto Loaded = loadDeployment(Path);
  if (!Loaded)
    return fail(Loaded.error());
  Deployment = std::move(*Loaded);
  const auto Found = findVm(Deployment, Vm, Path);
  if (!Found)
    return fail(Found.error());
  Self = *Found;
  return {};
}

bool isLogLevel(const std::string &Text) {
  return Text == "debug" || Text == "info" || Text == "warning" ||
         Text == "error";
}

} // namespace bulrush::settings
