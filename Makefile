# Build, test, lint and run. The node reads its configuration from the file that RELAY_CONFIG names.

build:
	cargo build --locked --release

test: lint build
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

run: build
	target/release/molevale

# Five real processes with workers and load, one killed, one cut off: what each sees. Under a minute.
fleet: build
	target/release/rig demo --node target/release/molevale

.PHONY: build test lint run fleet
