#include "relay/catalog.h"

#include <algorithm>

namespace bulrush::relay {

const service *catalog::find(const service_name &Name) const {
  const auto Found =
      std::find_if(Services.begin(), Services.end(),
                   [&](const service &Each) { return Each.Name == Name; });
  return Found == Services.end() ? nullptr : &*Found;
}

} // namespace bulrush::relay
