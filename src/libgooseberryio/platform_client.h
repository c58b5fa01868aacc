#pragma once

#include "libgooseberry/core/error.h"
#include "libgooseberry/core/time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberry::io {

/** Version of a row; grows by 1 with each write to its key. */
using row_version = std::uint64_t;

/** As the expected version of a write: the row must not exist. */
inline constexpr row_version kAbsent = 0;

struct table_row
{
  std::string mKey;
  std::string mValue;
  row_version mVersion = kAbsent;
};

/** There is no such row or object. */
struct not_found
{};

/** A conditional write that did not take place: the row has changed. */
struct write_conflict
{
  /** The row as it is now; none where it does not exist. */
  std::optional<table_row> mCurrent;
};

/** The version that a write gave the row. */
struct row_written
{
  row_version mVersion = kAbsent;
};

struct row_deleted
{};

struct object_stored
{};

using read_result = std::variant<table_row, not_found, core::error>;
using list_result = std::variant<std::vector<table_row>, core::error>;
using write_result = std::variant<row_written, write_conflict, core::error>;
using delete_result = std::variant<row_deleted, write_conflict, core::error>;
using put_result = std::variant<object_stored, core::error>;
using get_result = std::variant<std::string, not_found, core::error>;

struct platform_settings
{
  std::string mUrl; ///< `http://IP:PORT`
  core::duration mDeadline = std::chrono::milliseconds(500); ///< Of a request.
  /** Of one operation with all its retries and read-backs. */
  core::duration mBudget = std::chrono::seconds(3);
  core::duration mFirstPause = std::chrono::milliseconds(20);
  core::duration mMaxPause = std::chrono::milliseconds(500);
};

/** Reason of an error where it is unknown whether a write took effect. */
inline constexpr const char* kUnsettled = "unsettled";

/** Rows of the platform's table service; for any thread, and may block. */
class table_store
{
public:
  virtual ~table_store() = default;

  virtual read_result ReadRow(const std::string& aTable,
                              const std::string& aKey) = 0;
  virtual list_result ListRows(const std::string& aTable) = 0;
  /**
   * Writes a row where its version is `aExpected` (`kAbsent`: there is none),
   * or in any case where that is not given.
   */
  virtual write_result WriteRow(const std::string& aTable,
                                const std::string& aKey,
                                const std::string& aValue,
                                std::optional<row_version> aExpected) = 0;
  /** Deletes a row; one that is absent counts as deleted. */
  virtual delete_result DeleteRow(const std::string& aTable,
                                  const std::string& aKey,
                                  std::optional<row_version> aExpected) = 0;
  /** Ends retries, now and later; operations then fail early. */
  virtual void Stop() = 0;
};

/** Makes a process's client of the store. */
using store_factory = std::function<std::unique_ptr<table_store>()>;

/**
 * The platform's table service and object store. For any thread; blocks up to
 * the budget. Failures are retried with jitter. A write whose answer was lost
 * is settled by reading the row back, which carries the id of the request that
 * wrote it: ours means success, another's a conflict. Where that cannot be
 * known, the error's reason begins with `kUnsettled`.
 */
class platform_client : public table_store
{
public:
  explicit platform_client(const platform_settings& aSettings);
  ~platform_client() override;
  platform_client(const platform_client&) = delete;
  platform_client& operator=(const platform_client&) = delete;

  read_result ReadRow(const std::string& aTable,
                      const std::string& aKey) override;
  list_result ListRows(const std::string& aTable) override;
  write_result WriteRow(const std::string& aTable,
                        const std::string& aKey,
                        const std::string& aValue,
                        std::optional<row_version> aExpected) override;
  delete_result DeleteRow(
    const std::string& aTable,
    const std::string& aKey,
    std::optional<row_version> aExpected = std::nullopt) override;
  put_result PutObject(const std::string& aName, const std::string& aBytes);
  get_result GetObject(const std::string& aName);

  void Stop() override;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace gooseberry::io
