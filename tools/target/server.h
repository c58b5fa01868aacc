#pragma once

#include "target/target.h"

#include <memory>

namespace gooseberry::tools::target {

/** The HTTP side of one target; it serves until destroyed. */
struct server;

struct server_deleter
{
  void operator()(server* aServer) const;
};
using server_ptr = std::unique_ptr<server, server_deleter>;

/** Serves `aTarget`, which must outlive the server, on its address. */
core::result<server_ptr>
Serve(target_state& aTarget);

} // namespace gooseberry::tools::target
