#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "cli/await.h"
#include "cli/entry_hosts.h"
#include "cli/operator_options.h"
#include "cli/platform_command.h"
#include "cli/quarantine_commands.h"
#include "quarantine/content_key.h"
#include "quarantine/crash_messages.h"

namespace meadowthread {
namespace {

// Hosts update the same object while servers crash, so that a conditional write
// may conflict.
constexpr int kAttempts = 6;

enum class QuarantineAction { kKeep, kLift };

/// @brief Writes an operator's quarantine decision to the store. The write is
/// idempotent, so an unknown result is simply retried.
class QuarantineUpdate {
 public:
  QuarantineUpdate(Platform& platform, std::string content,
                   QuarantineAction action, std::int64_t now_unix_ms)
      : platform(platform),
        content(std::move(content)),
        action(action),
        now_unix_ms(now_unix_ms) {}

  CommandResult Run() {
    absl::Status last = absl::OkStatus();
    for (int n = 0; n < kAttempts; ++n) {
      const absl::StatusOr<StoredObject> current =
          AwaitGet(this->platform, kQuarantineKind, this->content);
      if (!current.ok()) {
        last = current.status();
        if (DetailOf(last).id == ErrorId::kNotFound) {
          return FailedResult(last);
        }
        continue;
      }
      const absl::StatusOr<CrashRecord> record =
          DecodeCrashRecord(current->name, current->value);
      if (!record.ok()) {
        return FailedResult(record.status());
      }
      const absl::StatusOr<StoredObject> written =
          this->Write(*current, *record);
      if (written.ok()) {
        return this->ToCommandResult(*written);
      }
      last = written.status();
    }
    return FailedResult(last);
  }

 private:
  absl::StatusOr<StoredObject> Write(const StoredObject& current,
                                     CrashRecord record) {
    if (this->action == QuarantineAction::kKeep) {
      record.kept_ms = this->now_unix_ms;
    } else {
      record.cleared_ms = this->now_unix_ms;
    }
    StoredObject next = current;
    next.value = EncodeCrashRecord(record);
    const absl::StatusOr<std::int64_t> version = Await<std::int64_t>(
        this->platform,
        StoreError(ErrorId::kStoreUnknown, "put", kQuarantineKind),
        [&](const ObjectStore::PutDone& done) {
          this->platform.Store().Put(kQuarantineKind, next.name, next.value,
                                     current.version, done);
        });
    if (!version.ok()) {
      return version.status();
    }
    next.version = *version;
    return next;
  }

  CommandResult ToCommandResult(const StoredObject& written) {
    CommandResult result;
    result.json["content"] = written.name;
    result.json["version"] = written.version;
    result.text = absl::StrCat(
        this->action == QuarantineAction::kKeep ? "kept" : "lifted", ": ",
        written.name, " as version ", written.version, "\n");
    const PushReport pushed = PushToEntryHosts(this->platform, written);
    result.json["offered"] = pushed.Json();
    result.text += pushed.Text();
    return result;
  }

  Platform& platform;
  std::string content;
  QuarantineAction action;
  std::int64_t now_unix_ms;
};

class ChangeInvocation final : public Invocation {
 public:
  ChangeInvocation(TCLAP::CmdLine& line, QuarantineAction action,
                   const Clock& clock)
      : content("content",
                "the key of the content or part, as shown by "
                "`quarantine list`",
                true, "", "CONTENT", line),
        action(action),
        clock(clock) {}

  CommandResult Run(const RunContext& context) override {
    if (!IsContentKey(this->content.getValue())) {
      return UsageResult("CONTENT must be 32 hexadecimal digits");
    }
    return QuarantineUpdate(context.platform, this->content.getValue(),
                            this->action, this->clock.WallMs())
        .Run();
  }

 private:
  TCLAP::UnlabeledValueArg<std::string> content;
  QuarantineAction action;
  const Clock& clock;
};

class ChangeCommand final : public PlatformCommand {
 public:
  ChangeCommand(PlatformConnector& connector, const CommandHelp& help,
                QuarantineAction action, const Clock& clock)
      : PlatformCommand(connector, help), action(action), clock(clock) {}

 protected:
  std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& line) override {
    return std::make_unique<ChangeInvocation>(line, this->action, this->clock);
  }

 private:
  QuarantineAction action;
  const Clock& clock;
};

constexpr char kExample[] = "3f0c1d5be2a94477a1b0c9d8e7f60512";

}  // namespace

std::unique_ptr<Command> MakeQuarantineKeepCommand(PlatformConnector& connector,
                                                   const Clock& clock) {
  const CommandHelp help = {
      "quarantine keep",
      "quarantines a content until an operator lifts it",
      "A quarantine normally expires, and one more server crash starts the "
      "next one. With\nthis command no host sends such a request to any "
      "server until an operator lifts it.",
      {absl::StrCat("meadowthread quarantine keep ", kExample)}};
  return std::make_unique<ChangeCommand>(connector, help,
                                         QuarantineAction::kKeep, clock);
}

std::unique_ptr<Command> MakeQuarantineLiftCommand(PlatformConnector& connector,
                                                   const Clock& clock) {
  const CommandHelp help = {
      "quarantine lift",
      "lifts the quarantine of a content",
      "Server crashes up to now no longer count against the content: the next "
      "such request\nis sent to a server. Three more crashes quarantine it "
      "again.",
      {absl::StrCat("meadowthread quarantine lift ", kExample)}};
  return std::make_unique<ChangeCommand>(connector, help,
                                         QuarantineAction::kLift, clock);
}

}  // namespace meadowthread
