/** Messages between entry instances; one frame is a length of four bytes and a
    Request or a Reply in thrift's binary protocol. */

/** A shard that an instance owns. */
struct Hold {
    1: string shard
    2: i64 epoch
    /** Queued tasks that found no room. */
    3: i64 queued
    /** Thousandths of processors promised to nobody. */
    4: i64 free_processors_milli
    /** Running tasks of services that lose a zone, by service. */
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
    /** Milliseconds since the settings were known to be the newest; -1: never. */
    4: i64 settings_age_ms
    /** Whether the instance's latest call to the store was answered. */
    5: bool store_reachable
    /** Milliseconds since every instance of its zone was known to be without the
        store; -1: not known. */
    6: i64 zone_outage_ms
    7: list<Hold> holds
    /** Hash of the names of all entry instances that it knows. */
    8: i64 members_digest
    9: bool leaving
}

struct ChangesAsked {
    1: i64 after_version
}

struct Changes {
    /** Changes as JSON text, in order. */
    1: list<string> changes
    /** The whole tree as JSON text, if some changes are gone. */
    2: optional string snapshot
}

struct Query {
    1: string subject
    2: string argument
}

struct QueryResult {
    1: bool known
    /** JSON text. */
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
