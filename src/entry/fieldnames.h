#pragma once

#include <string_view>

namespace damaskgate::entry {

inline constexpr std::string_view OwnFieldPrefix = "Damaskgate-";
inline constexpr std::string_view UpstreamFieldPrefix = "Upstream-";
inline constexpr std::string_view ViaValue = "1.1 damaskgate";

inline constexpr char DeadlineField[] = "Damaskgate-Deadline-Ms";
inline constexpr char TraceField[] = "Damaskgate-Trace";
inline constexpr char ExchangeField[] = "Damaskgate-Exchange";
inline constexpr char VerdictField[] = "Damaskgate-Verdict";
inline constexpr char ReasonField[] = "Damaskgate-Reason";
inline constexpr char HostField[] = "Damaskgate-Host";
inline constexpr char OperationKeyField[] = "Operation-Key";
inline constexpr char LoadField[] = "Upstream-Load";
inline constexpr char ShedField[] = "Upstream-Shed";

} // namespace damaskgate::entry
