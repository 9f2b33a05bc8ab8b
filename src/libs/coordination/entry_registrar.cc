// Checks of records, and one append for all that are to be written.
#include "coordination/entry_registrar.h"

#include <boost/asio/io_context.hpp>
#include <utility>

namespace thornplank {

EntryRegistrar::EntryRegistrar(boost::asio::io_context& io, RecordStore& store,
                               const JobBoard& board,
                               EntryRegistrarSettings settings)
    : store_(store),
      board_(board),
      settings_(std::move(settings)),
      check_timer_(io),
      write_timer_(io) {}

EntryRegistrar::~EntryRegistrar() { *alive_ = false; }

void EntryRegistrar::Start(const std::string& instance,
                           const EntryRecord& record) {
  own_instance_ = instance;
  own_record_ = record;
  CheckOwnRecord();
}

void EntryRegistrar::CheckOwnRecord() {
  OnIntroduction(own_instance_, own_record_);
  check_timer_.expires_after(settings_.check_interval);
  check_timer_.async_wait(
      [this, alive = alive_](const boost::system::error_code& code) {
        if (!code && *alive) CheckOwnRecord();
      });
}

void EntryRegistrar::OnIntroduction(const std::string& instance,
                                    const EntryRecord& record) {
  if (record.address.empty() || IsCurrent(instance, record)) return;
  const bool first = pending_.empty();
  pending_[instance] = record;
  if (!first) return;
  write_timer_.expires_after(settings_.write_delay);
  write_timer_.async_wait(
      [this, alive = alive_](const boost::system::error_code& code) {
        if (!code && *alive) WritePending();
      });
}

bool EntryRegistrar::IsCurrent(const std::string& instance,
                               const EntryRecord& record) const {
  const auto stored = board_.entries().find(instance);
  if (stored == board_.entries().end()) return false;
  const EntryRecord& known = stored->second;
  const bool same = known.address == record.address &&
                    known.failure_domain == record.failure_domain;
  if (!same) return false;
  const auto age = std::chrono::system_clock::now() - known.written;
  return age < settings_.refresh_interval && age > -settings_.refresh_interval;
}

// If the answer is lost, the next check or introduction shows whether the
// records were stored.
void EntryRegistrar::WritePending() {
  AppendRequest request;
  request.partition = settings_.board;
  for (auto& [instance, record] : std::exchange(pending_, {})) {
    EntryRecord written = record;
    written.written = std::chrono::system_clock::now();
    request.records.push_back(JobBoard::Entry(instance, written));
  }
  store_.Append(request, settings_.append_timeout, [](const AppendResult&) {});
}

}  // namespace thornplank
