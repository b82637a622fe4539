# The two commands a newcomer needs are `make demo` and `make test`.
MODULES := desk entry load parts platform sess soak stand
TOOLS   := bin/tools
GOFILES  = $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')
COUNT   ?= 1

.PHONY: build demo test lint format vet golden session bench proto tools

build:
	@for m in desk entry load platform soak stand; do (cd $$m && go build -o ../bin/ ./cmd/...) || exit 1; done

demo: build
	@cd sess && go run ./cmd/demo -bin ../bin

test: lint
	@sh .ci/test

lint: vet format
	@for m in $(MODULES); do (cd $$m && ../$(TOOLS)/staticcheck ./...) || exit 1; done

vet: tools
	@for m in $(MODULES); do (cd $$m && go vet ./...) || exit 1; done

# format lists the files that gofumpt or gci would change, and fails on any.
format: tools
	@out=$$($(TOOLS)/gofumpt -l $(GOFILES); $(TOOLS)/gci list --skip-generated -s standard -s default -s 'prefix(fuchsiashelf.dev)' $(GOFILES)); \
	if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

# fix rewrites the files as format wants them.
fix: tools
	@$(TOOLS)/gofumpt -w $(GOFILES)
	@$(TOOLS)/gci write --skip-generated -s standard -s default -s 'prefix(fuchsiashelf.dev)' $(GOFILES) >/dev/null

# The tools are a module of their own, outside the workspace.
tools: $(TOOLS)/installed
$(TOOLS)/installed: tools/go.mod
	@mkdir -p $(TOOLS) && cd tools && GOWORK=off GOBIN=$(CURDIR)/$(TOOLS) go install tool
	@touch $(TOOLS)/installed

golden:
	@cd sess && go test -race -run TestSession . -update

# session runs one golden session: make session NAME=once COUNT=20
session:
	@cd sess && go test -race -run 'TestSession/$(NAME)$$' -count=$(COUNT) .

bench: build
	@cd sess && go build -o ../bin/ ./cmd/bench ./cmd/peers && ../bin/bench -bin ../bin

# proto regenerates parts/wire; it needs protoc. The result is committed.
proto: tools
	@cd parts && PATH="$(CURDIR)/$(TOOLS):$$PATH" protoc --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative wire/wire.proto
