#include "damaskgate/operations/operationtable.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace damaskgate::operations {

namespace {

constexpr std::size_t MaxIdSize = 128; //!< in characters

bool isValidId(std::string_view id)
{
    const auto isVisible = [](char c) {
        return c > ' ' && c < 0x7f;
    };
    return !id.empty() && id.size() <= MaxIdSize && std::ranges::all_of(id, isVisible);
}

} // namespace

std::size_t OperationTable::IdHash::operator()(const OperationId &id) const noexcept
{
    std::size_t value = 0;
    std::memcpy(&value, id.data(), sizeof(value));
    return value;
}

OperationTable::OperationTable(OperationOptions options) : options(std::move(options)) {}

std::string OperationTable::issueTicket(const core::WorkspaceName &workspace,
                                        core::Instant now) const
{
    return encodeTicket({ this->options.host, this->options.incarnation,
                          now + this->options.ticketLifetime, workspace },
                        this->options.secret);
}

core::Result<OperationId> OperationTable::begin(std::string_view operationKey,
                                                const core::WorkspaceName &workspace,
                                                core::Instant now)
{
    this->removeExpired(now);
    const auto separator = std::min(operationKey.find('/'), operationKey.size());
    const auto ticket = decodeTicket(operationKey.substr(0, separator), this->options.secret);
    if (!ticket) {
        return core::notRun(core::Reason::OperationKeyInvalid,
                            "the operation ticket is malformed or its signature is wrong");
    }
    if (!isValidId(operationKey.substr(std::min(separator + 1, operationKey.size())))) {
        return core::notRun(core::Reason::OperationKeyInvalid,
                            "the operation id must be 1 to 128 visible ASCII characters");
    }
    if (const auto owned = this->checkOwner(*ticket, workspace); !owned) {
        return tl::unexpected(owned.error());
    }
    const OperationId id = core::sha256(operationKey);
    const auto existing = this->entries.find(id);
    if (existing != this->entries.end()) {
        return tl::unexpected(repeatError(existing->second));
    }
    // The operation may have run and been removed from the table since.
    if (now >= ticket->expiry) {
        return core::mayHaveRun(core::Reason::OperationKeyInvalid,
                                "the operation ticket has expired");
    }
    if (this->entries.size() >= this->options.capacity) {
        return core::notRun(core::Reason::QueueFull, "the operation table is full");
    }
    this->entries.emplace(id, Entry { State::Running, 0, ticket->expiry });
    return id;
}

void OperationTable::end(const OperationId &operation, OperationOutcome outcome, int status)
{
    const auto found = this->entries.find(operation);
    if (found == this->entries.end() || found->second.state != State::Running) {
        return;
    }
    if (outcome == OperationOutcome::NotRun) {
        this->entries.erase(found);
        return;
    }
    found->second.state = outcome == OperationOutcome::Ran ? State::Ran : State::MayHaveRun;
    found->second.status = status;
    this->endedOperations.emplace(found->second.expiry, operation);
}

core::HostName OperationTable::ownerOf(std::string_view operationKey) const
{
    const auto ticket =
        decodeTicket(operationKey.substr(0, operationKey.find('/')), this->options.secret);
    return ticket ? ticket->host : core::HostName {};
}

std::size_t OperationTable::size() const
{
    return this->entries.size();
}

core::Result<void> OperationTable::checkOwner(const OperationTicket &ticket,
                                              const core::WorkspaceName &workspace) const
{
    if (ticket.workspace != workspace) {
        return core::notRun(core::Reason::OperationKeyInvalid,
                            "the operation ticket was issued to another workspace");
    }
    if (ticket.host != this->options.host) {
        return core::mayHaveRun(core::Reason::OperationElsewhere,
                                "only host " + ticket.host.text() + " may run the operation");
    }
    if (ticket.incarnation != this->options.incarnation) {
        return core::mayHaveRun(core::Reason::OperationElsewhere,
                                "the process that issued the operation ticket has ended");
    }
    return {};
}

core::Error OperationTable::repeatError(const Entry &entry)
{
    switch (entry.state) {
    case State::Running:
        return { core::Reason::OperationRepeated,
                 core::Verdict::MayHaveRun,
                 "the operation is still running",
                 {} };
    case State::MayHaveRun:
        return { core::Reason::OperationRepeated,
                 core::Verdict::MayHaveRun,
                 "the operation may have run; its response was lost",
                 {} };
    case State::Ran:
        return { core::Reason::OperationRepeated,
                 core::Verdict::Ran,
                 "the operation ran; the upstream returned status " + std::to_string(entry.status),
                 {} };
    }
    return { core::Reason::Internal, core::Verdict::MayHaveRun, "unknown operation state", {} };
}

void OperationTable::removeExpired(core::Instant now)
{
    const auto end = this->endedOperations.upper_bound(now);
    std::for_each(this->endedOperations.begin(), end,
                  [this](const auto &item) { this->entries.erase(item.second); });
    this->endedOperations.erase(this->endedOperations.begin(), end);
}

} // namespace damaskgate::operations
