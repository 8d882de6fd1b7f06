package review;

/** The config of a small installation, like the one that the page on the wire shows. */
final class Config {
  static final String STREAM_PATH = "/pufi791/";
  static final String RESUMABLE_PATH = "/lohu930/";
  static final String ORDER_PATH = "/pule252/";
  static final String STATUS_PATH = "/puxa403/";
  static final String ENGINES = "huvo11a";
  static final String APPLICATION = "wuno96b";

  private Config() {}

  /** Returns a version of it: streams that may be resumed or not, orders that may run once, and status requests. */
  static String version(int version) {
    return """
        {"version":%d,"routes":[
        {"name":"r-stream","host":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming",
        "timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"huvo11a",
        "max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":300},
        {"name":"r-resumable","host":"ficu95.example","path_prefix":"/lohu930/",
        "kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,
        "service":"huvo11a","max_attempts":2,"sticky":true,"resumable":true,
        "target_gap_ms":300},
        {"name":"r-order","host":"ficu95.example","path_prefix":"/pule252/",
        "kind":"non_idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,
        "service":"wuno96b","max_attempts":1},
        {"name":"r-status","host":"ficu95.example","path_prefix":"/puxa403/",
        "kind":"idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,
        "service":"wuno96b","max_attempts":2}],
        "services":[{"name":"huvo11a","health_path":"/health","max_connections":160,
        "protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity_tokens":33736,
        "kv_bytes":327680,"link_mbps":1900000.0,"moves":true,"backups":true,"stride":12,
        "most":12,"handle_ttl_s":0.5,"switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,
        "models":[{"name":"m"}]}},
        {"name":"wuno96b","health_path":"/health","max_connections":110,"protocol":"h1",
        "tls":false}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}"""
        .formatted(version);
  }
}
