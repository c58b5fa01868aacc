#include "libgooseberry/configuration/change.h"
#include "libgooseberry/configuration/command.h"
#include "libgooseberry/configuration/desired_state.h"
#include "libgooseberry/configuration/text_coding.h"
#include "libgooseberry/configuration/value.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace gooseberry;
using namespace gooseberry::configuration;

namespace {

constexpr std::string_view kNameCharacters = "ABCXYZabcxyz0123456789._-";

rc::Gen<std::string>
AnyName()
{
  return rc::gen::exec([] {
    const auto size = *rc::gen::inRange<std::size_t>(1, kMaxNameBytes + 1);
    return *rc::gen::container<std::string>(
      size, rc::gen::elementOf(std::string(kNameCharacters)));
  });
}

rc::Gen<std::string>
AnyPattern()
{
  return rc::gen::apply(
    [](std::string aName, bool aHasStar) {
      if (aHasStar) {
        aName[aName.size() / 2] = '*';
      }
      return aName;
    },
    AnyName(),
    rc::gen::arbitrary<bool>());
}

failure_domain
AnyDomain()
{
  return { *AnyName(), *rc::gen::element(domain_state::In, domain_state::Out) };
}

service
AnyService(const std::map<std::string, failure_domain>& aDomains)
{
  constexpr int kMaxTargets = 12;
  service generated;
  generated.mTargets = *rc::gen::resize(
    kMaxTargets,
    rc::gen::nonEmpty(rc::gen::unique<std::vector<std::string>>(AnyPattern())));
  for (const auto& [name, domain] : aDomains) {
    if (*rc::gen::arbitrary<bool>()) {
      generated.mFailureDomains.push_back(name);
    }
  }
  generated.mMaxTries = *rc::gen::inRange<std::uint32_t>(1, 11);
  generated.mMaxTaskTime =
    std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(1, 600'001));
  return generated;
}

desired_state
AnyState()
{
  constexpr int kMaxSections = 8;
  const auto names = *rc::gen::resize(
    kMaxSections, rc::gen::unique<std::vector<std::string>>(AnyName()));
  desired_state state;
  state.mName = *AnyName();
  for (const auto& name : names) {
    state.mFailureDomains[name] = AnyDomain();
  }
  for (const auto& name : names) {
    state.mServices[name] = AnyService(state.mFailureDomains);
  }
  for (const auto& name : names) {
    state.mTeams[name].mQuotaSlots =
      *rc::gen::inRange<std::uint32_t>(0, 1'000'001);
  }
  return state;
}

constexpr std::string_view kFile = R"(; a comment
[state]
format = 1
name = tabcraft

[failure_domain brasov]
region = ro
state = out           ; a comment here as well
[failure_domain cluj]
region = ro
state = in
[service tab-order]
targets = tab-*,
  press-7
failure_domains = brasov
max_tries = 2
max_task_ms = 5000
[team notary]
quota_slots = 20
)";

desired_state
Tabcraft()
{
  return std::get<desired_state>(Parse(kFile, "tabcraft.ini"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_file)

BOOST_AUTO_TEST_CASE(every_key_is_read)
{
  const auto state = Tabcraft();
  BOOST_TEST(state.mName == "tabcraft");
  BOOST_TEST(!IsDomainIn(state, "brasov"));
  BOOST_TEST(IsDomainIn(state, "cluj"));
  BOOST_TEST(!IsDomainIn(state, "iasi"));
  const service expected{
    { "tab-*", "press-7" }, { "brasov" }, 2, std::chrono::seconds(5)
  };
  BOOST_TEST((state.mServices.at("tab-order") == expected));
  BOOST_TEST(state.mTeams.at("notary").mQuotaSlots == 20U);
}

BOOST_AUTO_TEST_CASE(lines_of_any_length_are_read)
{
  std::string names;
  for (int i = 0; i < 200; ++i) {
    names += (i == 0 ? "t-" : ", t-") + std::to_string(i);
  }
  const std::string text =
    "[state]\nformat = 1\nname = a\n; " + std::string(500, 'x') +
    "\n[service s" + std::string(300, 's') +
    "]  ; a comment\ntargets = " + names + ",\n  " + names.substr(0, 3) + "x" +
    std::string(50, ' ') + "; " + std::string(300, '=') + "\nmax_tries = 2\n";
  const auto read = Parse(text, "f");
  if (const auto* error = std::get_if<core::error>(&read)) {
    BOOST_FAIL(error->mReason);
  }
  const auto& state = std::get<desired_state>(read);
  const auto& service = state.mServices.at("s" + std::string(300, 's'));
  BOOST_TEST(service.mTargets.size() == 201U);
  BOOST_TEST(service.mTargets.at(157) == "t-157");
  BOOST_TEST(service.mTargets.back() == "t-0x");
  BOOST_TEST(service.mMaxTries == 2U);
}

BOOST_AUTO_TEST_CASE(one_name_has_one_form)
{
  for (const char* const text :
       { "", "%", "%4", "%41", "%2d", "%zz", "% 1", "%-1", "a b", "a,b" }) {
    BOOST_TEST_CONTEXT(text)
    {
      BOOST_TEST(!DecodeText(text).has_value());
    }
  }
  BOOST_TEST(!DecodeText(std::string(kMaxTextBytes + 1, 'a')).has_value());
  BOOST_TEST(DecodeText("a%2Cb%25%00c").value() == std::string("a,b%\0c", 6));
  BOOST_TEST(EncodeText("a/b") == "a%2Fb");
  BOOST_TEST(EncodePath("/a,b/") == "/a%2Cb/");
  BOOST_TEST(DecodePath("/a%2Cb/").value() == "/a,b/");
}

BOOST_AUTO_TEST_CASE(targets_match_by_pattern_and_domain)
{
  const auto orders = Tabcraft().mServices.at("tab-order");
  BOOST_TEST(MayServe(orders, "tab-", "brasov"));
  BOOST_TEST(MayServe(orders, "tab-12", "brasov"));
  BOOST_TEST(MayServe(orders, "press-7", "brasov"));
  BOOST_TEST(!MayServe(orders, "press-70", "brasov"));
  BOOST_TEST(!MayServe(orders, "tab-12", "cluj"));
  const service both{ { "a*a" }, {}, 1, {} };
  BOOST_TEST(!MayServe(both, "a", "cluj"));
  BOOST_TEST(MayServe(both, "aa", "cluj"));
}

BOOST_AUTO_TEST_CASE(windows_line_ends_and_byte_order_mark_are_accepted)
{
  const std::string text = "\xEF\xBB\xBF[state]\r\nformat = 1\r\nname = a\r\n";
  BOOST_TEST(std::get<desired_state>(Parse(text, "a.ini")).mName == "a");
}

BOOST_AUTO_TEST_CASE(format_is_read_back)
{
  BOOST_TEST(rc::check("Parse(Format(x)) == x", [] {
    const auto state = AnyState();
    const auto parsed = Parse(Format(state), "x.ini");
    RC_LOG(Format(state));
    if (const auto* problem = std::get_if<core::error>(&parsed)) {
      RC_FAIL(core::ToString(*problem));
    }
    RC_ASSERT(std::get<desired_state>(parsed) == state);
  }));
}

BOOST_AUTO_TEST_CASE(compare_is_empty_for_equal_states_only)
{
  BOOST_TEST(rc::check("Compare(x, y) is empty iff x == y", [] {
    const auto before = AnyState();
    auto after = before;
    if (*rc::gen::arbitrary<bool>()) {
      after = AnyState();
    } else if (!after.mTeams.empty()) {
      after.mTeams.begin()->second.mQuotaSlots =
        *rc::gen::inRange<std::uint32_t>(0, 3);
    }
    RC_ASSERT(Compare(before, after).empty() == (before == after));
    RC_ASSERT(Compare(before, before).empty());
  }));
}

BOOST_AUTO_TEST_CASE(changes_read_as_lines)
{
  const auto before = Tabcraft();
  auto after = before;
  after.mTeams.clear();
  after.mTeams["press"] = {};
  after.mServices.at("tab-order").mFailureDomains.clear();
  std::string lines;
  for (const auto& change : Compare(before, after)) {
    lines += ToString(change) + "\n";
  }
  BOOST_TEST(lines == "changed [service tab-order] failure_domains: brasov -> "
                      "(not set)\n"
                      "removed [team notary]\n"
                      "added [team press]\n");
}

BOOST_AUTO_TEST_CASE(each_change_from_the_empty_state_is_listed_once)
{
  desired_state named;
  named.mName = "a";
  const change expected{ change_kind::Changed, "state", "name", "", "a" };
  BOOST_TEST((Compare({}, named) == std::vector<change>{ expected }));
}

BOOST_AUTO_TEST_CASE(inverse_command_restores_the_state)
{
  BOOST_TEST(rc::check("the inverse command restores the state", [] {
    const auto before = AnyState();
    RC_PRE(!before.mFailureDomains.empty());
    auto state = before;
    const auto domain = *rc::gen::elementOf(before.mFailureDomains);
    const auto target = *rc::gen::element(domain_state::In, domain_state::Out);
    const auto inverse =
      std::get<domain_command>(SetDomainState(state, domain.first, target));
    RC_ASSERT(IsDomainIn(state, domain.first) == (target == domain_state::In));
    SetDomainState(state, inverse.mDomain, inverse.mState);
    RC_ASSERT(state == before);
  }));
}

BOOST_AUTO_TEST_CASE(command_on_undeclared_domain_changes_nothing)
{
  auto state = Tabcraft();
  const auto done = SetDomainState(state, "iasi", domain_state::Out);
  BOOST_REQUIRE(std::holds_alternative<core::error>(done));
  BOOST_TEST(core::ToString(std::get<core::error>(done)) ==
             "set state of failure domain: expected a declared failure domain, "
             "got \"iasi\"");
  BOOST_TEST((state == Tabcraft()));
}

BOOST_AUTO_TEST_SUITE_END()
