"""Valid and invalid settings documents."""

ENTRY = {
    "instance_id": "rajkot-1",
    "failure_domain": "rajkot",
    "listen": "127.0.0.1:7001",
    "post": "127.0.0.1:7002",
    "agent": "127.0.0.1:7003",
    "platform": "127.0.0.1:7004",
}
AGENT = {
    "instance_id": "rajkot-1",
    "failure_domain": "rajkot",
    "post": "127.0.0.1:7003",
    "platform": "127.0.0.1:7004",
}
TEN_FAULTS = {
    "surprise": 1,
    "instance_id": "Rajkot 1",
    "listen": "localhost:7001",
    "post": "127.0.0.1:0",
    "agent": "127.0.0.1:7003",
    "platform": "127.0.0.1:7003",
    "configured_instances": 0,
    "http": {"read_timeout": "10s"},
    "requests": {"max_tokens": 10000000, "progress_timeout": 1500},
}
