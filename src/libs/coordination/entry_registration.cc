// The periodic check: one append if the record is missing, has another address
// or is old.
#include "coordination/entry_registration.h"

#include <boost/asio/io_context.hpp>
#include <random>
#include <utility>

namespace thornplank {

EntryRegistration::EntryRegistration(boost::asio::io_context& io,
                                     RecordStore& store, const JobBoard& board,
                                     EntryRegistrationSettings settings)
    : store_(store),
      board_(board),
      settings_(std::move(settings)),
      timer_(io) {}

void EntryRegistration::OnBoardCaughtUp() {
  if (checks_started_ || settings_.address.empty()) return;
  checks_started_ = true;
  std::mt19937 random(settings_.seed);
  std::uniform_int_distribution<int64_t> delay(
      0, settings_.max_initial_delay.count());
  ScheduleCheck(Milliseconds(delay(random)));
}

void EntryRegistration::ScheduleCheck(Milliseconds delay) {
  timer_.expires_after(delay);
  timer_.async_wait([this](const boost::system::error_code& code) {
    if (!code) CheckRecord();
  });
}

bool EntryRegistration::IsRecordCurrent() const {
  const auto record = board_.entries().find(settings_.instance);
  if (record == board_.entries().end()) return false;
  if (record->second.address != settings_.address) return false;
  const auto age = std::chrono::system_clock::now() - record->second.written;
  return age < settings_.refresh_interval && age > -settings_.refresh_interval;
}

void EntryRegistration::CheckRecord() {
  ScheduleCheck(settings_.check_interval);
  if (IsRecordCurrent()) return;
  AppendRequest request;
  request.partition = settings_.board;
  request.records = {JobBoard::Entry(
      settings_.instance,
      EntryRecord{settings_.address, std::chrono::system_clock::now()})};
  // If the answer is lost, the next check shows whether the record was stored.
  store_.Append(request, settings_.append_timeout, [](const AppendResult&) {});
}

std::vector<std::string> EntryRegistration::PeerAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [instance, record] : board_.entries()) {
    if (instance == settings_.instance) continue;
    addresses.push_back(record.address);
  }
  return addresses;
}

}  // namespace thornplank
