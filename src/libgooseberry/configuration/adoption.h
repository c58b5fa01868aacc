#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/message.h"

#include <cstdint>

/** Which of two configurations is the later one. */
namespace gooseberry::configuration {

/** What the generation of a stored configuration is. */
enum class numbering : std::uint8_t
{
  Stored, ///< Written with it, and incremented by each change.
  /**
   * The version of the table service at the read that returned it, as nothing
   * numbers the rows of operators who write them directly. That version is not
   * below the last change and is below the next one. A process that reads the
   * same configuration again cannot tell whether it was changed and changed
   * back in between.
   */
  ByRead,
};
inline constexpr core::enum_names<numbering, 2> kNumberingNames{
  { "stored", "by_read" }
};

/** The configuration in force at a process. */
struct in_force
{
  const core::versioned_configuration& mCurrent;
  core::generation mConfirmed; ///< Version of the last read that returned it.
};

/** How a configuration relates to the one in force. */
enum class relation : std::uint8_t
{
  Same,     ///< Nothing to adopt.
  Newer,    ///< Comes into force.
  Outdated, ///< Was replaced before the one in force was confirmed.
};

/** Relation of a configuration that another process has sent. */
relation
CompareSent(const in_force& aInForce,
            const core::versioned_configuration& aSent);

/**
 * Relation of what a read returned, with the generation `numbering::ByRead`.
 * `Outdated` where a later read was handled before.
 */
relation
CompareRead(const in_force& aInForce,
            const core::versioned_configuration& aRead);

} // namespace gooseberry::configuration
