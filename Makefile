PROGRAMS := pomelospringd pomelospringctl standins measure

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
	go test -race -count=1 work
