#include "fake_entry.h"

#include <nlohmann/json.hpp>
#include <ulfius.h>

#include <arpa/inet.h>

#include <stdexcept>
#include <thread>

namespace gooseberry::tools::test {

using nlohmann::json;

namespace {

constexpr std::uint16_t kFirstPort = 26'000;
constexpr std::uint16_t kLastPort = 26'200;

json
ResultsFor(const json& aJob)
{
  const std::string key = aJob.at("team").get<std::string>() + "/" +
                          aJob.at("job").get<std::string>();
  json results = json::array();
  for (const json& task : aJob.at("tasks")) {
    const json payload = json::parse(task.at("payload").get<std::string>());
    results.push_back(
      json{ { "task", key + ":" + std::to_string(results.size()) },
            { "echo", payload.at("echo") } }
        .dump());
  }
  return results;
}

int
OnJob(const struct _u_request* aRequest,
      struct _u_response* aResponse,
      void* aEntry)
{
  auto& entry = *static_cast<fake_entry*>(aEntry);
  const json job =
    json::parse(std::string(static_cast<const char*>(aRequest->binary_body),
                            aRequest->binary_body_length));
  ++(job.at("attempt") == 1 ? entry.mSubmitted : entry.mResubmitted);
  std::this_thread::sleep_for(entry.mRunTime);
  json answer{ { "job", job.at("job") } };
  if (entry.mRefuses) {
    answer["outcome"] = "not_run";
    answer["reason"] = "full";
  } else {
    answer["outcome"] = "complete";
    answer["results"] = ResultsFor(job);
  }
  ulfius_set_string_body_response(
    aResponse, entry.mRefuses ? 503 : 200, answer.dump().c_str());
  return U_CALLBACK_CONTINUE;
}

int
OnCancel(const struct _u_request*, struct _u_response* aResponse, void* aEntry)
{
  ++static_cast<fake_entry*>(aEntry)->mCancelled;
  ulfius_set_string_body_response(aResponse, 200, "{}");
  return U_CALLBACK_CONTINUE;
}

void
StopServer(struct _u_instance* aInstance)
{
  ulfius_stop_framework(aInstance);
  ulfius_clean_instance(aInstance);
  delete aInstance;
}

} // namespace

void
Serve(fake_entry& aEntry)
{
  for (std::uint16_t port = kFirstPort; port < kLastPort; ++port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const std::shared_ptr<_u_instance> instance(new _u_instance{}, &StopServer);
    ulfius_init_instance(instance.get(), port, &address, nullptr);
    ulfius_add_endpoint_by_val(
      instance.get(), "POST", "/v1/jobs", nullptr, 0, &OnJob, &aEntry);
    ulfius_add_endpoint_by_val(
      instance.get(), "DELETE", "/v1/jobs/:id", nullptr, 0, &OnCancel, &aEntry);
    if (ulfius_start_framework(instance.get()) == U_OK) {
      aEntry.mAddress = "127.0.0.1:" + std::to_string(port);
      aEntry.mServer = instance;
      return;
    }
  }
  throw std::runtime_error("no free port");
}

} // namespace gooseberry::tools::test
