#pragma once

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

/** What the table's thread tells; called on that thread. */
struct member_handlers
{
  std::function<void(std::vector<membership::member_row>)> mOnRows;
  std::function<void()> mOnWritten;
};

struct read_members
{};
struct write_member
{
  membership::member_row mRow;
};
using member_request = std::variant<read_members, write_member>;

/** The table `members`, read and written on a thread of its own. */
class member_table
{
public:
  member_table(std::unique_ptr<io::table_store> aStore,
               member_handlers aHandlers);
  /** Stops. */
  ~member_table();
  member_table(const member_table&) = delete;
  member_table& operator=(const member_table&) = delete;

  /** Dropped where earlier requests have not been dealt with. */
  void Post(member_request aRequest);

  void Stop();

private:
  void Run();
  void Do(const member_request& aRequest);

  const std::unique_ptr<io::table_store> mStore;
  const member_handlers mHandlers;
  io::event_queue<member_request> mRequests;
  io::log_once mLoggedRows;
  std::thread mThread;
};

} // namespace gooseberry::agentd
