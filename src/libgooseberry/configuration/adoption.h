#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/message.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

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

/**
 * Longest text that is sent to processes that could read it themselves. In a
 * large fleet, copies of a longer one for all would fill slow links.
 */
inline constexpr std::size_t kMaxSentBytes = 8'192;

/** Identifies the text of a configuration; never 0, which stands for unknown.
 */
std::uint64_t
Digest(std::string_view aText);

/** A configuration, without its text. */
struct version
{
  core::generation mGeneration = 0;
  std::uint64_t mDigest = 0;
};

version
VersionOf(const core::versioned_configuration& aConfiguration);

/** The configuration in force at a process. */
struct in_force
{
  version mCurrent;
  core::generation mConfirmed = 0; ///< Version of the last read of it.
};

/** How a configuration relates to the one in force. */
enum class relation : std::uint8_t
{
  Same,       ///< Nothing to adopt.
  Renumbered, ///< The one in force, with a higher generation.
  Newer,      ///< Comes into force.
  Outdated,   ///< Was replaced before the one in force was confirmed.
};

/**
 * Takes over that the configuration in force was read to be the newest one at a
 * later version, by another process that has the same. What was read before
 * that version is `Outdated` from then on, although the text is as old as it
 * was: it may have been changed and changed back in between.
 */
void
TakeConfirmation(in_force& aInForce,
                 std::uint64_t aDigest,
                 core::generation aConfirmed);

/** Relation of a configuration that another process has. */
relation
CompareSent(const in_force& aInForce, const version& aSent);

/**
 * Relation of what a read returned, with the generation `numbering::ByRead`.
 * `Outdated` where a later read was handled before.
 */
relation
CompareRead(const in_force& aInForce, const version& aRead);

} // namespace gooseberry::configuration
