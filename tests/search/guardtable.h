#pragma once

#include <array>
#include <string_view>

#include "fleetsimulation.h"

namespace damaskgate::search {

/** Name of a safety rule, and the function that disables it. */
struct GuardEntry
{
    std::string_view name;
    void (*remove)(Guards &);
};

constexpr std::array GuardTable {
    GuardEntry { "counts-from-send",
                 [](Guards &g) {
                     g.lease.countsFromSend = false;
                 } },
    GuardEntry { "checks-at-use",
                 [](Guards &g) {
                     g.lease.checksAtUse = false;
                 } },
    GuardEntry { "waits-after-start",
                 [](Guards &g) {
                     g.lease.waitsAfterStart = false;
                 } },
    GuardEntry { "lease-drift",
                 [](Guards &g) {
                     g.lease.allowsForDrift = false;
                 } },
    GuardEntry { "ignores-old-replies",
                 [](Guards &g) {
                     g.lease.ignoresOldReplies = false;
                 } },
    GuardEntry { "needs-both-rosters",
                 [](Guards &g) {
                     g.lease.needsBothRosters = false;
                 } },
    GuardEntry { "orders-releases",
                 [](Guards &g) {
                     g.lease.ordersReleases = false;
                 } },
    GuardEntry { "starts-empty",
                 [](Guards &g) {
                     g.limits.startsEmpty = false;
                 } },
    GuardEntry { "debits-before-telling",
                 [](Guards &g) {
                     g.limits.debitsBeforeTelling = false;
                 } },
    GuardEntry { "voids-late-replies",
                 [](Guards &g) {
                     g.limits.voidsLateReplies = false;
                 } },
    GuardEntry { "reserves-tokens-in-use",
                 [](Guards &g) {
                     g.limits.reservesTokensInUse = false;
                 } },
    GuardEntry { "ends-use-with-lease",
                 [](Guards &g) {
                     g.limits.endsUseWithLease = false;
                 } },
    GuardEntry { "checks-predecessor",
                 [](Guards &g) {
                     g.limits.checksPredecessor = false;
                 } },
    GuardEntry { "accepts-handover-once",
                 [](Guards &g) {
                     g.limits.acceptsHandoverOnce = false;
                 } },
    GuardEntry { "waits-before-release",
                 [](Guards &g) {
                     g.limits.waitsBeforeRelease = false;
                 } },
    GuardEntry { "checks-incarnation",
                 [](Guards &g) {
                     g.limits.checksIncarnation = false;
                 } },
    GuardEntry { "rate-drift",
                 [](Guards &g) {
                     g.limits.allowsForDrift = false;
                 } },
};

} // namespace damaskgate::search
