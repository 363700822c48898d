/** Messages between entry instances. A frame is the length of the body in four bytes,
    then the body: a Request or a Reply in thrift's binary protocol. */

/** A shard that an instance owns. */
struct Hold {
    1: string shard
    2: i64 epoch
    /** Number of queued tasks for which no worker has enough free resources. */
    3: i64 queued
    /** Processors not assigned to any task, in thousandths. */
    4: i64 free_processors_milli
    /** Number of running tasks, by service, of services with a closed zone. */
    5: map<string, i32> running_by_service
}

struct Ping {
    1: string instance
    2: string zone
    3: string peer_address
    4: i64 settings_version
    5: bool leaving
}

struct Pong {
    1: string instance
    2: string zone
    3: i64 settings_version
    /** Milliseconds since the settings were last known to be the newest; -1: never. */
    4: i64 settings_age_ms
    /** Whether the instance's latest read of the settings in the store succeeded. */
    5: bool store_reachable
    /** Milliseconds since the latest time at which every instance of the zone was known
        not to reach the store; -1: not known. */
    6: i64 zone_outage_ms
    7: list<Hold> holds
    /** Hash of the names of all entry instances that the instance knows. */
    8: i64 members_digest
    9: bool leaving
}

struct ChangesAsked {
    1: i64 after_version
}

struct Changes {
    /** Changes as JSON text, in order. */
    1: list<string> changes
    /** The whole tree as JSON text, if some of the changes are no longer kept. */
    2: optional string snapshot
}

struct Query {
    1: string subject
    2: string argument
}

struct QueryResult {
    1: bool known
    /** The answer as JSON text. */
    2: string body
}

struct Nudge {
    1: string shard
}

struct Request {
    1: optional Ping ping
    2: optional ChangesAsked changes
    3: optional Query query
    4: optional Nudge nudge
}

struct Reply {
    1: optional Pong pong
    2: optional Changes changes
    3: optional QueryResult result
}
