# The commands of the README. Each needs Go alone.
.PHONY: build run test check bench plots

build:
	go build -o bin/ ./cmd/...

run: build
	go run ./internal/trial

test: build
	go test ./...

check:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...
