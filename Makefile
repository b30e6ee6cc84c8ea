PROGRAMS := pomelospringd pomelospringctl standins measure soak

.PHONY: build run stop test bench lint generate

build:
	mkdir -p bin
	for program in $(PROGRAMS); do go build -o bin/$$program ./cmd/$$program || exit 1; done

run: build
	scripts/start
	scripts/request

stop:
	scripts/stop

test:
	go test -race -count=1 -timeout 25m -p 2 work

bench:
	go test -run xxx -bench . ./routing ./admission

lint:
	for module in . cmd/*; do (cd $$module && golangci-lint run ./...) || exit 1; done

generate: build
	scripts/protocols
	bin/pomelospringd reference > docs/SETTINGS.md
	bin/pomelospringd events > docs/EVENTS.md
	bin/measure capacity > docs/CAPACITY.md
