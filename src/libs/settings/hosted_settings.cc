// Keys and ranges of the hosted entry's settings.
#include "settings/hosted_settings.h"

#include "settings/settings_reader.h"

namespace thornplank {
namespace {

constexpr DurationRange kBoundRange{Milliseconds(500), Milliseconds(3600000)};
constexpr NumberRange kShareRange{0, 1024, /*above_min=*/true};

}  // namespace

void ReadHostedKeys(SettingsReader& reader, HostedSettings* settings) {
  reader.Text("name", Presence::kRequired, NameText(), &settings->name);
  reader.Text("failure_domain", Presence::kRequired, NonEmptyText(),
              &settings->failure_domain);
  reader.Text("listen_callers", Presence::kRequired, ListenAddressText(),
              &settings->listen_callers);
  reader.Text("listen_readiness", Presence::kRequired, ListenAddressText(),
              &settings->listen_readiness);
  reader.Text("listen_metrics", Presence::kOptional, ListenAddressText(),
              &settings->listen_metrics);
  reader.Text("store_address", Presence::kRequired, AddressText(),
              &settings->store_address);
  reader.Number("processor_share", Presence::kOptional, kShareRange,
                &settings->processor_share);
  reader.Choose("log_level", Presence::kOptional,
                std::vector<std::pair<std::string, Severity>>{
                    {"debug", Severity::kDebug},
                    {"info", Severity::kInfo},
                    {"warning", Severity::kWarning},
                    {"error", Severity::kError}},
                &settings->log_level);
  reader.Duration("revocation_bound_ms", Presence::kOptional, kBoundRange,
                  &settings->revocation_bound);
  reader.Duration("state_kept_ms", Presence::kOptional, kBoundRange,
                  &settings->state_kept);
  reader.Duration("stop_grace_ms", Presence::kOptional, kBoundRange,
                  &settings->stop_grace);
}

std::optional<HostedSettings> ReadHostedSettings(const std::string& path,
                                                 Error* error) {
  return ReadSettingsFile<HostedSettings>(path, ReadHostedKeys, error);
}

}  // namespace thornplank
