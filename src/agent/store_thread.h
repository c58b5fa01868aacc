#pragma once

#include "libgooseberry/entry/effects.h"
#include "libgooseberry/membership/members.h"
#include "libgooseberryio/event_queue.h"
#include "libgooseberryio/log_once.h"
#include "libgooseberryio/platform_client.h"

#include <functional>
#include <memory>
#include <thread>
#include <variant>
#include <vector>

namespace gooseberry::agentd {

/** What the thread reports; called on that thread. */
struct store_handlers
{
  std::function<void(std::vector<membership::member_row>)> mOnRows;
  std::function<void()> mOnWritten;
  /** With the send time of the read. */
  std::function<void(entry::configuration_row, core::instant)> mOnConfiguration;
  std::function<void()> mOnConfigurationFailed;
};

struct read_members
{};
struct write_member
{
  membership::member_row mRow;
};
struct read_configuration
{};
using store_request =
  std::variant<read_members, write_member, read_configuration>;

/** The agent's calls to the table service, on a thread of their own. */
class store_thread
{
public:
  store_thread(std::unique_ptr<io::table_store> aStore,
               store_handlers aHandlers);
  /** Stops. */
  ~store_thread();
  store_thread(const store_thread&) = delete;
  store_thread& operator=(const store_thread&) = delete;

  /** Dropped where earlier requests have not been dealt with. */
  void Post(store_request aRequest);

  void Stop();

private:
  void Run();
  void Do(const read_members& aRequest);
  void Do(const write_member& aRequest);
  void Do(const read_configuration& aRequest);

  const std::unique_ptr<io::table_store> mStore;
  const store_handlers mHandlers;
  io::event_queue<store_request> mRequests;
  io::log_once mLoggedRows;
  std::thread mThread;
};

} // namespace gooseberry::agentd
