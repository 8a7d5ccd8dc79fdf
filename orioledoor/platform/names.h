// The platform's names on the wire. Nothing outside this folder knows them.
#ifndef ORIOLEDOOR_PLATFORM_NAMES_H
#define ORIOLEDOOR_PLATFORM_NAMES_H

namespace orioledoor::platform::names {

// Headers of requests and answers.
inline constexpr char AttemptId[] = "Attempt-Id";
// Milliseconds that the caller will still wait.
inline constexpr char DeadlineRemaining[] = "Deadline-Remaining";
// A target's proof that an answer is its own.
inline constexpr char ServerSignature[] = "Server-Signature";
inline constexpr char ExpectedInstance[] = "Expected-Instance";
// Present on an answer to a request that the target did not run.
inline constexpr char NotExecuted[] = "Not-Executed";
inline constexpr char CallerService[] = "Caller-Service";
// The key of a partitioned service, 0 to 65535.
inline constexpr char ShardKey[] = "Shard-Key";

// Calls that a node serves.
inline constexpr char ReadinessPath[] = "/readiness";
inline constexpr char HeartbeatPrefix[] = "/Instances.Heartbeat/";
inline constexpr char DeregisterPrefix[] = "/Instances.Deregister/";

// Keys of the operator in the store.
inline constexpr char ConfigKey[] = "op/config";

// Names the settings file.
inline constexpr char SettingsVariable[] = "ORIOLEDOOR_CONFIG";

} // namespace orioledoor::platform::names

#endif // ORIOLEDOOR_PLATFORM_NAMES_H
