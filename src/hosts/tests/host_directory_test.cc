#include "hosts/host_directory.h"

#include <criterion/criterion.h>

#include <string>

#include "base/error.h"

namespace meadowthread {
namespace {

constexpr char kList[] = R"({"as_of_unix_ms":5,"hosts":[
  {"name":"e1","role":"engine","address":"127.0.0.1","port":9101,
   "zone":"pasig-hall","state":"leaving","checks_fence":true},
  {"name":"b1","role":"backend","address":"::1","port":9,"service":"rounds"},
  {"name":"h1","role":"entry","address":"127.0.0.1","port":8080,
   "control_port":8081}]})";

Test(a_host_list, is_read_by_role_and_service) {
  const auto list = DecodeHostList(kList);
  cr_assert(list.ok());
  HostDirectory directory;
  cr_assert(directory.Apply(*list));
  cr_assert(directory.Find("e1")->leaving);
  cr_assert(directory.Find("e1")->checks_fence);
  const auto backends = directory.OfRole(HostRole::kBackend);
  cr_assert(backends.size() == 1 && backends[0]->service == "rounds");
  cr_assert(directory.Find("b1")->BaseUrl() == "http://[::1]:9");
  cr_assert(directory.Find("h1")->ControlUrl() == "http://127.0.0.1:8081");
}

Test(a_host_list, that_is_older_than_the_current_one_is_ignored) {
  HostDirectory directory;
  cr_assert(directory.Apply(*DecodeHostList(kList)));
  cr_assert(!directory.Apply({4, {}}));
  cr_assert(directory.Find("e1") != nullptr);
}

Test(a_host_list, that_is_invalid_gives_an_error_with_the_field) {
  const auto list =
      DecodeHostList(R"({"hosts":[{"name":"x","role":"engine"}]})");
  cr_assert(list.status().message().find("address") != absl::string_view::npos);
  for (const char* body : {"", "[]", "{}", "\xff", R"({"hosts":[3]})"}) {
    cr_assert(!DecodeHostList(body).ok());
  }
}

Test(a_host_list, with_invalid_entries_keeps_the_valid_ones) {
  const std::string deep =
      std::string(200'000, '[') + std::string(200'000, ']');
  for (const std::string& entry :
       {std::string("3"), std::string("null"), std::string("{}"), deep,
        std::string("{\"name\":\"\xff\"}"), std::string("{\"name\":NaN}"),
        std::string(R"({"name":"x","role":"engine"})"),
        std::string(R"({"name":"","role":"engine","address":"a","port":9})"),
        std::string(R"({"name":"x","role":"odd","address":"a","port":9})"),
        std::string(R"({"name":"x","role":"engine","address":"","port":9})"),
        std::string(R"({"name":"x","role":"engine","address":7,"port":9})"),
        std::string(R"({"name":"x","role":"engine","address":"a","port":"9"})"),
        std::string(R"({"name":"x","role":"engine","address":"a","port":-1})"),
        std::string(
            R"({"name":"x","role":"engine","address":"a","port":70000})"),
        std::string(R"({"name":"x","role":"engine","address":"a","port":9,)"
                    R"("control_port":4294967297})")}) {
    const auto list = DecodeHostList(
        R"({"as_of_unix_ms":5,"hosts":[)"
        R"({"name":"a","role":"engine","address":"127.0.0.1","port":1},)" +
        entry +
        R"(,{"name":"z","role":"entry","address":"127.0.0.1","port":2}]})");
    cr_assert(list.ok(), "%.60s", entry.c_str());
    cr_assert(list->hosts.size() == 2 && list->hosts[1].name == "z", "%.60s",
              entry.c_str());
    cr_assert(list->skipped_entries == 1 && !list->first_error.empty());
  }
}

}  // namespace
}  // namespace meadowthread
