.PHONY: build check test race fuzz bench docs

build:
	go build -o bin/masticroad ./cmd/masticroad

check:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck -checks all ./...

test:
	go test -race -count=1 -timeout 20m ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...

fuzz:
	go test -run '^$$' -fuzz FuzzDecodeEntry -fuzztime 20s ./internal/control/registrar
	go test -run '^$$' -fuzz FuzzParse -fuzztime 20s ./internal/language/parser
	go test -run '^$$' -fuzz FuzzOpen -fuzztime 20s ./internal/state/storer

docs:
	go test ./internal/cli/commander -run TestDocs -update
