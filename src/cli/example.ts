/** The configuration text that `crocus init` writes. */
export const exampleConfiguration = `# What this deployment serves. Every key is in docs/SETTINGS.md; \`crocus check\` checks this file.

[deployment]
name = "example"
# Failure domains, each with its own entry VMs and upstreams.
domains = ["domain-1"]
# 0 plans for the fewest role changes, 1 for the highest goodput.
goodput_weight = 0.5

[services.assistant]
kind = "model"
model = "assistant"
version = "1"
deadline_ms = 30000
# Services of this text that this one can't work without.
depends_on = ["records"]

[services.records]
kind = "application"
deadline_ms = 2000
# Calls that may run at most once.
non_repeatable = ["POST /payments"]

[[upstreams]]
id = "engine-1"
service = "assistant"
domain = "domain-1"
address = "10.0.0.11:8000"
# Capacity, in pieces of about a thousand tokens.
pieces = 1000

[[upstreams]]
id = "records-1"
service = "records"
domain = "domain-1"
address = "10.0.0.21:8000"
`;
