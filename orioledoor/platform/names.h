// Names that the platform uses on the wire. Only this package uses them.
#ifndef ORIOLEDOOR_PLATFORM_NAMES_H
#define ORIOLEDOOR_PLATFORM_NAMES_H

namespace orioledoor::platform::names {

// Headers of requests and responses.
inline constexpr char AttemptId[] = "Attempt-Id";
// Time that the caller is still willing to wait, in milliseconds.
inline constexpr char DeadlineRemaining[] = "Deadline-Remaining";
// Proves that the response was created by the target that sent it.
inline constexpr char ServerSignature[] = "Server-Signature";
inline constexpr char ExpectedInstance[] = "Expected-Instance";
// Requests per second that the target accepts from all nodes together; it
// applies until a response states another limit or none.
inline constexpr char ServerLimit[] = "Server-Limit";
// "running,waiting,slots" with an optional fourth figure, which says in percent
// how long work takes at the target now; 100 is usual.
inline constexpr char ServerLoad[] = "Server-Load";
// Present on each response of a target that is about to stop.
inline constexpr char ServerLeaving[] = "Server-Leaving";
// Present on a response to a request that the target did not run.
inline constexpr char NotExecuted[] = "Not-Executed";
inline constexpr char CallerService[] = "Caller-Service";
// The key of a partitioned service, 0 to 65535.
inline constexpr char ShardKey[] = "Shard-Key";

// Number of times that the store came back from an older copy; present on all
// its responses.
inline constexpr char StoreEra[] = "Store-Era";

// Paths that a node serves.
inline constexpr char ReadinessPath[] = "/readiness";
inline constexpr char HeartbeatPrefix[] = "/Instances.Heartbeat/";
inline constexpr char DeregisterPrefix[] = "/Instances.Deregister/";

// Store keys that the operator writes.
inline constexpr char OperatorPrefix[] = "op/";
inline constexpr char ConfigKey[] = "op/config";
// Followed by the failure domain that is evacuated while the key exists.
inline constexpr char EvacuationPrefix[] = "op/evacuate/";

// Environment variable with the path of the settings file.
inline constexpr char SettingsVariable[] = "ORIOLEDOOR_CONFIG";

} // namespace orioledoor::platform::names

#endif // ORIOLEDOOR_PLATFORM_NAMES_H
